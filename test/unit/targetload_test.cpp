#include <algorithm>
#include <random>
#include <vector>

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

/// A seeded run of one target that is sent as many requests as its load allows.
class BusyTarget
{
public:
    static constexpr std::uint32_t Slots = 20;
    static constexpr Clock::duration UsualTime = 550ms;
    static constexpr Clock::duration ExpectedLatency = 460ms;

    explicit BusyTarget(unsigned seed)
        : m_random(seed)
    {
    }

    void run(Clock::time_point until)
    {
        for (; m_now < until; m_now += 1ms) {
            for (Request &each : m_requests) {
                if (!m_isStalled && m_now >= each.sentAt + each.work) {
                    load.onAnswered(m_now - each.sentAt, ExpectedLatency, m_now);
                    each.isAnswered = true;
                } else if (m_now == each.sentAt + UsualTime) {
                    load.onOverdue(UsualTime, m_now);
                }
            }
            std::erase_if(m_requests, [](const Request &each) { return each.isAnswered; });
            while (load.hasCapacity()) {
                load.onSent();
                m_requests.push_back({m_now, std::chrono::milliseconds(m_workMs(m_random))});
            }
        }
    }
    void stall() { m_isStalled = true; }

    TargetLoad load{Slots};

private:
    struct Request
    {
        Clock::time_point sentAt;
        Clock::duration work;
        bool isAnswered = false;
    };

    std::mt19937 m_random;
    std::uniform_int_distribution<int> m_workMs{20, 900};
    std::vector<Request> m_requests;
    bool m_isStalled = false;
    Clock::time_point m_now = Clock::time_point(1h);
};

} // namespace

TEST_CASE("A target whose requests differ much in length gets as many as it has slots for")
{
    const auto seed = GENERATE(range(1U, 26U));
    INFO("seed " << seed);
    BusyTarget target(seed);
    const Clock::time_point stallsAt = Clock::time_point(1h) + 60s;
    target.run(stallsAt);
    CHECK(target.load.limit() == BusyTarget::Slots);
    WHEN("it stalls")
    {
        target.stall();
        target.run(stallsAt + BusyTarget::UsualTime + 1ms);
        THEN("it gets one at a time")
        {
            CHECK(target.load.limit() == 1);
        }
    }
}

TEST_CASE("An overdue response")
{
    const Clock::time_point now = Clock::time_point(1h);
    TargetLoad target(4);
    for (int i = 0; i < 6; ++i) {
        target.onSent();
        target.onAnswered(10ms, 10ms, now);
    }
    REQUIRE(target.limit() == 4);
    target.onSent();

    SECTION("resets the limit of a target that has answered nothing for as long")
    {
        target.onOverdue(200ms, now + 200ms);
        CHECK(target.limit() == 1);
    }
    SECTION("leaves the limit of a target that has answered others")
    {
        target.onOverdue(200ms, now + 199ms);
        CHECK(target.limit() == 4);
        CHECK(target.isAvoided(now + 199ms));
        AND_WHEN("the target then becomes silent")
        {
            target.onOverdue(200ms, now + 200ms);
            THEN("the limit is reset, although the target is avoided already")
            {
                CHECK(target.limit() == 1);
            }
        }
    }
    SECTION("does not spare a target that loses a request")
    {
        target.onLost(now + 1ms);
        CHECK(target.limit() == 1);
    }
}

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
        first.onOverdue(200ms, now);
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
            second.onOverdue(200ms, now);
            CHECK(picksOfFirst(first, second, now) == 50);
        }
    }
    SECTION("a target with several consecutive unanswered requests is failing until it responds")
    {
        first.onSent();
        first.onOverdue(200ms, now);
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
