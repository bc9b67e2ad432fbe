#include <cmath>
#include <limits>

#include <catch2/catch.hpp>

#include "mangoshift/capacitypool.h"
#include "mangoshift/capacityrecorder.h"
#include "mangoshift/targetload.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const double TenTimes = std::log(10.0);

TargetObservation overdueOnce()
{
    return {1, 0, 0.0, 0, 1};
}

TargetObservation slowOnce()
{
    return {1, 1, TenTimes, 0, 0};
}

TargetObservation usualOnce()
{
    return {1, 1, 0.0, 0, 0};
}

} // namespace

// Guards against avoiding targets for the word of one VM, or for an ordinary pause.
TEST_CASE("The capacity pool of a failure domain")
{
    Clock::time_point now = Clock::time_point(1h);
    CapacityPool pool;
    pool.setIsOwner(true);
    for (CapacityPool::Reporter vm = 1; vm <= 3; ++vm)
        pool.onReport(vm, {}, now);

    SECTION("says that a target does not respond when two VMs say so")
    {
        pool.onReport(1, {overdueOnce()}, now);
        now += 300ms;
        pool.onReport(1, {overdueOnce()}, now);
        CHECK_FALSE(pool.outlook(1, now).isUnresponsive);
        CHECK(pool.takeNews(now).empty());
        now += 100ms;
        pool.onReport(2, {overdueOnce()}, now);
        CHECK(pool.outlook(1, now).isUnresponsive);
        const auto news = pool.takeNews(now);
        REQUIRE(news.size() == 1);
        CHECK(news[0].isUnresponsive);
        SECTION("until it responds to any VM")
        {
            pool.onReport(3, {usualOnce()}, now + 60ms);
            const auto later = pool.takeNews(now + 60ms);
            REQUIRE(later.size() == 1);
            CHECK_FALSE(later[0].isUnusual());
        }
        SECTION("or for 2 s")
        {
            CHECK(pool.outlook(1, now + 1999ms).isUnresponsive);
            CHECK_FALSE(pool.outlook(1, now + 2s).isUnusual());
        }
        SECTION("and forgets it when another VM becomes the owner")
        {
            pool.setIsOwner(false);
            CHECK(pool.targetCount() == 0);
            CHECK_FALSE(pool.onReport(1, {overdueOnce()}, now));
        }
    }
    SECTION("takes a short silence for a pause")
    {
        pool.onReport(1, {overdueOnce()}, now);
        pool.onReport(2, {overdueOnce()}, now + 250ms);
        CHECK_FALSE(pool.outlook(1, now + 250ms).isUnresponsive);
    }
    SECTION("takes responses that are late together for a pause")
    {
        pool.onReport(1, {slowOnce()}, now);
        pool.onReport(2, {slowOnce()}, now + 100ms);
        CHECK_FALSE(pool.outlook(1, now + 100ms).isUnusual());
        pool.onReport(3, {slowOnce()}, now + 300ms);
        CHECK(pool.outlook(1, now + 300ms).slowness > 3.0);
    }
    SECTION("tells the share of lost requests, and counts those of one VM once")
    {
        pool.onReport(1, {{1, 0, 0.0, 200, 0}}, now);
        CHECK(pool.outlook(1, now).lossRate < 0.4);
        pool.onReport(2, {{1, 1, 0.0, 1, 0}}, now);
        pool.onReport(3, {{1, 3, 0.0, 0, 0}}, now);
        CHECK(pool.outlook(1, now).lossRate > 0.3);
    }
    SECTION("believes the only VM")
    {
        now += CapacityPool::ReporterLifetime;
        pool.onReport(1, {overdueOnce()}, now);
        pool.onReport(1, {overdueOnce()}, now + 300ms);
        CHECK(pool.outlook(1, now + 300ms).isUnresponsive);
        CHECK(pool.reporters(now + 300ms) == std::vector<CapacityPool::Reporter>{1});
    }
    SECTION("ignores what cannot be, and keeps to its bounds")
    {
        const double infinity = std::numeric_limits<double>::infinity();
        pool.onReport(1,
                      {{1, 1, infinity, 0, 0},
                       {2, 1, std::nan(""), 0, 0},
                       {3, 1, 0.0, 1, 1, -1ms},
                       {4, 1, 0.0, 1, 1, 2s},
                       {5}},
                      now);
        CHECK(pool.targetCount() == 0);
        for (std::size_t i = 0; i < CapacityPool::MaxTargets + 10; ++i)
            pool.onReport(1, {{i + 1, 0, 0.0, 3, 0}}, now);
        CHECK(pool.targetCount() == CapacityPool::MaxTargets);
        CHECK(pool.takeNews(now).size() == CapacityPool::MaxNews);
        CHECK(pool.takeNews(now + 100ms).empty());
        for (std::size_t i = 0; i < CapacityPool::MaxReporters + 10; ++i)
            pool.onReport(i, {}, now);
        CHECK(pool.reporters(now).size() == CapacityPool::MaxReporters);
    }
}

