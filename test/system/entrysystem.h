#pragma once

#include <algorithm>
#include <chrono>
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

#include "base/address.h"
#include "deployment.h"
#include "process.h"

namespace mangoshift::testing {

/// The second octet of the loopback addresses. The sample deployments use lower ones.
inline constexpr int SecondOctet = 90;
inline constexpr int StorePort = 8102;
inline constexpr int ControlPort = 8103;
inline constexpr int CallerPort = 8104;
inline constexpr int PeerPort = 8106;
inline constexpr int ReadyPort = 8108;
inline constexpr int OperatorPort = 7380;
inline constexpr int TargetPort = 8080;

/// A target: its id, its service, and the last octet of its IP address.
struct TargetSpec
{
    std::string id;
    std::string service;
    std::string lastOctet;
};

inline const std::vector<TargetSpec> Targets{
    {"i-s1a", "s1", "11"}, {"i-s1b", "s1", "12"},    {"i-s2a", "s2", "13"},   {"i-s2b", "s2", "14"},
    {"i-s3a", "s3", "15"}, {"i-oa", "orders", "16"}, {"i-ob", "orders", "17"}};

/// A store, targets and one or more entry VMs, each on a separate loopback address. The VMs are
/// numbered from one. The constructor starts the first VM, which is the seed of all VMs.
class EntrySystem
{
public:
    /// `slack` is the number of retries that a VM may send in a minute regardless of its traffic.
    explicit EntrySystem(int slack = 1000)
        : m_slack(slack)
    {
        std::string pattern = std::filesystem::temp_directory_path() / "mangoshift-entry-XXXXXX";
        m_folder = mkdtemp(pattern.data());
        m_store = std::make_unique<Process>(
            "fakestore",
            std::vector<std::string>{addressOf("1", StorePort), addressOf("1", ControlPort)},
            m_folder + "/store");
        std::vector<std::string> arguments{addressOf("2", ControlPort)};
        for (const TargetSpec &target : Targets)
            arguments.push_back(target.id + "=" + addressOf(target.lastOctet, TargetPort) + "="
                                + target.service);
        m_targets = std::make_unique<Process>("fakeservers", arguments, m_folder + "/servers");
        REQUIRE(eventually([] { return sendControlRequest("1", "PUT", "/item?x", "y"); }));
        REQUIRE(eventually([] { return sendControlRequest("2", "POST", "/mode?none", "ok"); }));
        for (const TargetSpec &target : Targets)
            announce(target, "ready", 1);
        publishConfiguration(1, "s1");
        startVm();
        REQUIRE(eventually([this] { return isReady(); }));
    }
    ~EntrySystem() { std::filesystem::remove_all(m_folder); }
    EntrySystem(const EntrySystem &) = delete;
    EntrySystem &operator=(const EntrySystem &) = delete;

    /// Starts a VM, whose earlier process must have ended. `store` is the last octet of the
    /// address where the VM expects the store.
    void startVm(int vm = 1, const std::string &store = "1", const std::string &domain = "a")
    {
        const std::string vmOctet = lastOctetOf(vm);
        const nlohmann::json settings{
            {"vm", "a-" + std::to_string(vm)},
            {"failure_domain", domain},
            {"region", "r"},
            {"caller_address", addressOf(vmOctet, CallerPort)},
            {"ready_address", addressOf(vmOctet, ReadyPort)},
            {"operator_address", addressOf(vmOctet, OperatorPort)},
            {"store_address", addressOf(store, StorePort)},
            {"peer_address", addressOf(vmOctet, PeerPort)},
            {"seeds", {addressOf(lastOctetOf(1), PeerPort)}},
            {"assumed_vms", 1},
            {"retry_budget", {{"ratio", 0}, {"slack", m_slack}, {"window_s", 60}}},
            {"watch_wait_ms", 500}};
        const std::string path = m_folder + "/settings-" + std::to_string(vm) + ".json";
        std::ofstream(path) << settings.dump();
        m_vms[vm] = std::make_unique<Process>(
            "mangoshift", std::vector<std::string>{"entry", "--settings", path}, logPath(vm));
    }

    /// Sets the members of `changes` in the settings file of a VM.
    void changeSettings(int vm, const nlohmann::json &changes)
    {
        const std::string path = m_folder + "/settings-" + std::to_string(vm) + ".json";
        nlohmann::json settings = nlohmann::json::parse(std::ifstream(path));
        settings.update(changes);
        std::ofstream(path) << settings.dump();
    }

