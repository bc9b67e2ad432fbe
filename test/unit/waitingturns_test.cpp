#include <algorithm>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/waitingturns.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start = Clock::time_point(1h);

WaitingTerms termsOf(Clock::duration usefulFor, Clock::duration deadlineIn,
                     Clock::duration latency = 0ms)
{
    return {Start + usefulFor, Start + deadlineIn, latency};
}

using Order = std::vector<std::size_t>;

/// A seeded run of calls that wait for targets with a fixed number of slots. Each call takes up to
/// one and a half times the usual latency, which is what the margin of the turns allows for.
struct SeededRun
{
    static constexpr std::size_t Slots = 12;
    static constexpr Clock::duration Latency = 100ms;
    static constexpr Clock::duration UsefulTime = 300ms;
    static constexpr int Calls = 1500;

    struct Call
    {
        Clock::time_point arrivedAt;
        WaitingTerms terms;
        Clock::duration work{};
        std::optional<Clock::time_point> sentAt;
        std::optional<Clock::time_point> refusedAt;
    };
    std::vector<Call> calls;
    /// The calls that waited each time that a call that waited was sent.
    std::size_t longestQueue = 0;
    /// The greatest number of turns in a row that went past a waiting late call.
    std::uint32_t mostTurnsPastLate = 0;
    /// Whether a slot was free while a call waited.
    bool hasIdledSlot = false;

    SeededRun(unsigned seed, double load)
    {
        std::mt19937 random(seed);
        std::exponential_distribution<double> gap(load * Slots
                                                  / std::chrono::duration<double>(Latency).count());
        std::uniform_real_distribution<double> share(0.5, 1.5);
        std::uniform_int_distribution<int> deadlineMs(300, 2000);
        Clock::time_point at = Start;
        for (int i = 0; i < Calls; ++i) {
            at += std::chrono::duration_cast<Clock::duration>(
                std::chrono::duration<double>(gap(random)));
            calls.push_back(
                {at,
                 {at + UsefulTime, at + std::chrono::milliseconds(deadlineMs(random)), Latency},
                 std::chrono::duration_cast<Clock::duration>(Latency * share(random)),
                 {},
                 {}});
        }
        run();
    }

private:
    WaitingTurns m_turns;
    std::vector<std::size_t> m_waiting;
    std::priority_queue<Clock::time_point, std::vector<Clock::time_point>, std::greater<>> m_ends;

    std::vector<WaitingTerms> waitingTerms() const
    {
        std::vector<WaitingTerms> terms;
        terms.reserve(m_waiting.size());
        for (const std::size_t call : m_waiting)
            terms.push_back(calls[call].terms);
        return terms;
    }

    void send(std::size_t call, Clock::time_point now)
    {
        calls[call].sentAt = now;
        m_ends.push(now + calls[call].work);
    }

    void review(Clock::time_point now)
    {
        const std::vector<WaitingTerms> terms = waitingTerms();
        const WaitingTurns::Plan plan = m_turns.plan(terms, now);
        REQUIRE(plan.turns.size() + plan.refused.size() == terms.size());
        std::vector<std::size_t> gone;
        for (const auto &[index, why] : plan.refused) {
            calls[m_waiting[index]].refusedAt = now;
            gone.push_back(m_waiting[index]);
        }
        longestQueue = std::max(longestQueue, plan.turns.size());
        std::size_t turn = 0;
        for (; turn < plan.turns.size() && m_ends.size() < Slots; ++turn) {
            const std::size_t call = m_waiting[plan.turns[turn]];
            m_turns.onSent(calls[call].terms, now);
            send(call, now);
            gone.push_back(call);
            countLateTurn(calls[call].terms.canBeInTime(now), plan, turn, terms, now);
        }
        hasIdledSlot |= turn < plan.turns.size() && m_ends.size() < Slots;
        std::erase_if(m_waiting, [&gone](std::size_t call) {
            return std::find(gone.begin(), gone.end(), call) != gone.end();
        });
    }

