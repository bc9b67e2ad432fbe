// Weighs the orders in which calls that wait for a target are sent, on a simulated clock: seeded
// arrivals at a fixed share of what the targets bear. Prints one row for each order and load, the
// mean of several seeds.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "mangoshift/waitingturns.h"

namespace {

using namespace mangoshift;
using std::chrono::milliseconds;

constexpr unsigned Seeds = 5;
constexpr std::chrono::seconds Duration{60};
const Clock::time_point Start = Clock::time_point(std::chrono::hours(1));

/// The targets and the callers of a service.
struct Shape
{
    const char *name;
    std::size_t slots;
    milliseconds leastWork;
    milliseconds mostWork;
    /// Until when an answer is of full use, and of any use.
    milliseconds usefulTime;
    milliseconds deadline;
};
constexpr Shape Shapes[] = {
    {"20 slots, 20 to 900 ms of work, in time within 1 s, deadline 2 s", 20, milliseconds(20),
     milliseconds(900), milliseconds(1000), milliseconds(2000)},
    {"4 slots, 15 to 25 ms of work, in time within 150 ms, deadline 1.5 s", 4, milliseconds(15),
     milliseconds(25), milliseconds(150), milliseconds(1500)},
};

struct Call
{
    Clock::time_point arrivedAt;
    WaitingTerms terms;
    Clock::duration work{};
};
using Calls = std::vector<Call>;
using Waiting = std::vector<std::size_t>;

/// What an order decides for the calls that wait: indices of calls.
struct Decision
{
    Waiting turns;
    Waiting refused;
};

/// An order: decides, and hears of the calls that are queued and sent.
struct Policy
{
    std::string name;
    std::function<Decision(const Calls &, const Waiting &, Clock::time_point)> decide;
    std::function<void(bool isFirst, Clock::time_point)> onQueued;
    std::function<void(const Call &, Clock::time_point)> onSent;
};

/// An order without refusals: calls end at their deadlines, as before there were turns.
Policy
sortedPolicy(std::string name,
             std::function<std::pair<int, Clock::time_point>(const Call &, Clock::time_point)> rank)
{
    return {std::move(name),
            [rank](const Calls &calls, const Waiting &waiting, Clock::time_point now) {
                Decision decision;
                for (const std::size_t call : waiting)
                    (now >= calls[call].terms.deadline ? decision.refused : decision.turns)
                        .push_back(call);
                std::stable_sort(decision.turns.begin(), decision.turns.end(),
                                 [&](std::size_t a, std::size_t b) {
                                     return rank(calls[a], now) < rank(calls[b], now);
                                 });
                return decision;
            },
            [](bool, Clock::time_point) {}, [](const Call &, Clock::time_point) {}};
}

/// The order of the library. With `isNewestFirst`, calls that can be in time are sent newest first.
Policy turnsPolicy(std::string name, bool isNewestFirst)
{
    const auto turns = std::make_shared<WaitingTurns>();
    return {
        std::move(name),
        [turns, isNewestFirst](const Calls &calls, const Waiting &waiting, Clock::time_point now) {
            std::vector<WaitingTerms> terms;
            for (const std::size_t call : waiting) {
                terms.push_back(calls[call].terms);
                // Turned round, the newest call has the earliest time.
                if (isNewestFirst && terms.back().canBeInTime(now))
                    terms.back().usefulUntil =
                        now + std::chrono::hours(1) - (terms.back().usefulUntil - now);
            }
            const WaitingTurns::Plan plan = turns->plan(terms, now);
            Decision decision;
            for (const std::size_t index : plan.turns)
                decision.turns.push_back(waiting[index]);
            for (const auto &[index, why] : plan.refused)
                decision.refused.push_back(waiting[index]);
            return decision;
        },
        [turns](bool isFirst, Clock::time_point now) { turns->onQueued(isFirst, now); },
        [turns](const Call &call, Clock::time_point now) { turns->onSent(call.terms, now); }};
}

std::vector<Policy> policies()
{
    return {sortedPolicy("late last, until the deadline (before)",
                         [](const Call &call, Clock::time_point now) {
                             return std::pair(call.terms.usefulUntil < now ? 1 : 0,
                                              call.terms.usefulUntil);
                         }),
            sortedPolicy(
                "first come",
                [](const Call &call, Clock::time_point) { return std::pair(0, call.arrivedAt); }),
            sortedPolicy("least time left",
                         [](const Call &call, Clock::time_point) {
                             return std::pair(0, call.terms.deadline);
                         }),
            turnsPolicy("in time first, newest of them first, refusals", true),
            turnsPolicy("in time first, 1 late in 16, refusals (chosen)", false)};
}

struct Outcome
{
    double inTime = 0;
    double late = 0;
    double lost = 0;
    double refused = 0;
    double refusedAfter = 0;
    double worstWait = 0;
};

double secondsOf(Clock::duration time)
{
    return std::chrono::duration<double>(time).count();
}

Calls arrivals(const Shape &shape, double load, unsigned seed)
{
    std::mt19937 random(seed);
    const Clock::duration meanWork = (shape.leastWork + shape.mostWork) / 2;
    std::exponential_distribution<double> gap(load * static_cast<double>(shape.slots)
                                              / secondsOf(meanWork));
    std::uniform_real_distribution<double> work(secondsOf(shape.leastWork),
                                                secondsOf(shape.mostWork));
    const auto toDuration = [](double seconds) {
        return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
    };
    // Callers do not all have the same time.
    std::uniform_real_distribution<double> share(0.5, 1.0);
    Calls calls;
    for (Clock::time_point at = Start; at < Start + Duration; at += toDuration(gap(random)))
        calls.push_back({at,
                         {at + shape.usefulTime,
                          at + toDuration(secondsOf(shape.deadline) * share(random)), meanWork},
                         toDuration(work(random))});
    return calls;
}

/// Runs calls through an order.
class Run
{
public:
    Run(const Shape &shape, const Calls &calls, const Policy &policy)
        : m_slots(shape.slots)
        , m_calls(calls)
        , m_policy(policy)
    {
        std::size_t arrived = 0;
        while (arrived < m_calls.size() || !m_waiting.empty()) {
            const Clock::time_point arrival =
                arrived < m_calls.size() ? m_calls[arrived].arrivedAt : Clock::time_point::max();
            const Clock::time_point end = m_ends.empty() ? Clock::time_point::max() : m_ends.top();
            const Clock::time_point now = std::min({arrival, end, nextReview()});
            if (now == end)
                m_ends.pop();
            if (now == arrival) {
                m_policy.onQueued(m_waiting.empty(), now);
                m_waiting.push_back(arrived++);
            }
            review(now);
        }
    }