// Guards against reports that cost bytes and tell nothing, and recoveries that are not reported.
TEST_CASE("A VM reports what its failure domain does not know")
{
    Clock::time_point now = Clock::time_point(1h);
    CapacityRecorder recorder;
    REQUIRE(recorder.takeReport(now) == std::vector<TargetObservation>());
    now += 200ms;
    SECTION("nothing about usual responses, but it asks once a second")
    {
        recorder.onAnswered(1, 11ms, 10ms, now);
        CHECK_FALSE(recorder.takeReport(now));
        CHECK(recorder.takeReport(now + 800ms) == std::vector<TargetObservation>());
    }
    SECTION("slow responses, losses and overdue responses")
    {
        recorder.onAnswered(1, 100ms, 10ms, now);
        recorder.onLost(2, now);
        recorder.onOverdue(3, now);
        const auto report = recorder.takeReport(now + 50ms);
        REQUIRE(report);
        REQUIRE(report->size() == 3);
        CHECK((*report)[0] == TargetObservation{3, 0, 0.0, 0, 1, 50ms});
        CHECK((*report)[1] == TargetObservation{2, 0, 0.0, 1, 0, 50ms});
        CHECK((*report)[2].logSlowness == Approx(TenTimes));
        SECTION("and a usual response that contradicts them")
        {
            recorder.onAnswered(3, 10ms, 10ms, now + 200ms);
            const auto next = recorder.takeReport(now + 300ms);
            REQUIRE(next);
            CHECK((*next)[0].answers == 1);
        }
    }
    SECTION("usual responses of targets that are said to be bad")
    {
        recorder.onOutlook({1, 5.0, 0.0, 3.0, true, 0ms}, now);
        CHECK(recorder.unresponsiveTargets(now) == 1);
        recorder.onAnswered(1, 10ms, 10ms, now);
        const auto report = recorder.takeReport(now);
        REQUIRE(report);
        CHECK(report->size() == 1);
        CHECK_FALSE(recorder.outlook(1, now + TargetOutlook::Lifetime));
    }
    SECTION("no more than fits, the rest next time")
    {
        for (LimitKey target = 0; target < 50; ++target)
            recorder.onLost(target, now);
        CHECK(recorder.takeReport(now)->size() == CapacityRecorder::MaxReported);
        CHECK_FALSE(recorder.takeReport(now + 200ms));
        CHECK(recorder.takeReport(now + 300ms)->size() == 50 - CapacityRecorder::MaxReported);
    }
}

// Guards against outlooks that starve a target, or that outweigh what the VM sees itself.
TEST_CASE("An outlook changes which target is picked")
{
    const Clock::time_point now = Clock::time_point(1h);
    TargetLoad bad;
    TargetLoad good;
    const auto picksOfBad = [&](Clock::time_point at) {
        int picks = 0;
        for (int i = 0; i < 1000; ++i)
            picks += *pickTarget(std::vector<const TargetLoad *>{&bad, &good}, at, i / 1000.0) == 0;
        return picks;
    };
    SECTION("by slowness, losses and silence, for the lifetime of the outlook, but never to zero")
    {
        const TargetOutlook outlook = GENERATE(TargetOutlook{1, 20.0, 0.0, 9.0, false, 100ms},
                                               TargetOutlook{1, 1.0, 1.0, 9.0, false, 100ms},
                                               TargetOutlook{1, 20.0, 1.0, 9.0, true, 100ms});
        bad.onOutlook(outlook, now);
        CHECK(bad.isAvoided(now) == outlook.isUnresponsive);
        CHECK(picksOfBad(now) > 0);
        CHECK(picksOfBad(now) < 100);
        CHECK(picksOfBad(now + 1900ms) == 500);
    }
    SECTION("not if the VM has had a response since")
    {
        bad.onSent();
        bad.onAnswered(10ms, 10ms, now);
        bad.onOutlook({1, 1.0, 0.0, 3.0, true, 100ms}, now);
        CHECK_FALSE(bad.isAvoided(now));
        bad.onOutlook({1, 1.0, 0.0, 3.0, true, 100ms}, now + 200ms);
        CHECK(bad.isAvoided(now + 200ms));
        bad.onSent();
        bad.onAnswered(10ms, 10ms, now + 210ms);
        CHECK_FALSE(bad.isAvoided(now + 210ms));
    }
    SECTION("not if it says what cannot be")
    {
        for (const double number : {-1.0, std::nan(""), std::numeric_limits<double>::infinity()}) {
            bad.onOutlook({1, number, 0.5, 3.0, true, 0ms}, now);
            bad.onOutlook({1, 5.0, number, 3.0, true, 0ms}, now);
            bad.onOutlook({1, 5.0, 0.5, number, true, 0ms}, now);
        }
        bad.onOutlook({1, 5.0, 1.5, 3.0, true, 0ms}, now);
        bad.onOutlook({1, 5.0, 0.5, 3.0, true, -1ms}, now);
        CHECK(picksOfBad(now) == 500);
    }
}