    void countLateTurn(bool isInTime, const WaitingTurns::Plan &plan, std::size_t turn,
                       const std::vector<WaitingTerms> &terms, Clock::time_point now)
    {
        const bool doesLateCallWait = std::any_of(
            plan.turns.begin() + static_cast<std::ptrdiff_t>(turn) + 1, plan.turns.end(),
            [&](std::size_t index) { return !terms[index].canBeInTime(now); });
        m_turnsPastLate = isInTime && doesLateCallWait ? m_turnsPastLate + 1 : 0;
        mostTurnsPastLate = std::max(mostTurnsPastLate, m_turnsPastLate);
    }

    /// Returns when a waiting call must be refused next.
    Clock::time_point nextRefusal() const
    {
        Clock::time_point next = Clock::time_point::max();
        for (const std::size_t call : m_waiting)
            next = std::min(next, calls[call].terms.latestStart() + 1ns);
        return next;
    }

    void run()
    {
        std::size_t arrived = 0;
        while (arrived < calls.size() || !m_waiting.empty()) {
            const Clock::time_point arrival =
                arrived < calls.size() ? calls[arrived].arrivedAt : Clock::time_point::max();
            const Clock::time_point end = m_ends.empty() ? Clock::time_point::max() : m_ends.top();
            const Clock::time_point now = std::min({arrival, end, nextRefusal()});
            if (now == end) {
                m_ends.pop();
            } else if (now == arrival) {
                const std::size_t call = arrived++;
                if (m_ends.size() < Slots && m_waiting.empty()) {
                    send(call, now);
                    continue;
                }
                m_turns.onQueued(m_waiting.empty(), now);
                m_waiting.push_back(call);
            }
            review(now);
        }
    }

    std::uint32_t m_turnsPastLate = 0;
};

} // namespace

TEST_CASE("Calls that wait for a target get their turns")
{
    WaitingTurns turns;

    SECTION("in the order in which their answers lose their full use")
    {
        const std::vector<WaitingTerms> calls{termsOf(90ms, 1s), termsOf(50ms, 2s),
                                              termsOf(70ms, 3s)};
        CHECK(turns.plan(calls, Start).turns == Order{1, 2, 0});
    }
    SECTION("after those that can still be in time, if they cannot")
    {
        const std::vector<WaitingTerms> calls{termsOf(50ms, 2s, 40ms), termsOf(50ms, 1s, 40ms),
                                              termsOf(90ms, 3s, 40ms)};
        CHECK(turns.plan(calls, Start).turns == Order{2, 1, 0});
        CHECK(turns.plan(calls, Start - 10ms).turns == Order{0, 1, 2});
    }
    SECTION("once in sixteen turns at least, however many calls can still be in time")
    {
        std::vector<WaitingTerms> calls(100, termsOf(1s, 4s));
        calls.push_back(termsOf(-10ms, 1s));
        for (int turn = 1; turn < 16; ++turn)
            turns.onSent(calls.front(), Start);
        CHECK(turns.plan(calls, Start).turns.front() == 100);
    }
}

TEST_CASE("A waiting call is refused")
{
    WaitingTurns turns;

    SECTION("when it can no longer end by its deadline, with a margin")
    {
        const std::vector<WaitingTerms> calls{termsOf(100ms, 300ms, 100ms)};
        CHECK(turns.plan(calls, Start + 150ms).refused.empty());
        const auto plan = turns.plan(calls, Start + 151ms);
        CHECK(plan.turns.empty());
        REQUIRE(plan.refused.size() == 1);
        CHECK(plan.refused.front().why == WaitingTurns::Refusal::NoTime);
    }
    SECTION("when it would get its turn too late")
    {
        turns.onQueued(true, Start - 90ms);
        for (int turn = 1; turn <= 9; ++turn)
            turns.onSent(termsOf(1s, 2s), Start - 90ms + turn * 10ms);
        const std::vector<WaitingTerms> calls(12, termsOf(40ms, 100ms));
        const auto plan = turns.plan(calls, Start);
        CHECK(plan.turns.size() == 11);
        REQUIRE(plan.refused.size() == 1);
        CHECK(plan.refused.front().why == WaitingTurns::Refusal::NoTurn);
        AND_WHEN("no call has waited for long since then")
        {
            turns.onQueued(true, Start + 2s);
            THEN("the rate of the turns is not relied on")
            {
                CHECK(turns.plan(calls, Start).refused.empty());
            }
        }
    }
    SECTION("but not for a pause of the targets while calls wait")
    {
        turns.onQueued(true, Start - 590ms);
        for (int turn = 1; turn <= 9; ++turn)
            turns.onSent(termsOf(1s, 2s), Start - 590ms + turn * 10ms);
        turns.onSent(termsOf(1s, 2s), Start);
        const auto wait = turns.timeForTurns(10);
        REQUIRE(wait);
        CHECK(*wait <= 150ms);
    }
    SECTION("but not for a pause that had begun before calls waited")
    {
        turns.onQueued(true, Start - 1s);
        for (int turn = 0; turn <= 8; ++turn)
            turns.onSent(termsOf(1s, 2s), Start + turn * 10ms);
        const auto wait = turns.timeForTurns(10);
        REQUIRE(wait);
        CHECK(*wait == 100ms);
    }
}

