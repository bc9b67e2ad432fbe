#include <algorithm>
#include <chrono>
#include <csignal>
#include <future>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "entrysystem.h"
#include "rawconnection.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

/// Returns the `i`-th record that a target of `service` is expected to return.
std::string expectedRecord(int i, const std::string &service)
{
    std::string text = std::to_string(i) + service;
    text.resize(16, '.');
    return text;
}

/// The latency target of each route.
constexpr int LatencyTargetMs = 1000;
/// How long a test that repeats requests waits for the log line of one of them.
constexpr std::chrono::seconds LogLineTimeout{3};
constexpr std::chrono::milliseconds MinProbePause{100};
constexpr std::chrono::milliseconds ProbeRoundPause{200};

/// Returns how long a request took by the log line of its end.
int millisecondsTaken(const std::string &line)
{
    const std::string field = " took_ms=";
    return std::stoi(line.substr(line.find(field) + field.size()));
}

bool contains(const std::string &text, const std::string &what)
{
    return text.find(what) != std::string::npos;
}

} // namespace

TEST_CASE("An entry VM serves requests while nothing fails")
{
    EntrySystem system;

    SECTION("a fan-out request returns the greatest records of all shards")
    {
        const auto response = system.sendRequest("GET", "/all/x", "r1");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Missing-Parts") == "0");
        CHECK(response->body
              == expectedRecord(3, "s3") + expectedRecord(3, "s2") + expectedRecord(3, "s1")
                  + expectedRecord(2, "s3") + expectedRecord(2, "s2"));
        CHECK(system.targetsThatRan("r1").size() == 3);
    }
    SECTION("a forwarded request gets the response of the target")
    {
        const auto response = system.sendRequest("POST", "/orders/x", "r2");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Request-Id") == "r2");
        CHECK(response->get_header_value("X-Server-Stamp").starts_with("i-o"));
        CHECK(system.targetsThatRan("r2").size() == 1);
    }
    SECTION("a path without a route gets 404")
    {
        const auto response = system.sendRequest("GET", "/unheard/x", "r3");
        REQUIRE(response);
        CHECK(response->status == 404);
    }
    SECTION("a new configuration changes a route, and an invalid registry entry changes nothing")
    {
        system.putItem("servers/i-strange", "no entry at all");
        system.publishConfiguration(5, "s3");
        CHECK(eventually([&system] {
            static int n = 0;
            const std::string id = "moved-" + std::to_string(n++);
            system.sendRequest("GET", "/changing/x", id);
            return system.targetsThatRan(id) == std::vector<std::string>{"i-s3a"};
        }));
        CHECK(eventually([&system] {
            return contains(system.log(), "event=entry_rejected key=servers/i-strange");
        }));
        AND_WHEN("an older version is published")
        {
            system.publishConfiguration(4, "s2");
            system.putItem("servers/i-other", "{}");
            REQUIRE(
                eventually([&system] { return contains(system.log(), "key=servers/i-other"); }));
            THEN("the newer version stays in force")
            {
                system.sendRequest("GET", "/changing/x", "after");
                CHECK(system.targetsThatRan("after") == std::vector<std::string>{"i-s3a"});
            }
        }
    }
}

TEST_CASE("A request that may run at most once is retried only if it is certain not to have run")
{
    EntrySystem system;

    SECTION("if one target refuses to run it, the other target runs it")
    {
        system.setTargetMode("i-oa", "shed");
        for (int i = 0; i < 10; ++i) {
            const std::string id = "shed-" + std::to_string(i);
            const auto response = system.sendRequest("POST", "/orders/x", id);
            REQUIRE(response);
            CHECK(response->status == 200);
            CHECK(system.targetsThatRan(id) == std::vector<std::string>{"i-ob"});
        }
    }
    SECTION("if all targets refuse to run it, the caller gets 503 with Retry-After")
    {
        system.setTargetMode("i-oa", "shed");
        system.setTargetMode("i-ob", "shed");
        const auto response = system.sendRequest("POST", "/orders/x", "full");
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(response->has_header("Retry-After"));
        CHECK(system.targetsThatRan("full").empty());
        const std::string line = system.waitForLogLine("full");
        CHECK(contains(line, "outcome=refused"));
        CHECK(contains(line, "reason=refused"));
    }
    SECTION("if its response is lost or truncated, it is not retried and may have run")
    {
        for (const std::string mode : {"lose", "cut"}) {
            system.setTargetMode("i-oa", mode);
            system.setTargetMode("i-ob", mode);
            const auto response = system.sendRequest("POST", "/orders/x", "id-" + mode);
            REQUIRE(response);
            INFO("mode of both targets: " << mode);
            CHECK(response->status == 502);
            CHECK(system.targetsThatRan("id-" + mode).size() == 1);
            const std::string line = system.waitForLogLine("id-" + mode);
            CHECK(contains(line, "execution=may_have_run reason=lost"));
            CHECK(contains(line, ":failed:orders@" + system.targetsThatRan("id-" + mode).front()));
        }
    }
    SECTION("if the target responds with an error, the caller gets that response")
    {
        system.setTargetMode("i-oa", "fail");
        system.setTargetMode("i-ob", "fail");
        const auto response = system.sendRequest("POST", "/orders/x", "failed");
        REQUIRE(response);
        CHECK(response->status == 500);
        CHECK(response->has_header("X-Server-Stamp"));
        CHECK(system.targetsThatRan("failed").size() == 1);
    }
}

