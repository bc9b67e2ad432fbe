#include <csignal>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "entrysystem.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

/// The record that a server of `service` makes as its `i`-th.
std::string expectedRecord(int i, const std::string &service)
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
        const auto response = system.sendRequest("GET", "/all/x", "r1");
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->get_header_value("X-Missing-Parts") == "0");
        CHECK(response->body
              == expectedRecord(3, "s3") + expectedRecord(3, "s2") + expectedRecord(3, "s1")
                  + expectedRecord(2, "s3") + expectedRecord(2, "s2"));
        CHECK(system.targetsThatRan("r1").size() == 3);
    }
    SECTION("a forwarded request gets the server's own answer")
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
    SECTION("a new version moves a route, and an entry of another writer changes nothing")
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
        AND_WHEN("an older version is written")
        {
            system.publishConfiguration(4, "s2");
            system.putItem("servers/i-other", "{}");
            REQUIRE(
                eventually([&system] { return contains(system.log(), "key=servers/i-other"); }));
            THEN("the newer one stays in force")
            {
                system.sendRequest("GET", "/changing/x", "after");
                CHECK(system.targetsThatRan("after") == std::vector<std::string>{"i-s3a"});
            }
        }
    }
}

TEST_CASE("A request that may run once at most is sent again only where it surely has not run")
{
    EntrySystem system;

    SECTION("one server refuses it unrun: the other runs it")
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
    SECTION("all refuse it unrun: the caller is told that it has not run, and when to come back")
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
    SECTION("its answer is lost, cut or never comes as one: it is not sent again, nor called unrun")
    {
        for (const std::string mode : {"lose", "cut"}) {
            system.setTargetMode("i-oa", mode);
            system.setTargetMode("i-ob", mode);
            const auto response = system.sendRequest("POST", "/orders/x", "id-" + mode);
            REQUIRE(response);
            INFO("servers that " << mode);
            CHECK(response->status == 502);
            CHECK(system.targetsThatRan("id-" + mode).size() == 1);
            const std::string line = system.waitForLogLine("id-" + mode);
            CHECK(contains(line, "execution=may_have_run reason=lost"));
            CHECK(contains(line, ":failed:orders@" + system.targetsThatRan("id-" + mode).front()));
        }
    }
    SECTION("the server fails it itself: the caller gets that answer")
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

TEST_CASE("Requests that wait for a server do not draw on the retry budget twice")
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

TEST_CASE("A fan-out whose servers misbehave says truly what it covers")
{
    EntrySystem system;

    SECTION("a shard without an answer is missing, and the log names it")
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
    SECTION("a replica takes over where the other loses its answer, stays mute or fails")
    {
        for (const std::string mode : {"lose", "mute", "fail", "shed", "cut"}) {
            system.setTargetMode("i-s1a", mode);
            for (int i = 0; i < 4; ++i) {
                const auto response = system.sendRequest("GET", "/all/x", mode + std::to_string(i));
                REQUIRE(response);
                INFO("a server that is set to " << mode);
                CHECK(response->status == 200);
                CHECK(response->get_header_value("X-Missing-Parts") == "0");
            }
        }
    }
    SECTION("second answers behind the first are never taken for those of the next request")
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
    SECTION("with less than the least coverage there is no success")
    {
        system.setTargetMode("i-s3a", "lose");
        system.setTargetMode("i-s2a", "lose");
        system.setTargetMode("i-s2b", "lose");
        const auto response = system.sendRequest("GET", "/all/x", "uncovered");
        REQUIRE(response);
        CHECK(response->status == 502);
    }
}

TEST_CASE("A server whose address another has taken over is not asked again")
{
    EntrySystem system;
    // The entry names the address of the first server, which knows itself as i-oa.
    system.announce({"i-gone", "orders", Targets[5].lastOctet}, "ready", 1);
    REQUIRE(eventually([&system] { return contains(system.log(), "target=i-gone"); }));
    const int before = system.arrivalCount();
    // So many at once that the others have no room.
    constexpr int callers = 60;
    for (const int status : system.sendOrdersAtOnce(callers, "taken"))
        CHECK(status == 200);
    CHECK(system.arrivalCount() - before <= callers + 1);
    CHECK(eventually(
        [&system] { return contains(system.log(), "event=target_misdirected target=i-gone"); }));
}

TEST_CASE("Servers that leave get nothing new")
{
    EntrySystem system;
    const auto isRunOnlyBy = [&system](const std::string &id) {
        static int n = 0;
        for (int i = 0; i < 8; ++i) {
            const std::string request = "leave-" + std::to_string(n++);
            system.sendRequest("POST", "/orders/x", request);
            if (system.targetsThatRan(request) != std::vector<std::string>{id})
                return false;
        }
        return true;
    };

    SECTION("once they say that they are draining")
    {
        system.announce(Targets[5], "draining", 2);
        CHECK(eventually([&] { return isRunOnlyBy("i-ob"); }));
        AND_WHEN("an older report comes late")
        {
            system.announce(Targets[5], "ready", 1);
            system.putItem("servers/i-mark", "{}");
            REQUIRE(eventually([&system] { return contains(system.log(), "key=servers/i-mark"); }));
            THEN("it changes nothing")
            {
                CHECK(isRunOnlyBy("i-ob"));
            }
        }
    }
}

TEST_CASE("An outage of the store")
{
    EntrySystem system;

    SECTION("is served through with what is known, and what changed is taken up after it")
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
    SECTION("removes an entry that lapsed meanwhile once its server has had time to write again")
    {
        system.setStoreMode("down");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
        system.removeEntry(Targets[5]);
        system.setStoreMode("ok");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_regained"); }));
        CHECK(eventually(
            [&system] { return contains(system.log(), "event=target_delisted target=i-oa"); }));
    }
    SECTION("keeps a VM that starts in it from being ready, and its callers from a false 404")
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

TEST_CASE("A VM that is told to stop ends by itself and leaves no request without an answer")
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

TEST_CASE("Settings that change while a VM runs")
{
    EntrySystem system;

    SECTION("are taken over without a signal, and those that need a restart are named")
    {
        system.changeSettings(1, {{"stop_patience_ms", 1234}, {"watch_wait_ms", 600}});
        CHECK(eventually([&] { return contains(system.log(), "event=settings_reloaded"); }));
        CHECK(eventually([&] {
            return contains(system.log(), "event=settings_need_restart field=watch_wait_ms");
        }));
        CHECK_FALSE(contains(system.log(), "field=stop_patience_ms"));
    }
    SECTION("and are at fault leave those in force, and the field is named")
    {
        system.changeSettings(1, {{"stop_patience_ms", "soon"}});
        CHECK(eventually([&] {
            return contains(system.log(), "event=settings_rejected field=/stop_patience_ms");
        }));
        CHECK(system.isReady());
    }
}