TEST_CASE("A call that waits for a permit only does not count as a turn")
{
    WaitingTurns turns;
    const WaitingTerms permitOnly{Start + 1s, Start + 2s, 0ms, false};

    SECTION("in the rate of the turns")
    {
        turns.onQueued(true, Start - 1s);
        for (int turn = 1; turn <= 20; ++turn)
            turns.onSent(permitOnly, Start - 1s + turn * 50ms);
        CHECK_FALSE(turns.timeForTurns(1));
    }
    SECTION("ahead of other calls, and is not refused for want of a turn")
    {
        turns.onQueued(true, Start - 9s);
        for (int turn = 0; turn <= 8; ++turn)
            turns.onSent(termsOf(1s, 2s), Start - 8s + turn * 1s);
        const std::vector<WaitingTerms> calls{permitOnly, permitOnly, termsOf(1500ms, 1500ms),
                                              termsOf(1600ms, 1600ms), termsOf(1700ms, 1700ms)};
        const auto plan = turns.plan(calls, Start);
        CHECK(plan.turns == Order{0, 1, 2, 3});
        REQUIRE(plan.refused.size() == 1);
        CHECK(plan.refused.front().call == 4);
    }
    SECTION("between two calls that will be late")
    {
        for (int turn = 1; turn < 16; ++turn)
            turns.onSent(termsOf(1s, 4s), Start);
        turns.onSent({Start - 10ms, Start + 1s, 0ms, false}, Start);
        const std::vector<WaitingTerms> calls{termsOf(1s, 4s), termsOf(-10ms, 1s)};
        CHECK(turns.plan(calls, Start).turns.front() == 1);
    }
}

TEST_CASE("Each call that waits is sent in time or refused as soon as that is known")
{
    const auto seed = GENERATE(range(1U, 26U));
    const double load = GENERATE(0.8, 1.0, 1.2, 2.0);
    const SeededRun run(seed, load);
    INFO("seed " << seed << " load " << load);

    std::size_t refused = 0;
    std::size_t refusedEarly = 0;
    for (const SeededRun::Call &call : run.calls) {
        REQUIRE(call.sentAt.has_value() != call.refusedAt.has_value());
        if (call.sentAt) {
            // None is sent that cannot end by its deadline.
            REQUIRE(*call.sentAt + call.work <= call.terms.deadline);
            continue;
        }
        ++refused;
        // None is held after the moment at which it cannot be served any more.
        REQUIRE(*call.refusedAt <= call.terms.latestStart() + 1ns);
        refusedEarly += *call.refusedAt < call.terms.latestStart() ? 1 : 0;
    }
    CHECK(run.mostTurnsPastLate < WaitingTurns::LateTurnInterval);
    CHECK_FALSE(run.hasIdledSlot);
    if (load < 1.0)
        CHECK(refused <= run.calls.size() / 100);
    // Most of those that get no turn learn it before their time is up.
    if (load >= 1.2)
        CHECK(refusedEarly * 2 > refused);
}