TEST_CASE("Requests that a caller sends before the previous response are all answered, in order")
{
    EntrySystem system;
    RawConnection caller(system.callerAddress());
    const auto order = [](const std::string &id) {
        return "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
            + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 3\r\n\r\none";
    };
    caller.send(order("piped-1") + order("piped-2") + order("piped-3"));
    for (const std::string id : {"piped-1", "piped-2", "piped-3"}) {
        CHECK(caller.receives("X-Request-Id: " + id));
        CHECK(system.targetsThatRan(id).size() == 1);
    }
}

TEST_CASE("A caller that closes its sending side after a request gets an answer or a refusal")
{
    EntrySystem system;
    RawConnection caller(system.callerAddress());
    const auto send = [&caller](const std::string &method, const std::string &path,
                                const std::string &id) {
        caller.send(method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: " + id
                    + "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n");
    };
    const auto sendAndFinish = [&](const std::string &method, const std::string &path,
                                   const std::string &id) {
        send(method, path, id);
        REQUIRE(eventually([&] { return system.targetsThatRan(id).size() == 1; }));
        caller.finishSending();
        return caller.readToEnd();
    };

    SECTION("an answer, or a refusal if the request was not sent yet")
    {
        send("POST", "/orders/x", "at-once");
        caller.finishSending();
        const std::string answer = caller.readToEnd();
        const bool isAnswered = contains(answer, "HTTP/1.1 200 ");
        CHECK((isAnswered || contains(answer, "\"execution\":\"not_run\"")));
        CHECK(system.targetsThatRan("at-once").size() == (isAnswered ? 1 : 0));
    }
    SECTION("an answer that arrives soon")
    {
        CHECK(contains(sendAndFinish("POST", "/orders/x", "half"), "HTTP/1.1 200 "));
        CHECK(system.targetsThatRan("half").size() == 1);
    }
    SECTION("the parts of a query that have arrived soon")
    {
        system.setTargetMode("i-s1a", "mute");
        system.setTargetMode("i-s1b", "mute");
        send("GET", "/all/x", "part");
        // The mute targets run their part too.
        REQUIRE(eventually([&system] { return system.targetsThatRan("part").size() >= 3; }));
        caller.finishSending();
        const std::string answer = caller.readToEnd();
        CHECK(contains(answer, "HTTP/1.1 200 "));
        CHECK(contains(answer, "X-Missing-Parts: 1"));
    }
    SECTION("a failure that says it may have run if the target does not answer soon")
    {
        system.setTargetMode("i-oa", "mute");
        system.setTargetMode("i-ob", "mute");
        const auto sentAt = std::chrono::steady_clock::now();
        const std::string answer = sendAndFinish("POST", "/orders/x", "mute");
        CHECK(std::chrono::steady_clock::now() - sentAt < std::chrono::seconds(2));
        CHECK(contains(answer, "HTTP/1.1 502 "));
        CHECK(contains(answer, "\"execution\":\"may_have_run\""));
        CHECK(system.targetsThatRan("mute").size() == 1);
        const std::string line = system.waitForLogLine("mute");
        CHECK(contains(line, "outcome=caller_left"));
        CHECK(contains(line, ":caller_left:orders:caller_closed"));
    }
}

