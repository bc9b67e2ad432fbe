#pragma once

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "deployment.h"
#include "process.h"

namespace mangoshift::testing {

/// The second number of the loopback addresses; those of the sample deployments are lower.
inline constexpr int FirstNetwork = 90;
inline constexpr int StorePort = 8102;
inline constexpr int OrdersPort = 8103;
inline constexpr int CallerPort = 8104;
inline constexpr int PeerPort = 8106;
inline constexpr int ReadyPort = 8108;
inline constexpr int OperatorPort = 7380;
inline constexpr int ServerPort = 8080;

struct ServerSpec
{
    std::string id;
    std::string service;
    std::string ip;
};

inline const std::vector<ServerSpec> Servers{
    {"i-s1a", "s1", "11"}, {"i-s1b", "s1", "12"},    {"i-s2a", "s2", "13"},   {"i-s2b", "s2", "14"},
    {"i-s3a", "s3", "15"}, {"i-oa", "orders", "16"}, {"i-ob", "orders", "17"}};

/// A store, servers and one or more entry VMs on loopback addresses of their own. The VMs are
/// numbered from one; the first is started with the system and is the seed of all.
class EntrySystem
{
public:
    /// `slack` is the part of the retry budget that does not depend on the traffic, of this VM.
    explicit EntrySystem(int slack = 1000)
        : m_slack(slack)
    {
        std::string pattern = std::filesystem::temp_directory_path() / "mangoshift-entry-XXXXXX";
        m_folder = mkdtemp(pattern.data());
        m_store = std::make_unique<Process>(
            "fakestore", std::vector<std::string>{at("1", StorePort), at("1", OrdersPort)},
            m_folder + "/store");
        std::vector<std::string> arguments{at("2", OrdersPort)};
        for (const ServerSpec &server : Servers)
            arguments.push_back(server.id + "=" + at(server.ip, ServerPort) + "=" + server.service);
        m_servers = std::make_unique<Process>("fakeservers", arguments, m_folder + "/servers");
        REQUIRE(eventually([] { return order("1", "PUT", "/item?x", "y"); }));
        REQUIRE(eventually([] { return order("2", "POST", "/mode?none", "ok"); }));
        for (const ServerSpec &server : Servers)
            announce(server, "ready", 1);
        configure(1, "s1");
        startVm();
        REQUIRE(eventually([this] { return isReady(); }));
    }
    ~EntrySystem() { std::filesystem::remove_all(m_folder); }
    EntrySystem(const EntrySystem &) = delete;
    EntrySystem &operator=(const EntrySystem &) = delete;

    /// Starts a VM anew; `store` is the last number of the address at which it looks for the store.
    void startVm(int vm = 1, const std::string &store = "1")
    {
        const std::string own = vmIp(vm);
        const nlohmann::json settings{
            {"vm", "a-" + std::to_string(vm)},
            {"failure_domain", "a"},
            {"region", "r"},
            {"caller_address", at(own, CallerPort)},
            {"ready_address", at(own, ReadyPort)},
            {"operator_address", at(own, OperatorPort)},
            {"store_address", at(store, StorePort)},
            {"peer_address", at(own, PeerPort)},
            {"seeds", {at(vmIp(1), PeerPort)}},
            {"assumed_vms", 1},
            {"retry_budget", {{"ratio", 0}, {"slack", m_slack}, {"window_s", 60}}},
            {"watch_wait_ms", 500}};
        const std::string path = m_folder + "/settings-" + std::to_string(vm) + ".json";
        std::ofstream(path) << settings.dump();
        m_vms[vm] = std::make_unique<Process>(
            "mangoshift", std::vector<std::string>{"entry", "--settings", path}, logPath(vm));
    }

    /// Writes other settings into a VM's file.
    void changeSettings(int vm, const nlohmann::json &changes)
    {
        const std::string path = m_folder + "/settings-" + std::to_string(vm) + ".json";
        nlohmann::json settings = nlohmann::json::parse(std::ifstream(path));
        settings.update(changes);
        std::ofstream(path) << settings.dump();
    }

    /// `all` fans out over three shards; `changing` is forwarded to `service`, `orders` may run
    /// once.
    void configure(int version, const std::string &service)
    {
        const auto route = [](const std::string &name, const std::string &kind,
                              const nlohmann::json &more) {
            nlohmann::json json{
                {"name", name},  {"host", "shop.example"}, {"prefix", "/" + name + "/"},
                {"kind", kind},  {"timeout_ms", 4000},     {"target_latency_ms", 1000},
                {"priority", 1}, {"max_attempts", 2}};
            json.update(more);
            return json;
        };
        nlohmann::json document{{"version", version}, {"services", nlohmann::json::array()}};
        document["routes"] = {
            route("all", "safe",
                  {{"fanout_services", {"s1", "s2", "s3"}}, {"top_k", 5}, {"min_coverage", 0.6}}),
            route("changing", "safe", {{"service", service}}),
            route("orders", "unsafe", {{"service", "orders"}})};
        for (const std::string name : {"s1", "s2", "s3", "orders"})
            document["services"].push_back({{"name", name}, {"max_conns", 26}});
        REQUIRE(order("1", "PUT", "/item?op/config", document.dump()));
    }

