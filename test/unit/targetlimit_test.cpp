#include <catch2/catch.hpp>

#include "mangoshift/targetlimit.h"

using namespace mangoshift;
using namespace std::chrono_literals;
using Change = TargetLimit::Change;

namespace {

const Clock::time_point Start{1000s};

} // namespace

TEST_CASE("A target that has named no limit gets any request")
{
    TargetLimit limit;
    CHECK_FALSE(limit.isLimited());
    CHECK(limit.allowsRequest(Start));
    CHECK(limit.onSent(Start));
    CHECK(limit.onResponse(std::nullopt, Start, Start) == Change::None);
}

TEST_CASE("A target that names a limit gets a request only for a permit")
{
    TargetLimit limit;
    REQUIRE(limit.onResponse(5.0, Start, Start + 20ms) == Change::Named);
    CHECK(limit.value() == 5.0);
    CHECK_FALSE(limit.allowsRequest(Start + 20ms));
    CHECK_FALSE(limit.onSent(Start + 20ms));

    SECTION("each permit is good for one request")
    {
        limit.addPermit(Start + 30ms, Start + 20ms);
        limit.addPermit(Start + 30ms, Start + 20ms);
        CHECK(limit.onSent(Start + 40ms));
        CHECK(limit.onSent(Start + 40ms));
        CHECK_FALSE(limit.onSent(Start + 40ms));
    }
    SECTION("a permit expires")
    {
        limit.addPermit(Start + 30ms, Start + 20ms);
        CHECK(limit.allowsRequest(Start + 30ms + PermitLifetime - 1ms));
        CHECK_FALSE(limit.allowsRequest(Start + 30ms + PermitLifetime));
        CHECK_FALSE(limit.onSent(Start + 30ms + PermitLifetime));
    }
    SECTION("the oldest permit is used first, until its end")
    {
        limit.addPermit(Start + 50ms, Start + 20ms);
        limit.addPermit(Start + 30ms, Start + 20ms);
        CHECK(limit.permitEnd(Start + 20ms) == Start + 20ms);
        CHECK(limit.permitEnd(Start + 60ms) == Start + 30ms + PermitLifetime);
        REQUIRE(limit.onSent(Start + 60ms));
        CHECK(limit.permitEnd(Start + 60ms) == Start + 50ms + PermitLifetime);
        CHECK(TargetLimit().permitEnd(Start) == Clock::time_point::max());
    }
    SECTION("a permit that is valid later is of no use before")
    {
        limit.addPermit(Start + 200ms, Start + 20ms);
        limit.addPermit(Start + 100ms, Start + 20ms);
        CHECK_FALSE(limit.onSent(Start + 99ms));
        CHECK(limit.nextPermitAt(Start + 50ms) == Start + 100ms);
        CHECK(limit.heldPermits(Start + 50ms) == 2);
        CHECK(limit.onSent(Start + 150ms));
        CHECK_FALSE(limit.onSent(Start + 150ms));
        CHECK(limit.nextPermitAt(Start + 150ms) == Start + 200ms);
        CHECK_FALSE(limit.nextPermitAt(Start + 200ms + PermitLifetime));
    }
    SECTION("permits for a higher limit are dropped when the limit falls")
    {
        limit.addPermit(Start + 30ms, Start + 20ms);
        CHECK(limit.onResponse(2.0, Start + 10ms, Start + 40ms) == Change::Changed);
        CHECK_FALSE(limit.allowsRequest(Start + 40ms));
    }
    SECTION("a response to an earlier request does not raise or end it")
    {
        CHECK(limit.onResponse(9.0, Start + 10ms, Start + 40ms) == Change::None);
        CHECK(limit.onResponse(std::nullopt, Start + 10ms, Start + 40ms) == Change::None);
        CHECK(limit.value() == 5.0);
    }
    SECTION("nor does a response to a request that is not known")
    {
        CHECK(limit.onResponse(std::nullopt, std::nullopt, Start + 1s) == Change::None);
        CHECK(limit.isLimited());
    }
    SECTION("a response to a later request raises or ends it")
    {
        CHECK(limit.onResponse(9.0, Start + 50ms, Start + 70ms) == Change::Changed);
        CHECK(limit.onResponse(std::nullopt, Start + 80ms, Start + 90ms) == Change::Ended);
        CHECK(limit.allowsRequest(Start + 90ms));
        SECTION("and the permits that were left do not serve the next limit")
        {
            limit.addPermit(Start + 90ms, Start + 20ms);
            CHECK(limit.onResponse(5.0, Start + 100ms, Start + 110ms) == Change::Named);
            CHECK_FALSE(limit.allowsRequest(Start + 110ms));
        }
    }
    SECTION("a limit that is named again is known to hold since then")
    {
        CHECK(limit.onResponse(5.0, Start, Start + 60ms) == Change::None);
        CHECK(limit.heardAt() == Start + 60ms);
        CHECK(limit.onResponse(std::nullopt, Start + 50ms, Start + 70ms) == Change::None);
    }
}

// A limit that is garbled on its way must not lift the one that protects the target.
TEST_CASE("A limit that cannot be read")
{
    TargetLimit limit;

    SECTION("names none if the target has named none before")
    {
        CHECK(limit.onUnreadable(Start, Start) == Change::None);
        CHECK_FALSE(limit.isLimited());
    }
    GIVEN("a target that has named a limit")
    {
        REQUIRE(limit.onResponse(5.0, Start, Start) == Change::Named);
        REQUIRE(limit.onUnreadable(Start + 100ms, Start + 120ms) == Change::Unreadable);
        THEN("the limit holds on, which is reported once")
        {
            CHECK(limit.value() == 5.0);
            CHECK(limit.onUnreadable(Start + 200ms, Start + 220ms) == Change::None);
            CHECK(limit.value() == 5.0);
            AND_THEN("again after it was readable")
            {
                CHECK(limit.onResponse(5.0, Start + 300ms, Start + 320ms) == Change::None);
                CHECK(limit.onUnreadable(Start + 400ms, Start + 420ms) == Change::Unreadable);
            }
        }
        THEN("a later response without a limit ends it")
        {
            CHECK(limit.onResponse(std::nullopt, Start + 200ms, Start + 220ms) == Change::Ended);
        }
        THEN("it ends if the target names no readable one for a bounded time")
        {
            const Clock::time_point end = Start + TargetLimit::unreadableTime(5.0);
            CHECK(limit.onUnreadable(end - 2ms, end - 1ms) == Change::None);
            CHECK(limit.value() == 5.0);
            CHECK(limit.onUnreadable(end - 1ms, end) == Change::Ended);
            AND_THEN("it was heard when it could be read for the last time")
            {
                CHECK(limit.heardAt() == Start);
            }
        }
        THEN("it ends within the eight seconds in which a target is used after its limit")
        {
            CHECK(TargetLimit::unreadableTime(5.0) < 8s);
            CHECK(TargetLimit::unreadableTime(1.0) < 8s);
        }
        THEN("one that allows a request in some seconds needs several unreadable responses to end")
        {
            CHECK(TargetLimit::unreadableTime(0.0) == 16s);
            CHECK(TargetLimit::unreadableTime(0.4) == 10s);
        }
    }
    GIVEN("a target that names the limit in every second response, as in the trial at six VMs")
    {
        for (int i = 0; i < 200; ++i) {
            const Clock::time_point sentAt = Start + i * 500ms;
            if (i % 2 == 0)
                limit.onResponse(5.0, sentAt, sentAt + 20ms);
            else
                limit.onUnreadable(sentAt, sentAt + 20ms);
            REQUIRE(limit.value() == 5.0);
        }
    }
}