TEST_CASE("A shorter idle limit ends no connection whose caller counts on the longer one")
{
    EntrySystem system;
    const std::string order = "POST /orders/x HTTP/1.1\r\nHost: shop.example\r\n"
                              "X-Deadline-Ms: 3000\r\nContent-Length: 0\r\nX-Request-Id: ";
    RawConnection early(system.callerAddress());
    early.send(order + "first\r\n\r\n");
    REQUIRE(early.receives("X-Request-Id: first"));

    system.publishConfiguration(2, "s1", 26, std::chrono::milliseconds(1));
    REQUIRE(eventually(
        [&system] { return contains(system.log(), "event=configuration_adopted version=2"); }));
    RawConnection late(system.callerAddress());
    CHECK(late.readToEnd().empty());

    early.send(order + "second\r\n\r\n");
    CHECK(early.receives("X-Request-Id: second"));
    CHECK(system.targetsThatRan("second").size() == 1);
}

TEST_CASE("A request that waits for a target is charged to the retry budget once")
{
    constexpr int slack = 5;
    constexpr int callers = 40;
    EntrySystem system(slack);
    system.setTargetMode("i-oa", "shed");
    system.setTargetMode("i-ob", "shed");
    const int before = system.arrivalCount();
    for (const int status : system.sendOrdersAtOnce(callers, "busy"))
        CHECK(status == 503);
    CHECK(system.arrivalCount() - before <= callers + slack);
}

TEST_CASE("A fan-out response states its coverage correctly while targets misbehave")
{
    EntrySystem system;

    SECTION("a shard that does not respond is counted as missing, and the log names it")
    {
        system.setTargetMode("i-s3a", "lose");
        const auto response = system.sendRequest("GET", "/all/x", "partial");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Missing-Parts") == "1");
        CHECK(response->body.substr(0, 16) == expectedRecord(3, "s2"));
        CHECK_FALSE(contains(response->get_header_value("X-Part-Stamps"), "i-s3a"));
        const std::string line = system.waitForLogLine("partial");
        CHECK(contains(line, "outcome=partial"));
        CHECK(contains(line, "parts=2/3"));
        CHECK(contains(line, "missing=s3@i-s3a"));
    }
    SECTION(
        "another replica is used if one loses or cuts its response, is silent, refuses or fails")
    {
        for (const std::string mode :
             {"lose", "mute", "fail", "shed", "cut", "endless-head", "endless-body", "no-stamp"}) {
            system.setTargetMode("i-s1a", mode);
            for (int i = 0; i < 4; ++i) {
                const auto response = system.sendRequest("GET", "/all/x", mode + std::to_string(i));
                REQUIRE(response);
                INFO("mode of the target: " << mode);
                CHECK(response->status == 200);
                CHECK(response->get_header_value("X-Missing-Parts") == "0");
            }
        }
    }
    SECTION("an extra response on a connection is not used for the next request")
    {
        for (const TargetSpec &target : Targets)
            system.setTargetMode(target.id, "extra");
        for (int i = 0; i < 10; ++i) {
            const std::string id = "extra-" + std::to_string(i);
            const auto response = system.sendRequest("GET", "/changing/x", id);
            REQUIRE(response);
            CHECK(response->get_header_value("X-Request-Id") == id);
        }
    }
    // With "no-stamp", guards against a success with an empty stamp that counts as an answer.
    for (const std::string mode : {"lose", "no-stamp"}) {
        DYNAMIC_SECTION("coverage below the minimum is an error, in mode " << mode)
        {
            system.setTargetMode("i-s3a", mode);
            system.setTargetMode("i-s2a", mode);
            system.setTargetMode("i-s2b", mode);
            const auto response = system.sendRequest("GET", "/all/x", "uncovered");
            REQUIRE(response);
            CHECK(response->status == 502);
        }
    }
}

// Guards against a log that names a target as missing although its response was passed on.
TEST_CASE("A response without a stamp that is not a success is passed on and not logged as missing")
{
    EntrySystem system;
    system.setTargetMode("i-s1a", "unknown");
    system.setTargetMode("i-s1b", "unknown");
    int requests = 0;
    std::string line;
    // One of some 64 ordinary requests is logged.
    CHECK(eventually([&] {
        const std::string id = "unknown-" + std::to_string(++requests);
        const auto response = system.sendRequest("GET", "/changing/x", id);
        REQUIRE(response);
        CHECK(response->status == 404);
        CHECK(system.targetsThatRan(id).size() == 1);
        std::istringstream lines(system.log());
        for (std::string each; std::getline(lines, each);)
            line = contains(each, "status=404") ? each : line;
        return !line.empty();
    }));
    CHECK(contains(line, "outcome=complete"));
    CHECK(contains(line, "missing=\"\" "));
}

