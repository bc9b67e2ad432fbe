#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "deployment.h"
#include "process.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

/// The second number of the loopback addresses; those of the sample deployments are lower.
constexpr int FirstNetwork = 90;
constexpr int StorePort = 8102;
constexpr int OrdersPort = 8103;
constexpr int CallerPort = 8104;
constexpr int ReadyPort = 8108;
constexpr int OperatorPort = 7380;
constexpr int ServerPort = 8080;

struct ServerSpec
{
    std::string id;
    std::string service;
    std::string ip;
};

const std::vector<ServerSpec> Servers{
    {"i-s1a", "s1", "11"}, {"i-s1b", "s1", "12"},    {"i-s2a", "s2", "13"},   {"i-s2b", "s2", "14"},
    {"i-s3a", "s3", "15"}, {"i-oa", "orders", "16"}, {"i-ob", "orders", "17"}};

/// A store, servers and one entry VM on loopback addresses of their own.
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

    void startVm()
    {
        const Json settings{{"vm", "a-1"},
                            {"failure_domain", "a"},
                            {"region", "r"},
                            {"caller_address", at("3", CallerPort)},
                            {"ready_address", at("3", ReadyPort)},
                            {"operator_address", at("3", OperatorPort)},
                            {"store_address", at("1", StorePort)},
                            {"vms_at_most", 1},
                            {"retry_budget", {{"ratio", 0}, {"slack", m_slack}, {"window_s", 60}}},
                            {"watch_wait_ms", 500}};
        std::ofstream(m_folder + "/settings.json") << settings.dump();
        m_vm = std::make_unique<Process>(
            "mangoshift",
            std::vector<std::string>{"entry", "--settings", m_folder + "/settings.json"},
            m_folder + "/vm.log");
    }

    /// `all` fans out over three shards; `changing` is forwarded to `service`, `orders` may run
    /// once.
    void configure(int version, const std::string &service)
    {
        const auto route = [](const std::string &name, const std::string &kind, const Json &more) {
            Json json{{"name", name},  {"host", "shop.example"}, {"prefix", "/" + name + "/"},
                      {"kind", kind},  {"timeout_ms", 4000},     {"target_latency_ms", 1000},
                      {"priority", 1}, {"max_attempts", 2}};
            json.update(more);
            return json;
        };
        Json document{{"version", version}, {"services", Json::array()}};
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
        const Json entry{{"service", server.service},
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

    httplib::Result ask(const std::string &method, const std::string &path, const std::string &id)
    {
        httplib::Client client(ip("3"), CallerPort);
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

    bool isReady()
    {
        const auto result = httplib::Client(ip("3"), ReadyPort).Get("/api/ready");
        return result && result->status == 200;
    }

    /// Which servers ran the request, in their order.
    std::vector<std::string> ranBy(const std::string &id)
    {
        const auto result = httplib::Client(ip("2"), OrdersPort).Get("/ran");
        REQUIRE(result);
        return Json::parse(result->body).value(id, std::vector<std::string>());
    }

    int arrivals()
    {
        const auto result = httplib::Client(ip("2"), OrdersPort).Get("/arrivals");
        REQUIRE(result);
        return std::stoi(result->body);
    }

    std::string log() const
    {
        std::ostringstream text;
        text << std::ifstream(m_folder + "/vm.log").rdbuf();
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

    Process &vm() { return *m_vm; }

private:
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
    std::unique_ptr<Process> m_vm;
};

/// The record that a server of `service` makes as its `i`-th.
std::string record(int i, const std::string &service)
{
    std::string text = std::to_string(i) + service;
    text.resize(16, '.');
    return text;
}

bool contains(const std::string &text, const std::string &what)
{
    return text.find(what) != std::string::npos;
}

} // namespace

TEST_CASE("An entry VM on the platform serves a healthy day")
{
    EntrySystem system;

    SECTION("a fan-out is answered with the greatest records of all shards")
    {
        const auto answer = system.ask("GET", "/all/x", "r1");
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->get_header_value("X-Missing-Parts") == "0");
        CHECK(answer->body
              == record(3, "s3") + record(3, "s2") + record(3, "s1") + record(2, "s3")
                  + record(2, "s2"));
        CHECK(system.ranBy("r1").size() == 3);
    }
    SECTION("a forwarded request gets the server's own answer")
    {
        const auto answer = system.ask("POST", "/orders/x", "r2");
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->get_header_value("X-Request-Id") == "r2");
        CHECK(answer->get_header_value("X-Server-Stamp").starts_with("i-o"));
        CHECK(system.ranBy("r2").size() == 1);
    }
    SECTION("a path without a route gets 404")
    {
        const auto answer = system.ask("GET", "/unheard/x", "r3");
        REQUIRE(answer);
        CHECK(answer->status == 404);
    }
    SECTION("a new version moves a route, and an entry of another writer changes nothing")
    {
        system.putItem("servers/i-strange", "no entry at all");
        system.configure(5, "s3");
        CHECK(eventually([&system] {
            static int n = 0;
            const std::string id = "moved-" + std::to_string(n++);
            system.ask("GET", "/changing/x", id);
            return system.ranBy(id) == std::vector<std::string>{"i-s3a"};
        }));
        CHECK(eventually([&system] {
            return contains(system.log(), "event=entry_rejected key=servers/i-strange");
        }));
        AND_WHEN("an older version is written")
        {
            system.configure(4, "s2");
            system.putItem("servers/i-other", "{}");
            REQUIRE(
                eventually([&system] { return contains(system.log(), "key=servers/i-other"); }));
            THEN("the newer one stays in force")
            {
                system.ask("GET", "/changing/x", "after");
                CHECK(system.ranBy("after") == std::vector<std::string>{"i-s3a"});
            }
        }
    }
}

