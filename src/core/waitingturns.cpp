#include "mangoshift/waitingturns.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// A call counts as able to end in time if this many times its usual latency is left, because the
/// usual latency is a median.
constexpr double LatencyMargin = 1.5;
/// The weight of the newest turn in the moving average: the last dozen or so decide.
constexpr int IntervalsAveraged = 10;
/// A longer time between turns counts as this many times the average. A target that pauses does not
/// make all of the waiting calls seem hopeless.
constexpr int MaxIntervalGrowth = 4;
constexpr Clock::duration MinInterval = std::chrono::milliseconds(1);
/// The number of intervals between turns from which on their rate is used.
constexpr int MinIntervals = 8;
/// The rate of turns is forgotten if no call has waited for so long.
constexpr std::chrono::seconds RateLifetime{1};

Clock::duration neededTime(const WaitingTerms &call)
{
    return std::chrono::duration_cast<Clock::duration>(call.expectedLatency * LatencyMargin);
}

} // namespace

Clock::time_point WaitingTerms::latestStart() const
{
    return deadline - neededTime(*this);
}

bool WaitingTerms::canBeInTime(Clock::time_point now) const
{
    return now + neededTime(*this) <= usefulUntil;
}

WaitingTurns::Plan WaitingTurns::plan(std::span<const WaitingTerms> calls,
                                      Clock::time_point now) const
{
    Plan plan;
    std::vector<std::size_t> inTime;
    std::vector<std::size_t> late;
    for (std::size_t i = 0; i < calls.size(); ++i)
        if (now > calls[i].latestStart())
            plan.refused.push_back({i, Refusal::NoTime});
        else
            (calls[i].canBeInTime(now) ? inTime : late).push_back(i);
    std::stable_sort(inTime.begin(), inTime.end(), [&calls](std::size_t a, std::size_t b) {
        return calls[a].usefulUntil < calls[b].usefulUntil;
    });
    std::stable_sort(late.begin(), late.end(), [&calls](std::size_t a, std::size_t b) {
        return calls[a].latestStart() < calls[b].latestStart();
    });
    std::uint32_t turnsSinceLate = m_turnsSinceLate;
    std::size_t turnsAhead = 0;
    auto nextInTime = inTime.begin();
    auto nextLate = late.begin();
    while (nextInTime != inTime.end() || nextLate != late.end()) {
        const bool isLateTurn = nextLate != late.end()
            && (nextInTime == inTime.end() || turnsSinceLate + 1 >= LateTurnInterval);
        const std::size_t call = isLateTurn ? *nextLate++ : *nextInTime++;
        if (!calls[call].takesTurn) {
            plan.turns.push_back(call);
            continue;
        }
        const auto wait = timeForTurns(turnsAhead);
        if (wait && now + *wait > calls[call].latestStart()) {
            plan.refused.push_back({call, Refusal::NoTurn});
            continue;
        }
        plan.turns.push_back(call);
        ++turnsAhead;
        turnsSinceLate = isLateTurn ? 0 : turnsSinceLate + 1;
    }
    return plan;
}

void WaitingTurns::onQueued(bool isFirst, Clock::time_point now)
{
    if (!isFirst)
        return;
    if (now - m_lastTurnAt > RateLifetime)
        m_intervals = 0;
    m_lastTurnAt = now;
    m_isFirstTurn = true;
}

void WaitingTurns::onSent(const WaitingTerms &call, Clock::time_point now)
{
    if (!call.takesTurn)
        return;
    m_turnsSinceLate = call.canBeInTime(now) ? m_turnsSinceLate + 1 : 0;
    Clock::duration interval = std::max(now - m_lastTurnAt, Clock::duration::zero());
    m_lastTurnAt = now;
    // The first call may have waited for a pause to end, or for targets that failed.
    if (std::exchange(m_isFirstTurn, false))
        return;
    if (m_intervals > 0)
        interval = std::min(interval, std::max(m_interval, MinInterval) * MaxIntervalGrowth);
    m_intervals = std::min(m_intervals + 1, IntervalsAveraged);
    m_interval += (interval - m_interval) / m_intervals;
}

std::optional<Clock::duration> WaitingTurns::timeForTurns(std::size_t calls) const
{
    if (m_intervals < MinIntervals)
        return std::nullopt;
    return m_interval * static_cast<Clock::duration::rep>(calls);
}

} // namespace mangoshift