    /// Publishes a configuration with three routes: `all` fans out over three shards, `changing`
    /// forwards safe requests to `service`, and `orders` forwards requests of the kind `orderKind`,
    /// which may run at most once. All VMs together may hold `maxConnections` connections to a
    /// target, and those of callers may be idle for `idleTimeout`.
    void publishConfiguration(int version, const std::string &service, int maxConnections = 26,
                              std::chrono::milliseconds idleTimeout = std::chrono::seconds(60),
                              const std::string &orderKind = "unsafe")
    {
        const auto route = [](const std::string &name, const std::string &kind,
                              const nlohmann::json &extraFields) {
            nlohmann::json json{
                {"name", name},  {"host", "shop.example"}, {"prefix", "/" + name + "/"},
                {"kind", kind},  {"timeout_ms", 4000},     {"target_latency_ms", 1000},
                {"priority", 1}, {"max_attempts", 2}};
            json.update(extraFields);
            return json;
        };
        nlohmann::json document{{"version", version}, {"services", nlohmann::json::array()}};
        document["routes"] = {
            route("all", "safe",
                  {{"fanout_services", {"s1", "s2", "s3"}}, {"top_k", 5}, {"min_coverage", 0.6}}),
            route("changing", "safe", {{"service", service}}),
            route("orders", orderKind, {{"service", "orders"}})};
        for (const std::string name : {"s1", "s2", "s3", "orders"})
            document["services"].push_back({{"name", name}, {"max_conns", maxConnections}});
        document["limits"] = {{"max_header_bytes", 16384},
                              {"max_body_bytes", 262144},
                              {"header_timeout_ms", 5000},
                              {"idle_timeout_ms", idleTimeout.count()}};
        REQUIRE(sendControlRequest("1", "PUT", "/item?op/config", document.dump()));
    }

    /// Writes the registry entry of a target. `startedAt` is the Unix time of its start, in
    /// milliseconds, if it is not zero.
    void announce(const TargetSpec &target, const std::string &state, int sequence,
                  std::int64_t startedAt = 0)
    {
        nlohmann::json entry{{"service", target.service},
                             {"address", addressOf(target.lastOctet, TargetPort)},
                             {"zone", "a"},
                             {"version", "v1"},
                             {"slots", 2},
                             {"state", state},
                             {"warmup_left_ms", 0},
                             {"seq", sequence}};
        if (startedAt != 0)
            entry["born"] = startedAt;
        REQUIRE(sendControlRequest("1", "PUT", "/item?servers/" + target.id, entry.dump()));
    }

    /// Sets how a target misbehaves: one of the modes of fakeservers, such as "shed" or "lose".
    void setTargetMode(const std::string &id, const std::string &mode)
    {
        REQUIRE(sendControlRequest("2", "POST", "/mode?" + id, mode));
    }
    /// Deletes the registry entry of a target.
    void removeEntry(const TargetSpec &target)
    {
        REQUIRE(sendControlRequest("1", "DELETE", "/item?servers/" + target.id, ""));
    }
    void setStoreMode(const std::string &mode)
    {
        REQUIRE(sendControlRequest("1", "POST", "/mode", mode));
    }
    void putItem(const std::string &key, const std::string &value)
    {
        REQUIRE(sendControlRequest("1", "PUT", "/item?" + key, value));
    }

    /// Sends a caller's request with the request id `id` to a VM.
    httplib::Result sendRequest(const std::string &method, const std::string &path,
                                const std::string &id, int vm = 1, int deadlineMs = 3000)
    {
        httplib::Client client(loopbackIp(lastOctetOf(vm)), CallerPort);
        httplib::Request request;
        request.method = method;
        request.path = path;
        request.headers = {{"Host", "shop.example"},
                           {"X-Request-Id", id},
                           {"X-Deadline-Ms", std::to_string(deadlineMs)}};
        if (method == "POST")
            request.body = "one";
        return client.send(request);
    }

    /// Sends `count` orders to the first VM at the same time, with request ids that start with
    /// `name`. Returns the status of each response, 0 for none.
    std::vector<int> sendOrdersAtOnce(int count, const std::string &name)
    {
        std::vector<std::future<int>> pendingStatuses;
        pendingStatuses.reserve(count);
        for (int i = 0; i < count; ++i)
            pendingStatuses.push_back(std::async(std::launch::async, [this, name, i] {
                const auto response =
                    sendRequest("POST", "/orders/x", name + "-" + std::to_string(i));
                return response ? response->status : 0;
            }));
        std::vector<int> statuses;
        statuses.reserve(count);
        for (std::future<int> &status : pendingStatuses)
            statuses.push_back(status.get());
        return statuses;
    }