TEST_CASE("A request that may run once at most is sent again only where it surely has not run")
{
    EntrySystem system;

    SECTION("one server refuses it unrun: the other runs it")
    {
        system.setServer("i-oa", "shed");
        for (int i = 0; i < 10; ++i) {
            const std::string id = "shed-" + std::to_string(i);
            const auto answer = system.ask("POST", "/orders/x", id);
            REQUIRE(answer);
            CHECK(answer->status == 200);
            CHECK(system.ranBy(id) == std::vector<std::string>{"i-ob"});
        }
    }
    SECTION("all refuse it unrun: the caller is told that it has not run, and when to come back")
    {
        system.setServer("i-oa", "shed");
        system.setServer("i-ob", "shed");
        const auto answer = system.ask("POST", "/orders/x", "full");
        REQUIRE(answer);
        CHECK(answer->status == 503);
        CHECK(answer->has_header("Retry-After"));
        CHECK(system.ranBy("full").empty());
        const std::string line = system.lineOf("full");
        CHECK(contains(line, "outcome=refused"));
        CHECK(contains(line, "reason=refused"));
    }
    SECTION("its answer is lost, cut or never comes as one: it is not sent again, nor called unrun")
    {
        for (const std::string mode : {"lose", "cut"}) {
            system.setServer("i-oa", mode);
            system.setServer("i-ob", mode);
            const auto answer = system.ask("POST", "/orders/x", "id-" + mode);
            REQUIRE(answer);
            INFO("servers that " << mode);
            CHECK(answer->status == 502);
            CHECK(system.ranBy("id-" + mode).size() == 1);
            const std::string line = system.lineOf("id-" + mode);
            CHECK(contains(line, "execution=may_have_run reason=lost"));
            CHECK(contains(line, ":failed:orders@" + system.ranBy("id-" + mode).front()));
        }
    }
    SECTION("the server fails it itself: the caller gets that answer")
    {
        system.setServer("i-oa", "fail");
        system.setServer("i-ob", "fail");
        const auto answer = system.ask("POST", "/orders/x", "failed");
        REQUIRE(answer);
        CHECK(answer->status == 500);
        CHECK(answer->has_header("X-Server-Stamp"));
        CHECK(system.ranBy("failed").size() == 1);
    }
}

TEST_CASE("Requests that wait for a server do not draw on the retry budget twice")
{
    constexpr int slack = 5;
    constexpr int callers = 40;
    EntrySystem system(slack);
    system.setServer("i-oa", "shed");
    system.setServer("i-ob", "shed");
    const int before = system.arrivals();
    for (const int status : system.askAtOnce(callers, "busy"))
        CHECK(status == 503);
    CHECK(system.arrivals() - before <= callers + slack);
}

