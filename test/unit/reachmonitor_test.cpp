#include <catch2/catch.hpp>

#include "mangoshift/reachmonitor.h"

using namespace mangoshift;
using namespace std::chrono_literals;

TEST_CASE("A VM counts as cut off")
{
    ReachMonitor monitor;
    const Clock::time_point now(1h);
    monitor.onOtherDomainContact(now);

    SECTION("when it reaches too few targets and no other domain replies to its pings")
    {
        const Clock::time_point cut = now + 5s;
        CHECK(monitor.onTargetReach(false, cut));
        CHECK_FALSE(monitor.onTargetReach(false, cut + 100ms));
        CHECK(monitor.onTargetReach(false, cut + 200ms));
        CHECK(monitor.onTargetReach(false, cut + 699ms));
        CHECK_FALSE(monitor.isCutOff());
        monitor.onTargetReach(false, cut + 700ms);
        CHECK(monitor.isCutOff());
        SECTION("until another domain is in contact again")
        {
            monitor.onOtherDomainContact(cut + 5s);
            CHECK_FALSE(monitor.isCutOff());
        }
        SECTION("until it reaches enough targets again")
        {
            CHECK_FALSE(monitor.onTargetReach(true, cut + 5s));
            CHECK_FALSE(monitor.isCutOff());
        }
    }
    SECTION("not while it reaches enough targets, even if all other domains are silent")
    {
        CHECK_FALSE(monitor.onTargetReach(true, now + 1h));
        CHECK_FALSE(monitor.isCutOff());
    }
    SECTION("not while other domains are in contact, even if targets fail")
    {
        monitor.onTargetReach(false, now);
        for (int i = 1; i < 20; ++i) {
            monitor.onOtherDomainContact(now + i * 600ms);
            monitor.onTargetReach(false, now + i * 600ms + 599ms);
            CHECK_FALSE(monitor.isCutOff());
        }
    }
    SECTION("not for a short failure of its targets")
    {
        monitor.onTargetReach(true, now + 2s);
        monitor.onTargetReach(false, now + 2100ms);
        monitor.onTargetReach(false, now + 2300ms);
        CHECK_FALSE(monitor.isCutOff());
    }
}

TEST_CASE("A VM that was never in contact with another domain does not count as cut off")
{
    ReachMonitor monitor;
    const Clock::time_point now(1h);
    monitor.onTargetReach(false, now);
    monitor.onTargetReach(false, now + 1min);
    CHECK_FALSE(monitor.isCutOff());
}