    void announce(const ServerSpec &server, const std::string &state, int sequence)
    {
        const nlohmann::json entry{{"service", server.service},
                                   {"address", at(server.ip, ServerPort)},
                                   {"zone", "a"},
                                   {"version", "v1"},
                                   {"slots", 2},
                                   {"state", state},
                                   {"warmup_left_ms", 0},
                                   {"seq", sequence}};
        REQUIRE(order("1", "PUT", "/item?servers/" + server.id, entry.dump()));
    }

    void setServer(const std::string &id, const std::string &mode)
    {
        REQUIRE(order("2", "POST", "/mode?" + id, mode));
    }
    void withdraw(const ServerSpec &server)
    {
        REQUIRE(order("1", "DELETE", "/item?servers/" + server.id, ""));
    }
    void setStore(const std::string &mode) { REQUIRE(order("1", "POST", "/mode", mode)); }
    void putItem(const std::string &key, const std::string &value)
    {
        REQUIRE(order("1", "PUT", "/item?" + key, value));
    }

    httplib::Result ask(const std::string &method, const std::string &path, const std::string &id,
                        int vm = 1)
    {
        httplib::Client client(ip(vmIp(vm)), CallerPort);
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.headers = {
            {"Host", "shop.example"}, {"X-Request-Id", id}, {"X-Deadline-Ms", "3000"}};
        if (method == "POST")
            request.body = "one";
        return client.send(request);
    }

    /// Returns the statuses of `count` orders that are sent at the same time.
    std::vector<int> askAtOnce(int count, const std::string &name)
    {
        std::vector<std::future<int>> answers;
        answers.reserve(count);
        for (int i = 0; i < count; ++i)
            answers.push_back(std::async(std::launch::async, [this, name, i] {
                const auto answer = ask("POST", "/orders/x", name + "-" + std::to_string(i));
                return answer ? answer->status : 0;
            }));
        std::vector<int> statuses;
        statuses.reserve(count);
        for (std::future<int> &answer : answers)
            statuses.push_back(answer.get());
        return statuses;
    }

    bool isReady(int vm = 1)
    {
        const auto result = httplib::Client(ip(vmIp(vm)), ReadyPort).Get("/api/ready");
        return result && result->status == 200;
    }

    /// The registry's part of a VM's state dump.
    nlohmann::json registry(int vm)
    {
        const auto result = httplib::Client(ip(vmIp(vm)), OperatorPort).Get("/state");
        REQUIRE(result);
        return nlohmann::json::parse(result->body).at("registry");
    }

    /// Which servers ran the request, in their order.
    std::vector<std::string> ranBy(const std::string &id)
    {
        const auto result = httplib::Client(ip("2"), OrdersPort).Get("/ran");
        REQUIRE(result);
        return nlohmann::json::parse(result->body).value(id, std::vector<std::string>());
    }

    int arrivals()
    {
        const auto result = httplib::Client(ip("2"), OrdersPort).Get("/arrivals");
        REQUIRE(result);
        return std::stoi(result->body);
    }

    std::string log(int vm = 1) const
    {
        std::ostringstream text;
        text << std::ifstream(logPath(vm)).rdbuf();
        return text.str();
    }
    /// The line that says how a request ended, once it is written.
    std::string lineOf(const std::string &id) const
    {
        std::string found;
        eventually([this, &id, &found] {
            std::istringstream lines(log());
            for (std::string line; std::getline(lines, line);)
                if (line.find("request=" + id + " ") != std::string::npos)
                    found = line;
            return !found.empty();
        });
        return found;
    }

    Process &vm(int vm = 1) { return *m_vms.at(vm); }

private:
    static std::string vmIp(int vm) { return std::to_string(2 + vm); }
    std::string logPath(int vm) const { return m_folder + "/vm-" + std::to_string(vm) + ".log"; }
    static std::string ip(const std::string &last)
    {
        const char *offset = std::getenv("MANGOSHIFT_NET_OFFSET");
        const int network = FirstNetwork + (offset == nullptr ? 0 : std::stoi(offset));
        return "127." + std::to_string(network) + ".0." + last;
    }
    static std::string at(const std::string &last, int port)
    {
        return ip(last) + ":" + std::to_string(port);
    }
    static bool order(const std::string &last, const std::string &method, const std::string &path,
                      const std::string &body)
    {
        httplib::Client client(ip(last), OrdersPort);
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.body = body;
        const auto result = client.send(request);
        return result && result->status == 200;
    }

    int m_slack;
    std::string m_folder;
    std::unique_ptr<Process> m_store;
    std::unique_ptr<Process> m_servers;
    std::map<int, std::unique_ptr<Process>> m_vms;
};

} // namespace mangoshift::testing
