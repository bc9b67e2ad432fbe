#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/arrivalcheck.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

TEST_CASE("A VM that stops takes a request only if it expects to finish it")
{
    const Clock::duration untilStop = 2s;

    SECTION("as requests of its kind usually take no longer")
    {
        CHECK(canFinishBeforeStop(untilStop, {2s, 100ms, 10s}));
        CHECK_FALSE(canFinishBeforeStop(untilStop, {2001ms, 100ms, 10s}));
    }
    SECTION("as it is to take no longer, if nothing else is known")
    {
        CHECK(canFinishBeforeStop(untilStop, {0ms, 2s, 10s}));
        CHECK_FALSE(canFinishBeforeStop(untilStop, {0ms, 2001ms, 10s}));
    }
    SECTION("or as its caller waits no longer")
    {
        CHECK(canFinishBeforeStop(untilStop, {5s, 5s, 2s}));
        CHECK_FALSE(canFinishBeforeStop(untilStop, {5s, 5s, 2001ms}));
    }
    SECTION("and none in the last moments, however short")
    {
        CHECK(canFinishBeforeStop(501ms, {1ms, 1ms, 1ms}));
        CHECK_FALSE(canFinishBeforeStop(500ms, {1ms, 1ms, 1ms}));
        CHECK_FALSE(canFinishBeforeStop(-1s, {1ms, 1ms, 1ms}));
    }
}

TEST_CASE("A fan-out is refused on arrival only if queues make it late")
{
    const milliseconds latency(20);
    const milliseconds left(140);
    std::vector<Clock::duration> waits(20, milliseconds(0));

    SECTION("without queues it is accepted, however slow the targets are")
    {
        CHECK(canFinishInTime(waits, milliseconds(500), left, 18));
    }
    SECTION("as many parts may be late as may be missing from the answer")
    {
        waits[0] = waits[1] = milliseconds(121);
        CHECK(canFinishInTime(waits, latency, left, 18));
        waits[2] = milliseconds(121);
        CHECK_FALSE(canFinishInTime(waits, latency, left, 18));
    }
    SECTION("a queue that is served in time does not matter")
    {
        waits.assign(20, milliseconds(120));
        CHECK(canFinishInTime(waits, latency, left, 20));
    }
}

TEST_CASE("A query over shards is refused on arrival if too few shards can be served")
{
    const Clock::time_point now(1h);
    std::vector<ShardOutlook> shards(5);
    const ShardOutlook failing{false, std::nullopt};

    SECTION("it is accepted while the least coverage can be served")
    {
        shards[0] = shards[1] = failing;
        CHECK_FALSE(findCoverageGap(shards, 3));
    }
    SECTION("it is to return when enough shards are back")
    {
        shards[0] = {false, now + 900ms};
        shards[1] = {false, now + 300ms};
        shards[2] = {false, now + 500ms};
        REQUIRE(findCoverageGap(shards, 3));
        CHECK(findCoverageGap(shards, 3)->endsAt == now + 300ms);
        CHECK(findCoverageGap(shards, 4)->endsAt == now + 500ms);
        CHECK(findCoverageGap(shards, 5)->endsAt == now + 900ms);
    }
    SECTION("the time is not known if it depends on a shard whose targets fail")
    {
        shards[0] = failing;
        shards[1] = {false, now + 300ms};
        shards[2] = failing;
        CHECK(findCoverageGap(shards, 3)->endsAt == now + 300ms);
        REQUIRE(findCoverageGap(shards, 4));
        CHECK_FALSE(findCoverageGap(shards, 4)->endsAt);
    }
}