    Address callerAddress(int vm = 1) const { return {loopbackIp(lastOctetOf(vm)), CallerPort}; }

    bool isReady(int vm = 1)
    {
        const auto result =
            httplib::Client(loopbackIp(lastOctetOf(vm)), ReadyPort).Get("/api/ready");
        return result && result->status == 200;
    }

    /// Returns the state dump of a VM.
    nlohmann::json state(int vm = 1)
    {
        const auto result =
            httplib::Client(loopbackIp(lastOctetOf(vm)), OperatorPort).Get("/state");
        REQUIRE(result);
        return nlohmann::json::parse(result->body);
    }
    /// Returns the metrics of the first VM.
    std::string metrics()
    {
        const auto result =
            httplib::Client(loopbackIp(lastOctetOf(1)), OperatorPort).Get("/metrics");
        REQUIRE(result);
        return result->body;
    }
    /// Returns the `registry` object from the state dump of a VM.
    nlohmann::json registry(int vm) { return state(vm).at("registry"); }

    /// Returns the ids of the targets that have run each request, in order, by request id.
    nlohmann::json runs() { return countsOf("/ran"); }
    /// Returns the same of the targets that have received it, including those that refused it.
    nlohmann::json arrivals() { return countsOf("/got"); }

    /// Returns the ids of the targets that ran the request, in order.
    std::vector<std::string> targetsThatRan(const std::string &id)
    {
        return runs().value(id, std::vector<std::string>());
    }

    /// Returns how many requests a target has run.
    int runCount(const std::string &target)
    {
        const nlohmann::json runs = this->runs();
        int count = 0;
        for (const auto &[id, targets] : runs.items())
            count += static_cast<int>(std::count(targets.begin(), targets.end(), target));
        return count;
    }

    /// Returns how many requests the targets have received in total.
    int arrivalCount()
    {
        const auto result = httplib::Client(loopbackIp("2"), ControlPort).Get("/arrivals");
        REQUIRE(result);
        return std::stoi(result->body);
    }

    std::string logPath(int vm = 1) const
    {
        return m_folder + "/vm-" + std::to_string(vm) + ".log";
    }
    std::string log(int vm = 1) const
    {
        std::ostringstream text;
        text << std::ifstream(logPath(vm)).rdbuf();
        return text.str();
    }
    /// Waits for the line in the log of the first VM that reports how a request ended. Returns an
    /// empty string on a timeout. A VM that logs more than its limit leaves lines out: a test that
    /// repeats requests then needs a timeout that leaves time for further requests.
    std::string waitForLogLine(const std::string &id,
                               std::chrono::seconds timeout = std::chrono::seconds(30)) const
    {
        std::string found;
        eventually(
            [this, &id, &found] {
                std::istringstream lines(log());
                for (std::string line; std::getline(lines, line);)
                    if (line.find("request=" + id + " ") != std::string::npos)
                        found = line;
                return !found.empty();
            },
            timeout);
        return found;
    }

    Process &vm(int vm = 1) { return *m_vms.at(vm); }

private:
    static std::string lastOctetOf(int vm) { return std::to_string(2 + vm); }
    static std::string loopbackIp(const std::string &lastOctet)
    {
        const char *offset = std::getenv("MANGOSHIFT_NET_OFFSET");
        const int secondOctet = SecondOctet + (offset == nullptr ? 0 : std::stoi(offset));
        return "127." + std::to_string(secondOctet) + ".0." + lastOctet;
    }
    static std::string addressOf(const std::string &lastOctet, int port)
    {
        return loopbackIp(lastOctet) + ":" + std::to_string(port);
    }
    static nlohmann::json countsOf(const std::string &path)
    {
        const auto result = httplib::Client(loopbackIp("2"), ControlPort).Get(path);
        REQUIRE(result);
        return nlohmann::json::parse(result->body);
    }
    static bool sendControlRequest(const std::string &lastOctet, const std::string &method,
                                   const std::string &path, const std::string &body)
    {
        httplib::Client client(loopbackIp(lastOctet), ControlPort);
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
    std::unique_ptr<Process> m_targets;
    std::map<int, std::unique_ptr<Process>> m_vms;
};

} // namespace mangoshift::testing
