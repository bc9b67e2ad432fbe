#include <optional>

#include <catch2/catch.hpp>

#include "mangoshift/limitpool.h"
#include "mangoshift/targetlimit.h"
#include "mangoshift/warmupterms.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1000s};

} // namespace

// Guards against a limit whose bursts, unused permits and first permits of each domain add up to
// more than a cold target may get in a second.
TEST_CASE("The warm-up limit leaves room for all that may come in one second")
{
    for (const std::size_t domains : {1U, 3U, 4U, 7U})
        for (const double rate : {2.0, 5.0, 20.0, 100.0}) {
            const WarmupTerms terms{1.5, 5.0, domains};
            const double limit = terms.limit(rate).value();
            CAPTURE(domains, rate, limit);
            CHECK(limit <= rate);
            CHECK(limit * 2.3 + static_cast<double>(domains) <= rate * 1.5 + 5.0 + 1e-9);
        }
    CHECK(WarmupTerms{1.5, 5.0, 4}.limit(5.0).value() == Approx(8.5 / 2.3));

    SECTION("it is the stated rate if that is lower")
    {
        CHECK(WarmupTerms{3.0, 5.0, 1}.limit(5.0) == 5.0);
    }
    SECTION("it never closes a target altogether")
    {
        CHECK(WarmupTerms{1.0, 0.0, 7}.limit(5.0) == LimitPool::MinLimit);
    }
    SECTION("there is none without a rate")
    {
        CHECK_FALSE(WarmupTerms{1.5, 5.0, 3}.limit(0.0));
        CHECK_FALSE(WarmupTerms{1.5, 5.0, 3}.limit(-1.0));
    }
}

// Guards against requests that reach a cold target without a permit.
TEST_CASE("A cold target gets a request only for a permit")
{
    TargetLimit limit;
    limit.setWarmupLimit(3.0);
    CHECK(limit.allowsRequest(Start));
    limit.addPermit(Start, Start);
    limit.onEntryWarmup(10s, Start - 3s, Start);
    CHECK(limit.isCold());
    CHECK(limit.value() == 3.0);
    CHECK_FALSE(limit.onSent(Start));
    limit.addPermit(Start, Start);
    CHECK(limit.onSent(Start));

    SECTION("until its time is over, and the limit is never in doubt meanwhile")
    {
        CHECK(limit.age(Start + 9s) == 0s);
        CHECK_FALSE(limit.endWarmup(Start + 9999ms));
        CHECK(limit.endWarmup(Start + 10s));
        CHECK(limit.allowsRequest(Start + 10s));
        CHECK_FALSE(limit.endWarmup(Start + 10s));
    }
    SECTION("within the lower one of its limits")
    {
        limit.onResponse(2.0, Start, Start + 1s);
        CHECK(limit.value() == 2.0);
        limit.onResponse(9.0, Start + 1s, Start + 2s);
        CHECK(limit.value() == 3.0);
        limit.endWarmup(Start + 10s);
        CHECK(limit.value() == 9.0);
        CHECK(limit.age(Start + 10s) == 8s);
    }
    SECTION("whose permits are dropped when the limit falls")
    {
        limit.addPermit(Start, Start);
        limit.setWarmupLimit(1.0);
        CHECK_FALSE(limit.allowsRequest(Start));
    }
    SECTION("unless its service states no rate any more")
    {
        limit.setWarmupLimit(std::nullopt);
        CHECK(limit.onSent(Start));
        CHECK_FALSE(limit.isCold());
    }
}

// Guards against a report that is older than what is known ending the limit of a cold target.
TEST_CASE("The latest word on a target's warm-up counts")
{
    TargetLimit limit;
    limit.setWarmupLimit(3.0);
    limit.onResponseWarmup(10s, Start, Start + 20ms);
    REQUIRE(limit.coldUntil() == Start + 20ms + 10s);

    SECTION("a longer time counts from whichever request")
    {
        limit.onResponseWarmup(30s, std::nullopt, Start + 30ms);
        CHECK(limit.coldUntil() == Start + 30ms + 30s);
    }
    SECTION("a shorter one only from a later request")
    {
        limit.onResponseWarmup(0s, Start + 10ms, Start + 30ms);
        limit.onResponseWarmup(0s, std::nullopt, Start + 30ms);
        CHECK(limit.coldUntil() == Start + 20ms + 10s);
        limit.onResponseWarmup(0s, Start + 20ms, Start + 40ms);
        CHECK(limit.endWarmup(Start + 40ms));
    }
    SECTION("an entry that may be older does not shorten it")
    {
        limit.onEntryWarmup(0s, Start + 19ms, Start + 2s);
        CHECK_FALSE(limit.endWarmup(Start + 2s));
        limit.onEntryWarmup(0s, Start + 20ms, Start + 3s);
        CHECK(limit.endWarmup(Start + 3s));
    }
    SECTION("a target that is presumed cold is so until a later request tells otherwise")
    {
        limit.presumeCold(Start + 15s, Start + 12s);
        CHECK(limit.coldUntil() == Start + 15s);
        limit.onResponseWarmup(0s, Start + 11s, Start + 12s + 1ms);
        CHECK(limit.isCold());
        limit.onResponseWarmup(1s, Start + 13s, Start + 13s);
        CHECK(limit.coldUntil() == Start + 14s);
    }
    SECTION("nothing changes if it is warm and says so")
    {
        limit.endWarmup(Start + 20s);
        limit.onResponse(5.0, Start + 20s, Start + 20s);
        limit.addPermit(Start + 20s, Start + 20s);
        limit.onResponseWarmup(0s, Start + 20s, Start + 20s);
        limit.onEntryWarmup(0s, Start + 20s, Start + 20s);
        CHECK(limit.onSent(Start + 20s));
    }
}