// Guards against a target that keeps its share of the requests although none of its answers ends.
TEST_CASE("A target whose answers never end gets few requests")
{
    for (const std::string mode : {"endless-head", "endless-body"}) {
        DYNAMIC_SECTION("in mode " << mode)
        {
            EntrySystem system;
            system.setTargetMode("i-s1a", mode);
            constexpr int requests = 60;
            int arrivedAtIt = 0;
            for (int i = 0; i < requests; ++i) {
                const std::string id = mode + std::to_string(i);
                const auto response = system.sendRequest("GET", "/changing/x", id);
                REQUIRE(response);
                CHECK(response->status == 200);
                for (const std::string &target : system.targetsThatRan(id))
                    arrivedAtIt += target == "i-s1a" ? 1 : 0;
            }
            CHECK(arrivedAtIt <= requests / 6);
            CHECK(eventually([&system] {
                system.sendRequest("GET", "/changing/x", "further");
                return contains(system.log(), "event=target_failing target=i-s1a");
            }));
        }
    }
}

TEST_CASE("A target that says in its responses that it leaves gets no further requests")
{
    EntrySystem system;
    const auto arrivedAt = [&system](const std::string &prefix, const std::string &target) {
        int arrived = 0;
        for (int i = 0; i < 40; ++i) {
            const std::string id = prefix + std::to_string(i);
            const auto response = system.sendRequest("POST", "/orders/x", id);
            REQUIRE(response);
            CHECK(response->status == 200);
            for (const std::string &ran : system.targetsThatRan(id))
                arrived += ran == target ? 1 : 0;
        }
        return arrived;
    };
    system.setTargetMode("i-oa", "leaving");
    CHECK(arrivedAt("first", "i-oa") == 1);
    CHECK(eventually(
        [&system] { return contains(system.log(), "event=target_leaving target=i-oa"); }));
    system.setTargetMode("i-oa", "ok");

    SECTION("although its entry still says that it is ready")
    {
        system.announce(Targets[5], "ready", 5);
        system.publishConfiguration(4, "s1");
        REQUIRE(eventually(
            [&system] { return contains(system.log(), "configuration_adopted version=4"); }));
        CHECK(arrivedAt("ready", "i-oa") == 0);
    }
    SECTION("although its entry is removed and written again")
    {
        system.removeEntry(Targets[5]);
        REQUIRE(eventually(
            [&system] { return contains(system.log(), "event=target_delisted target=i-oa"); }));
        system.announce(Targets[5], "ready", 6);
        REQUIRE(
            eventually([&system] { return system.registry(1).at("targets").contains("i-oa"); }));
        CHECK(arrivedAt("again", "i-oa") == 0);
    }
    SECTION("and a service of which all targets leave is refused at once, as not run")
    {
        system.setTargetMode("i-ob", "leaving");
        REQUIRE(system.sendRequest("POST", "/orders/x", "last"));
        const int before = system.arrivalCount();
        const auto response = system.sendRequest("POST", "/orders/x", "refused");
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(response->has_header("Retry-After"));
        CHECK(system.arrivalCount() == before);
        CHECK(contains(system.waitForLogLine("refused"), ":not_sent:orders:leaving"));
    }
    SECTION("until it starts anew")
    {
        system.announce(Targets[5], "ready", 1, 1'800'000'000'000);
        CHECK(eventually([&] { return arrivedAt("anew", "i-oa") > 0; }));
    }
}

