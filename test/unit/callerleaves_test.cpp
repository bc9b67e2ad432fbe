#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// A budget that allows no extra request, so that each one is requested from the pool.
const RetryBudgetTerms NoBudget{0.0, 0.0, 60s};

const std::string NotRun = "X-Not-Executed: 1";

} // namespace

TEST_CASE("No budget is requested for a caller that has left")
{
    EntryFixture fixture(NoBudget);
    fixture.state().growFleet(2);
    PendingTarget &target = fixture.addTarget("i-a1", "a");
    EntryFixture::Caller &caller = fixture.addCaller();
    caller.send("one", "r1");
    REQUIRE(fixture.runUntilArrived(target));
    caller.finishSending();
    REQUIRE(fixture.runUntilLeft());
    target.respond("503 Service Unavailable", NotRun);
    REQUIRE(fixture.run(
        [&] { return caller.hasReceived("\r\n\r\n") || !fixture.budgetRequests().empty(); }));
    CHECK(fixture.budgetRequests().empty());
    CHECK(caller.hasReceived("\"execution\":\"not_run\""));
}

TEST_CASE("All work for a caller that has left ends a quarter of a second later")
{
    EntryFixture fixture;
    PendingTarget &first = fixture.addTarget("i-a1", "a");
    EntryFixture::Caller &caller = fixture.addCaller();
    const auto openConnections = [&fixture] { return fixture.state().directory.openConnections(); };

    SECTION("after it has closed or reset the connection")
    {
        caller.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        if (GENERATE(true, false))
            caller.reset();
        else
            caller.close();
        REQUIRE(fixture.runUntilLeft());
        fixture.advance(249ms);
        CHECK(openConnections() == 1);
        fixture.advance(1ms);
        CHECK(openConnections() == 0);
    }
    SECTION("after it has closed its sending side")
    {
        caller.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        caller.finishSending();
        REQUIRE(fixture.runUntilLeft());
        fixture.advance(249ms);
        CHECK(openConnections() == 1);
        CHECK(caller.received().empty());
        fixture.advance(1ms);
        CHECK(openConnections() == 0);
        CHECK(fixture.runUntilReceived(caller, "\"execution\":\"may_have_run\""));
    }
    SECTION("after its query is answered by the parts that have arrived")
    {
        const PendingTarget &second = fixture.addTarget("i-b1", "b");
        caller.send("all", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        REQUIRE(fixture.runUntilArrived(second));
        caller.finishSending();
        REQUIRE(fixture.runUntilLeft());
        first.respond();
        fixture.advance(249ms);
        CHECK(openConnections() == 2);
        fixture.advance(1ms);
        CHECK(openConnections() == 1);
        CHECK(fixture.runUntilReceived(caller, "X-Missing-Parts: 1"));
    }
    SECTION("and a call that waits for a connection is not sent")
    {
        // As many VMs as the service's connections, so that each VM has one.
        fixture.state().growFleet(64);
        // After one answer in the usual time, the target may get two requests at a time.
        fixture.state().routes["one"].partLatencies.record(1ms);
        caller.send("one", "r0");
        REQUIRE(fixture.runUntilArrived(first));
        first.respond();
        REQUIRE(fixture.runUntilReceived(caller, "HTTP/1.1 200 "));
        caller.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(first, 2));
        EntryFixture::Caller &other = fixture.addCaller();
        other.send("one", "r2");
        REQUIRE(fixture.run([&fixture] { return fixture.requestsInFlight() == 2; }));
        REQUIRE(fixture.state().directory.targets().at("i-a1")->load.inFlight() == 2);
        other.finishSending();
        REQUIRE(fixture.runUntilReceived(other, "\"execution\":\"not_run\""));
        first.respond();
        REQUIRE(fixture.run([&fixture] { return fixture.requestsInFlight() == 0; }));
        fixture.poll();
        CHECK(first.arrived().size() == 2);
    }
}

TEST_CASE("A caller that closes its sending side while its request waits is refused at once")
{
    EntryFixture fixture(NoBudget);
    EntryFixture::Caller &caller = fixture.addCaller();

    SECTION("for a free slot of a target")
    {
        PendingTarget &target = fixture.addTarget("i-a1", "a", 1);
        EntryFixture::Caller &other = fixture.addCaller();
        other.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(target));
        caller.send("one", "r2");
        REQUIRE(fixture.run([&fixture] { return fixture.requestsInFlight() == 2; }));
        caller.finishSending();
        REQUIRE(fixture.runUntilReceived(caller, "\"execution\":\"not_run\""));
        target.respond();
        REQUIRE(fixture.runUntilReceived(other, "HTTP/1.1 200 "));
        fixture.poll();
        CHECK(target.arrived().size() == 1);
    }
    SECTION("for permits")
    {
        PendingTarget &limited = fixture.addTarget("i-a1", "a");
        const PendingTarget &unlimited = fixture.addTarget("i-b1", "b");
        EntryFixture::Caller &other = fixture.addCaller();
        other.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(limited));
        limited.respond("200 OK", "Server-Limit: 5\r\nX-Server-Stamp: s");
        REQUIRE(fixture.runUntilReceived(other, "HTTP/1.1 200 "));
        caller.send("all", "r2");
        REQUIRE(fixture.run([&fixture] { return fixture.requestsInFlight() == 1; }));
        fixture.poll();
        REQUIRE_FALSE(fixture.permitRequests().empty());
        caller.finishSending();
        REQUIRE(fixture.runUntilReceived(caller, "\"execution\":\"not_run\""));
        const PermitOutcome granted{true, {{limitKey("i-a1", 0), 0ms}}, {}};
        for (const PermitRequest &request : fixture.permitRequests())
            fixture.state().directory.onPermits(
                {request.sequence, std::vector<PermitOutcome>(request.asks.size(), granted)});
        fixture.advance(100ms);
        CHECK(limited.arrived().size() == 1);
        CHECK(unlimited.arrived().empty());
    }
    SECTION("for the budget of the retry pool")
    {
        fixture.state().growFleet(2);
        PendingTarget &first = fixture.addTarget("i-a1", "a");
        caller.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        const PendingTarget &second = fixture.addTarget("i-a2", "a");
        first.respond("503 Service Unavailable", NotRun);
        REQUIRE(fixture.run([&fixture] { return !fixture.budgetRequests().empty(); }));
        caller.finishSending();
        REQUIRE(fixture.runUntilReceived(caller, "\"execution\":\"not_run\""));
        fixture.state().budgets.onGrants({fixture.budgetRequests().back().sequence, {{"a", 1}}});
        fixture.poll();
        CHECK(second.arrived().empty());
    }
}
