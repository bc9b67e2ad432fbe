#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

// Guards against a request that counts as one that may have run although its answer had arrived.
TEST_CASE("An answer that has arrived before a busy thread looks at the time counts")
{
    EntryFixture fixture;
    PendingTarget &first = fixture.addTarget("i-a1", "a");
    EntryFixture::Caller &caller = fixture.addCaller();

    SECTION("at the time limit of a request")
    {
        caller.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        fixture.standStill(5s, [&first] { first.respond(); });
        REQUIRE(fixture.runUntilReceived(caller, "\r\n\r\n"));
        CHECK(caller.hasReceived("HTTP/1.1 200 "));
    }
    SECTION("when a query is answered without the parts that are late")
    {
        PendingTarget &second = fixture.addTarget("i-b1", "b");
        caller.send("all", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        REQUIRE(fixture.runUntilArrived(second));
        first.respond();
        fixture.poll();
        fixture.standStill(1100ms, [&second] { second.respond(); });
        REQUIRE(fixture.runUntilReceived(caller, "\r\n\r\n"));
        CHECK(caller.hasReceived("X-Missing-Parts: 0"));
    }
    SECTION("when a query is answered, for all of its parts")
    {
        PendingTarget &second = fixture.addTarget("i-b1", "b");
        caller.send("all", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        REQUIRE(fixture.runUntilArrived(second));
        fixture.standStill(1100ms, [&first, &second] {
            first.respond();
            second.respond();
        });
        REQUIRE(fixture.runUntilReceived(caller, "\r\n\r\n"));
        CHECK(caller.hasReceived("X-Missing-Parts: 0"));
    }
    SECTION("when a hedge is due")
    {
        caller.send("safe", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        fixture.addTarget("i-a2", "a");
        fixture.standStill(900ms, [&first] { first.respond(); });
        REQUIRE(fixture.runUntilReceived(caller, "HTTP/1.1 200 "));
        // No connection was opened for a hedge.
        CHECK(fixture.state().directory.counts().opened == 1);
    }
    SECTION("when the caller has closed its sending side for some time")
    {
        caller.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        caller.finishSending();
        REQUIRE(fixture.runUntilLeft());
        fixture.standStill(300ms, [&first] { first.respond(); });
        REQUIRE(fixture.runUntilReceived(caller, "\r\n\r\n"));
        CHECK(caller.hasReceived("HTTP/1.1 200 "));
    }
    SECTION("when the VM stops")
    {
        caller.send("one", "r1");
        REQUIRE(fixture.runUntilArrived(first));
        first.respond();
        fixture.exchange().finishNow(Reason::Draining);
        REQUIRE(fixture.runUntilReceived(caller, "\r\n\r\n"));
        CHECK(caller.hasReceived("HTTP/1.1 200 "));
    }
}