TEST_CASE("A target that asks for a pause gets no requests until it is over")
{
    EntrySystem system;
    system.setTargetMode("i-oa", "pause");
    system.setTargetMode("i-ob", "pause");
    const int before = system.arrivalCount();
    const auto first = system.sendRequest("POST", "/orders/x", "first");
    REQUIRE(first);
    CHECK(first->status == 503);
    CHECK(system.arrivalCount() - before == 2);
    // A request that lasts longer than the pause waits for its end.
    system.setTargetMode("i-oa", "ok");
    system.setTargetMode("i-ob", "ok");
    const auto second = system.sendRequest("POST", "/orders/x", "second");
    REQUIRE(second);
    CHECK(second->status == 200);
    CHECK(system.targetsThatRan("second").size() == 1);
    CHECK(contains(system.log(), "event=target_pauses target=i-oa"));

    SECTION("and a request that cannot wait so long is refused at once, with the time to return")
    {
        system.setTargetMode("i-oa", "pause");
        system.setTargetMode("i-ob", "pause");
        REQUIRE(eventually([&system] {
            const auto response = system.sendRequest("POST", "/orders/x", "third", 1, 600);
            return response && response->status == 503;
        }));
        const int paused = system.arrivalCount();
        const auto response = system.sendRequest("POST", "/orders/x", "fourth", 1, 600);
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(std::stod(response->get_header_value("Retry-After")) > 0.5);
        CHECK(system.arrivalCount() == paused);
        const std::string line = system.waitForLogLine("fourth");
        CHECK(contains(line, "execution=not_run reason=no_replica"));
        CHECK(contains(line, ":not_sent:orders:paused"));
    }
    SECTION("and a query over shards is answered without it at once")
    {
        system.setTargetMode("i-s3a", "pause");
        REQUIRE(system.sendRequest("GET", "/all/x", "asks"));
        const int paused = system.arrivalCount();
        const auto response = system.sendRequest("GET", "/all/x", "partial");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Missing-Parts") == "1");
        CHECK(system.arrivalCount() == paused + 2);
    }
}

TEST_CASE("A target that names a limit gets no more requests than it allows")
{
    EntrySystem system;
    for (const std::string target : {"i-oa", "i-ob"})
        system.setTargetMode(target, "limit=5");
    REQUIRE(eventually([&system] {
        system.sendRequest("POST", "/orders/x", "first");
        std::this_thread::sleep_for(MinProbePause);
        return contains(system.log(), "event=target_limit_named target=i-oa")
            && contains(system.log(), "event=target_limit_named target=i-ob");
    }));
    // The rule of the users: in any 4 s at most one and a half times the limit, and 5 requests.
    const auto sendMany = [&system] {
        const int before = system.arrivalCount();
        const auto start = std::chrono::steady_clock::now();
        std::chrono::duration<double> took{};
        int answered = 0;
        for (int i = 0; took < std::chrono::seconds(4); ++i) {
            for (const int status : system.sendOrdersAtOnce(20, "many-" + std::to_string(i)))
                answered += status == 200 ? 1 : 0;
            took = std::chrono::steady_clock::now() - start;
        }
        const int arrived = system.arrivalCount() - before;
        CHECK(arrived == answered);
        CHECK(arrived <= 2 * (1.5 * 5.0 * took.count() + 5.0));
        return answered;
    };

    SECTION("while it answers requests that wait for their turn")
    {
        // A VM that has just started grants a half of the limits at first.
        CHECK(sendMany() >= 0.4 * 2 * 5.0 * 4.0);
    }
    SECTION("whatever its entry and the configuration say")
    {
        system.removeEntry(Targets[5]);
        REQUIRE(eventually(
            [&system] { return contains(system.log(), "event=target_delisted target=i-oa"); }));
        system.announce(Targets[5], "ready", 6);
        system.publishConfiguration(4, "s1");
        REQUIRE(eventually(
            [&system] { return contains(system.log(), "configuration_adopted version=4"); }));
        sendMany();
    }
    SECTION("and a request that finds no room in its time is refused at once, as not run")
    {
        // The pool holds as much of the higher limits as it may when they fall.
        REQUIRE(eventually([&system] {
            const auto response = system.sendRequest("POST", "/orders/x", "holds");
            return response && response->status == 200;
        }));
        std::this_thread::sleep_for(std::chrono::seconds(2));
        const auto start = std::chrono::steady_clock::now();
        system.setTargetMode("i-oa", "limit=0");
        system.setTargetMode("i-ob", "limit=0");
        REQUIRE(eventually([&system] {
            system.sendRequest("POST", "/orders/x", "falls", 1, 300);
            std::this_thread::sleep_for(MinProbePause);
            const std::string log = system.log();
            return contains(log, "event=target_limit_changed target=i-oa")
                && contains(log, "event=target_limit_changed target=i-ob");
        }));
        // A target that takes nothing gets a request in some four seconds, as only its response
        // can end the limit. Of a limit of 5 the pool holds no more than what is due in a second.
        const auto allowedRuns = [&start] {
            const auto elapsed = std::chrono::steady_clock::now() - start;
            return 2 * ((elapsed + std::chrono::seconds(1)) / std::chrono::seconds(4));
        };
        int runs = 0;
        auto response = system.sendRequest("POST", "/orders/x", "refused-0", 1, 1000);
        while (response && response->status == 200) {
            ++runs;
            INFO(runs << " requests found room");
            REQUIRE(runs <= allowedRuns());
            response =
                system.sendRequest("POST", "/orders/x", "refused-" + std::to_string(runs), 1, 1000);
        }
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(response->has_header("Retry-After"));
        const std::string refused = "refused-" + std::to_string(runs);
        CHECK(system.targetsThatRan(refused).empty());
        const std::string line = system.waitForLogLine(refused);
        CHECK(contains(line, "execution=not_run reason=overloaded"));
        CHECK(contains(line, ":not_sent:orders:limited"));
    }
    SECTION("until it no longer names one")
    {
        system.setTargetMode("i-oa", "ok");
        REQUIRE(eventually([&system] {
            system.sendRequest("POST", "/orders/x", "ends");
            std::this_thread::sleep_for(MinProbePause);
            return contains(system.log(), "event=target_limit_ended target=i-oa");
        }));
        int answered = 0;
        for (const int status : system.sendOrdersAtOnce(40, "free-"))
            answered += status == 200 ? 1 : 0;
        CHECK(answered == 40);
    }
}