TEST_CASE("A fan-out whose servers misbehave says truly what it covers")
{
    EntrySystem system;

    SECTION("a shard without an answer is missing, and the log names it")
    {
        system.setServer("i-s3a", "lose");
        const auto answer = system.ask("GET", "/all/x", "partial");
        REQUIRE(answer);
        CHECK(answer->status == 200);
        CHECK(answer->get_header_value("X-Missing-Parts") == "1");
        CHECK(answer->body.substr(0, 16) == record(3, "s2"));
        CHECK_FALSE(contains(answer->get_header_value("X-Part-Stamps"), "i-s3a"));
        const std::string line = system.lineOf("partial");
        CHECK(contains(line, "outcome=partial"));
        CHECK(contains(line, "parts=2/3"));
        CHECK(contains(line, "missing=s3@i-s3a"));
    }
    SECTION("a replica takes over where the other loses its answer, stays mute or fails")
    {
        for (const std::string mode : {"lose", "mute", "fail", "shed", "cut"}) {
            system.setServer("i-s1a", mode);
            for (int i = 0; i < 4; ++i) {
                const auto answer = system.ask("GET", "/all/x", mode + std::to_string(i));
                REQUIRE(answer);
                INFO("a server that is set to " << mode);
                CHECK(answer->status == 200);
                CHECK(answer->get_header_value("X-Missing-Parts") == "0");
            }
        }
    }
    SECTION("second answers behind the first are never taken for those of the next request")
    {
        for (const ServerSpec &server : Servers)
            system.setServer(server.id, "extra");
        for (int i = 0; i < 10; ++i) {
            const std::string id = "extra-" + std::to_string(i);
            const auto answer = system.ask("GET", "/changing/x", id);
            REQUIRE(answer);
            CHECK(answer->get_header_value("X-Request-Id") == id);
        }
    }
    SECTION("with less than the least coverage there is no success")
    {
        system.setServer("i-s3a", "lose");
        system.setServer("i-s2a", "lose");
        system.setServer("i-s2b", "lose");
        const auto answer = system.ask("GET", "/all/x", "uncovered");
        REQUIRE(answer);
        CHECK(answer->status == 502);
    }
}

TEST_CASE("A server whose address another has taken over is not asked again")
{
    EntrySystem system;
    // The entry names the address of the first server, which knows itself as i-oa.
    system.announce({"i-gone", "orders", Servers[5].ip}, "ready", 1);
    REQUIRE(eventually([&system] { return contains(system.log(), "target=i-gone"); }));
    const int before = system.arrivals();
    // So many at once that the others have no room.
    constexpr int callers = 60;
    for (const int status : system.askAtOnce(callers, "taken"))
        CHECK(status == 200);
    CHECK(system.arrivals() - before <= callers + 1);
    CHECK(eventually(
        [&system] { return contains(system.log(), "event=target_misdirected target=i-gone"); }));
}

TEST_CASE("Servers that leave get nothing new")
{
    EntrySystem system;
    const auto servesOnly = [&system](const std::string &id) {
        static int n = 0;
        for (int i = 0; i < 8; ++i) {
            const std::string request = "leave-" + std::to_string(n++);
            system.ask("POST", "/orders/x", request);
            if (system.ranBy(request) != std::vector<std::string>{id})
                return false;
        }
        return true;
    };

    SECTION("once they say that they are draining")
    {
        system.announce(Servers[5], "draining", 2);
        CHECK(eventually([&] { return servesOnly("i-ob"); }));
        AND_WHEN("an older report comes late")
        {
            system.announce(Servers[5], "ready", 1);
            system.putItem("servers/i-mark", "{}");
            REQUIRE(eventually([&system] { return contains(system.log(), "key=servers/i-mark"); }));
            THEN("it changes nothing")
            {
                CHECK(servesOnly("i-ob"));
            }
        }
    }
}

TEST_CASE("An outage of the store")
{
    EntrySystem system;

    SECTION("is served through with what is known, and what changed is taken up after it")
    {
        system.setStore("down");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
        const auto answer = system.ask("GET", "/all/x", "without");
        REQUIRE(answer);
        CHECK(answer->status == 200);
        system.configure(9, "s3");
        system.setStore("forget");
        system.setStore("ok");
        CHECK(eventually(
            [&system] { return contains(system.log(), "event=configuration_adopted version=9"); }));
        CHECK(contains(system.log(), "event=store_regained"));
    }
    SECTION("removes an entry that lapsed meanwhile once its server has had time to write again")
    {
        system.setStore("down");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
        system.withdraw(Servers[5]);
        system.setStore("ok");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_regained"); }));
        CHECK(eventually(
            [&system] { return contains(system.log(), "event=target_delisted target=i-oa"); }));
    }
    SECTION("keeps a VM that starts in it from being ready, and its callers from a false 404")
    {
        system.setStore("down");
        system.vm().signal(SIGKILL);
        system.vm().wait();
        system.startVm();
        REQUIRE(eventually([&system] {
            const auto answer = system.ask("GET", "/all/x", "early");
            return answer && answer->status == 503 && answer->has_header("Retry-After");
        }));
        CHECK_FALSE(system.isReady());
        system.setStore("ok");
        CHECK(eventually([&system] { return system.isReady(); }));
    }
}

TEST_CASE("A VM that is told to stop ends by itself and leaves no request without an answer")
{
    EntrySystem system;
    system.vm().signal(SIGTERM);
    REQUIRE(eventually([&system] { return !system.isReady(); }));
    const auto answer = system.ask("GET", "/all/x", "late");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->get_header_value("Connection") == "close");
    CHECK(system.vm().wait() == 0);
    CHECK(contains(system.log(), "event=vm_stopped"));
}
