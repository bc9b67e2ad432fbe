#include <catch2/catch.hpp>

#include "mangoshift/targetload.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// Returns how often the first of two targets is picked in a hundred evenly spaced draws.
int picksOfFirst(const TargetLoad &first, const TargetLoad &second, Clock::time_point now)
{
    const std::vector<const TargetLoad *> targets{&first, &second};
    int picks = 0;
    for (int i = 0; i < 100; ++i)
        picks += *pickTarget(targets, now, (i + 0.5) / 100.0) == 0 ? 1 : 0;
    return picks;
}

} // namespace

TEST_CASE("One of two targets is picked by its load")
{
    const Clock::time_point now = Clock::time_point(1h);
    TargetLoad first;
    TargetLoad second;

    SECTION("equal targets are picked equally often")
    {
        CHECK(picksOfFirst(first, second, now) == 50);
    }
    SECTION("a busy target is picked less often")
    {
        first.onSent();
        CHECK(picksOfFirst(first, second, now) == 20);
    }
    SECTION("a slow target is picked less often, but still picked")
    {
        for (int i = 0; i < 30; ++i) {
            first.onSent();
            first.onAnswered(80ms, 10ms, now);
        }
        const int picks = picksOfFirst(first, second, now);
        CHECK(picks >= 1);
        CHECK(picks <= 3);
    }
    SECTION("a target with an overdue response is avoided")
    {
        first.onSent();
        first.onOverdue(now);
        CHECK(picksOfFirst(first, second, now) == 0);
        SECTION("until it responds")
        {
            first.onAnswered(210ms, 200ms, now + 10ms);
            CHECK(picksOfFirst(first, second, now + 10ms) > 30);
        }
        SECTION("or for a limited time")
        {
            CHECK(picksOfFirst(first, second, now + 200ms) > 0);
        }
        SECTION("unless the other target is avoided too")
        {
            second.onSent();
            second.onOverdue(now);
            CHECK(picksOfFirst(first, second, now) == 50);
        }
    }
    SECTION("a target with several consecutive unanswered requests is failing until it responds")
    {
        first.onSent();
        first.onOverdue(now);
        CHECK_FALSE(first.isFailing());
        CHECK(first.isUnresponsive());
        first.onLost(now + 1s);
        CHECK(first.isFailing());
        first.onSent();
        first.onAnswered(10ms, 10ms, now + 2s);
        CHECK_FALSE(first.isFailing());
        CHECK_FALSE(first.isUnresponsive());
    }
    SECTION("a target that loses consecutive requests is avoided for longer, up to a bound")
    {
        Clock::time_point at = now;
        for (int i = 0; i < 10; ++i) {
            first.onSent();
            first.onLost(at);
        }
        CHECK(first.isAvoided(at + 1599ms));
        CHECK_FALSE(first.isAvoided(at + 1600ms));
    }
    SECTION("a target that is warming up is picked less often")
    {
        first.setWarmupEnd(now + 1s);
        CHECK(picksOfFirst(first, second, now) < 40);
        CHECK(picksOfFirst(first, second, now + 1s) == 50);
    }
}

TEST_CASE("No target is picked if there are none")
{
    CHECK_FALSE(pickTarget({}, Clock::time_point(1h), 0.5));
}