TEST_CASE("A query over shards whose targets have named limits")
{
    EntrySystem system;
    const auto nameLimits = [&system](const std::vector<std::string> &targets) {
        for (const std::string &target : targets)
            system.setTargetMode(target, "limit=0");
        REQUIRE(eventually([&system, &targets] {
            system.sendRequest("GET", "/all/x", "asks");
            std::this_thread::sleep_for(MinProbePause);
            const std::string log = system.log();
            return std::all_of(targets.begin(), targets.end(), [&log](const std::string &target) {
                return contains(log, "event=target_limit_named target=" + target);
            });
        }));
    };

    SECTION("is answered without a shard that has no room, if the others suffice")
    {
        nameLimits({"i-s3a"});
        const int before = system.arrivalCount();
        const auto response = system.sendRequest("GET", "/all/x", "partial");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Missing-Parts") == "1");
        CHECK(system.arrivalCount() == before + 2);
    }
    SECTION("is refused before any part is sent if they do not")
    {
        nameLimits({"i-s3a", "i-s2a", "i-s2b"});
        const int before = system.arrivalCount();
        const auto response = system.sendRequest("GET", "/all/x", "refused");
        REQUIRE(response);
        CHECK(response->status == 503);
        CHECK(response->has_header("Retry-After"));
        CHECK(system.arrivalCount() == before);
        CHECK(contains(system.waitForLogLine("refused"), ":no_permits:all"));
    }
    SECTION("uses a target without a limit if a shard has one")
    {
        nameLimits({"i-s2a"});
        const auto response = system.sendRequest("GET", "/all/x", "whole");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Missing-Parts").find_first_not_of('0')
              == std::string::npos);
    }
}

TEST_CASE("A request is refused at once while each target fails and is being probed")
{
    EntrySystem system;
    for (const std::string target : {"i-oa", "i-ob"})
        system.setTargetMode(target, "mute");
    // Two unanswered requests in a row make a target fail, and those in flight probe both of them.
    // The pause between them leaves the VM's log within its limit.
    std::future<void> probes;
    std::promise<void> done;
    probes = std::async(std::launch::async, [&system, isDone = done.get_future()] {
        for (int i = 0; isDone.wait_for(ProbeRoundPause) == std::future_status::timeout; ++i)
            system.sendOrdersAtOnce(8, "probe-" + std::to_string(i) + "-");
    });
    int attempts = 0;
    CHECK(eventually([&] {
        const std::string id = "refused-" + std::to_string(++attempts);
        const auto response = system.sendRequest("POST", "/orders/x", id, 1, 400);
        return response && response->status == 503 && system.targetsThatRan(id).empty()
            && contains(system.waitForLogLine(id, LogLineTimeout), ":not_sent:orders:failing");
    }));
    done.set_value();
    probes.wait();

    SECTION("and served again when they respond")
    {
        for (const std::string target : {"i-oa", "i-ob"})
            system.setTargetMode(target, "ok");
        CHECK(eventually([&system] {
            const auto response = system.sendRequest("POST", "/orders/x", "served");
            return response && response->status == 200;
        }));
    }
}