    Outcome outcome() const
    {
        const auto count = static_cast<double>(m_calls.size());
        return {m_inTime / count,
                m_late / count,
                m_lost / count,
                m_refused / count,
                m_refused > 0 ? m_refusedAfter / m_refused : 0,
                m_worstWait};
    }

private:
    Clock::time_point nextReview() const
    {
        Clock::time_point next = Clock::time_point::max();
        for (const std::size_t call : m_waiting) {
            const Clock::time_point latestStart = m_calls[call].terms.latestStart();
            next = std::min(next,
                            (latestStart < m_lastReview ? m_calls[call].terms.deadline
                                                        : latestStart + Clock::duration(1)));
        }
        return next;
    }

    void review(Clock::time_point now)
    {
        m_lastReview = now;
        const Decision decision = m_policy.decide(m_calls, m_waiting, now);
        for (const std::size_t call : decision.refused) {
            ++m_refused;
            m_refusedAfter += secondsOf(now - m_calls[call].arrivedAt);
            std::erase(m_waiting, call);
        }
        for (const std::size_t call : decision.turns) {
            if (m_ends.size() == m_slots)
                return;
            std::erase(m_waiting, call);
            send(m_calls[call], now);
        }
    }

    void send(const Call &call, Clock::time_point now)
    {
        m_policy.onSent(call, now);
        m_worstWait = std::max(m_worstWait, secondsOf(now - call.arrivedAt));
        const Clock::time_point end = now + call.work;
        if (end <= call.terms.usefulUntil)
            ++m_inTime;
        else if (end <= call.terms.deadline)
            ++m_late;
        else
            ++m_lost;
        // A target stops work at the deadline.
        m_ends.push(std::min(end, call.terms.deadline));
    }

    std::size_t m_slots;
    const Calls &m_calls;
    const Policy &m_policy;
    Waiting m_waiting;
    std::priority_queue<Clock::time_point, std::vector<Clock::time_point>, std::greater<>> m_ends;
    Clock::time_point m_lastReview{};
    double m_inTime = 0;
    double m_late = 0;
    double m_lost = 0;
    double m_refused = 0;
    double m_refusedAfter = 0;
    double m_worstWait = 0;
};

void printRows(const Shape &shape)
{
    std::printf("%s\n| order | load | in time | late | sent and lost | refused | after s | worst "
                "wait s |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n",
                shape.name);
    for (std::size_t index = 0; index < policies().size(); ++index)
        for (const double load : {0.8, 1.0, 1.2, 2.0}) {
            Outcome sum;
            for (unsigned seed = 1; seed <= Seeds; ++seed) {
                const Calls calls = arrivals(shape, load, seed);
                const Policy policy = policies()[index];
                const Outcome each = Run(shape, calls, policy).outcome();
                sum.inTime += each.inTime / Seeds;
                sum.late += each.late / Seeds;
                sum.lost += each.lost / Seeds;
                sum.refused += each.refused / Seeds;
                sum.refusedAfter += each.refusedAfter / Seeds;
                sum.worstWait = std::max(sum.worstWait, each.worstWait);
            }
            std::printf("| %s | %.1f | %.3f | %.3f | %.3f | %.3f | %.2f | %.2f |\n",
                        policies()[index].name.c_str(), load, sum.inTime, sum.late, sum.lost,
                        sum.refused, sum.refusedAfter, sum.worstWait);
        }
}

} // namespace

int main()
{
    for (const Shape &shape : Shapes)
        printRows(shape);
    return 0;
}