// Guards against queries that wait for shards whose targets all fail: for the answer, or for the
// failure, of the request that probes them.
TEST_CASE("A query over shards does not wait for shards whose targets all fail")
{
    EntrySystem system;
    // Keeps a few queries pending, which find that the targets fail and probe them. They are
    // repeated slowly, whatever the response, so that no log line is left out.
    std::promise<void> done;
    const std::shared_future<void> isDone = done.get_future();
    std::vector<std::future<void>> probes;
    const auto startProbes = [&] {
        for (int i = 0; i < 3; ++i)
            probes.push_back(std::async(std::launch::async, [&system, isDone, i] {
                std::chrono::duration<double> pause{0};
                for (int n = 0; isDone.wait_for(pause) == std::future_status::timeout; ++n) {
                    const auto response = system.sendRequest(
                        "GET", "/all/x", "probe-" + std::to_string(i) + "-" + std::to_string(n));
                    const std::string text =
                        response ? response->get_header_value("Retry-After") : "";
                    pause = std::max<std::chrono::duration<double>>(
                        MinProbePause,
                        std::chrono::duration<double>(text.empty() ? 0.0 : std::stod(text)));
                }
            }));
    };
    // Repeats a query until its response has this status and its log line contains `text`, and it
    // took less than the time from which partial answers are sent although shards are pending.
    const auto isEventually = [&system](int status, const std::string &name,
                                        const std::string &text) {
        return eventually([&system, &name, status, text, attempts = 0]() mutable {
            const std::string id = name + std::to_string(++attempts);
            const auto response = system.sendRequest("GET", "/all/x", id);
            const bool isExpected = response && response->status == status
                && (status == 200 ? response->get_header_value("X-Missing-Parts") == "1"
                                  : system.targetsThatRan(id).empty());
            const std::string line =
                isExpected ? system.waitForLogLine(id, LogLineTimeout) : std::string();
            return contains(line, text) && millisecondsTaken(line) < LatencyTargetMs / 2;
        });
    };

    SECTION("but is answered without them, before it would give up waiting")
    {
        system.setTargetMode("i-s3a", "mute");
        startProbes();
        CHECK(isEventually(200, "partial", ":waits:s3:failing"));
    }
    SECTION("and is refused at once, as not run, if too few others are left")
    {
        for (const std::string target : {"i-s2a", "i-s2b", "i-s3a"})
            system.setTargetMode(target, "mute");
        startProbes();
        CHECK(isEventually(503, "refused", ":not_sent:s3:failing"));
        AND_WHEN("they respond again")
        {
            for (const std::string target : {"i-s2a", "i-s2b", "i-s3a"})
                system.setTargetMode(target, "ok");
            CHECK(eventually([&system] {
                const auto response = system.sendRequest("GET", "/all/x", "served");
                return response && response->status == 200
                    && response->get_header_value("X-Missing-Parts") == "0";
            }));
        }
    }
    done.set_value();
    for (auto &probe : probes)
        probe.wait();
}

TEST_CASE("A target whose address was taken over by another target gets no further requests")
{
    EntrySystem system;
    // The entry of i-gone has the address where i-oa listens and identifies itself.
    system.announce({"i-gone", "orders", Targets[5].lastOctet}, "ready", 1);
    REQUIRE(eventually([&system] { return contains(system.log(), "target=i-gone"); }));
    const int before = system.arrivalCount();
    // More requests at once than the other targets have free slots for.
    constexpr int callers = 60;
    for (const int status : system.sendOrdersAtOnce(callers, "taken"))
        CHECK(status == 200);
    CHECK(system.arrivalCount() - before <= callers + 1);
    CHECK(eventually(
        [&system] { return contains(system.log(), "event=target_misdirected target=i-gone"); }));
}

TEST_CASE("Targets that leave get no new requests")
{
    EntrySystem system;
    // Sends orders until one is not run by the target `id` alone. Returns whether it ran all.
    const auto runsAllOrders = [&system](const std::string &id) {
        static int n = 0;
        for (int i = 0; i < 8; ++i) {
            const std::string request = "leave-" + std::to_string(n++);
            system.sendRequest("POST", "/orders/x", request);
            if (system.targetsThatRan(request) != std::vector<std::string>{id})
                return false;
        }
        return true;
    };

    SECTION("once they announce that they are draining")
    {
        system.announce(Targets[5], "draining", 2);
        CHECK(eventually([&] { return runsAllOrders("i-ob"); }));
        AND_WHEN("an older entry arrives late")
        {
            system.announce(Targets[5], "ready", 1);
            system.putItem("servers/i-mark", "{}");
            REQUIRE(eventually([&system] { return contains(system.log(), "key=servers/i-mark"); }));
            THEN("the target stays draining")
            {
                CHECK(runsAllOrders("i-ob"));
            }
        }
    }
}

TEST_CASE("An outage of the store")
{
    EntrySystem system;

    SECTION("is bridged with the last known state, and later changes are applied once it ends")
    {
        system.setStoreMode("down");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
        const auto response = system.sendRequest("GET", "/all/x", "without");
        REQUIRE(response);
        CHECK(response->status == 200);
        system.publishConfiguration(9, "s3");
        system.setStoreMode("forget");
        system.setStoreMode("ok");
        CHECK(eventually(
            [&system] { return contains(system.log(), "event=configuration_adopted version=9"); }));
        CHECK(contains(system.log(), "event=store_regained"));
    }
    SECTION("removes an entry that expired meanwhile once the grace period of its target has ended")
    {
        system.setStoreMode("down");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
        system.removeEntry(Targets[5]);
        system.setStoreMode("ok");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_regained"); }));
        CHECK(eventually(
            [&system] { return contains(system.log(), "event=target_delisted target=i-oa"); }));
    }
    SECTION("keeps a VM that starts during it unready and makes it answer 503 instead of 404")
    {
        system.setStoreMode("down");
        system.vm().signal(SIGKILL);
        system.vm().wait();
        system.startVm();
        REQUIRE(eventually([&system] {
            const auto response = system.sendRequest("GET", "/all/x", "early");
            return response && response->status == 503 && response->has_header("Retry-After");
        }));
        CHECK_FALSE(system.isReady());
        system.setStoreMode("ok");
        CHECK(eventually([&system] { return system.isReady(); }));
    }
}

TEST_CASE("A VM that is stopped with SIGTERM answers its requests and then exits")
{
    EntrySystem system;
    system.vm().signal(SIGTERM);
    REQUIRE(eventually([&system] { return !system.isReady(); }));
    const auto response = system.sendRequest("GET", "/all/x", "late");
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->get_header_value("Connection") == "close");
    CHECK(system.vm().wait() == 0);
    CHECK(contains(system.log(), "event=vm_stopped"));
}

TEST_CASE("A VM that is stopped takes no request that it cannot finish")
{
    EntrySystem system;
    for (const std::string target : {"i-oa", "i-ob"})
        system.setTargetMode(target, "late=1500");
    for (const int status : system.sendOrdersAtOnce(2, "known-"))
        CHECK(status == 200);
    system.changeSettings(1, {{"stop_patience_ms", 2500}});
    REQUIRE(eventually([&] { return contains(system.log(), "event=settings_reloaded"); }));
    system.vm().signal(SIGTERM);
    // Orders may run at most once, so a caller cannot repeat one that may have run.
    std::vector<std::pair<std::string, std::future<int>>> statuses;
    for (int i = 0; i < 20; ++i) {
        const std::string id = "stop-" + std::to_string(i);
        statuses.emplace_back(id, std::async(std::launch::async, [&system, id] {
                                  const auto response = system.sendRequest("POST", "/orders/x", id);
                                  return response ? response->status : 0;
                              }));
        std::this_thread::sleep_for(MinProbePause);
    }
    int refused = 0;
    for (auto &[id, status] : statuses) {
        CAPTURE(id);
        const int got = status.get();
        CHECK((got == 200 || got == 503 || got == 0));
        if (got == 200)
            continue;
        CHECK(system.targetsThatRan(id).empty());
        refused += got == 503 ? 1 : 0;
    }
    CHECK(refused > 0);
    CHECK(system.vm().wait() == 0);
}

TEST_CASE("Settings that change while a VM runs")
{
    EntrySystem system;

    SECTION("are applied without a signal, and the log lists those that need a restart")
    {
        system.changeSettings(1, {{"stop_patience_ms", 1234}, {"watch_wait_ms", 600}});
        CHECK(eventually([&] { return contains(system.log(), "event=settings_reloaded"); }));
        CHECK(eventually([&] {
            return contains(system.log(), "event=settings_need_restart field=watch_wait_ms");
        }));
        CHECK_FALSE(contains(system.log(), "field=stop_patience_ms"));
    }
    SECTION("are ignored if they are invalid, and the log names the invalid field")
    {
        system.changeSettings(1, {{"stop_patience_ms", "soon"}});
        CHECK(eventually([&] {
            return contains(system.log(), "event=settings_rejected field=/stop_patience_ms");
        }));
        CHECK(system.isReady());
    }
}
