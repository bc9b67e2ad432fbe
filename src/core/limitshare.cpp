#include "mangoshift/limitshare.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangoshift {

namespace {

using Seconds = std::chrono::duration<double>;

/// What a target is owed is remembered for as long as its limit allows that much, and for this many
/// requests at least.
constexpr Seconds MaxOwedTime{0.4};
constexpr double MinMaxOwed = 2.0;

double maxOwed(const TargetLimit &limit)
{
    return std::max(MinMaxOwed, std::ceil(limit.value().value_or(0.0) * MaxOwedTime.count()));
}

} // namespace

void LimitShare::onChoice(double part, Clock::time_point now)
{
    m_owed += part;
    m_owedLately += part;
    m_unusedSince = std::min(m_unusedSince, now);
    m_lastChoiceAt = now;
}

void LimitShare::onSent()
{
    m_owed = std::max(m_owed - 1.0, -MinMaxOwed);
    m_unusedSince = Clock::time_point::max();
    m_isReported = false;
}

std::size_t LimitShare::permitsToAsk(const TargetLimit &limit, Clock::time_point now)
{
    if (now < m_askAt)
        return 0;
    m_askAt = now + AskInterval;
    const double owedLately = std::exchange(m_owedLately, 0.0);
    const double most = maxOwed(limit);
    m_owed = limit.isLimited() ? std::min(m_owed, most) : 0.0;
    if (!limit.isLimited() || owedLately == 0.0)
        return 0;
    const double expected = std::round(std::min(m_owed + owedLately, most));
    const auto held = static_cast<double>(limit.heldPermits(now));
    return expected > held ? static_cast<std::size_t>(expected - held) : 0;
}

bool LimitShare::startProbe(const TargetLimit &limit, Clock::time_point now)
{
    if (!isInDoubt(limit, now) || now < m_probeAt)
        return false;
    m_probeAt = now + ProbeInterval;
    return true;
}

bool LimitShare::isDue(const TargetLimit &limit, Clock::time_point now) const
{
    return limit.isLimited() && (m_owed >= 1.0 || isInDoubt(limit, now));
}

bool LimitShare::isInDoubt(const TargetLimit &limit, Clock::time_point now)
{
    return limit.isLimited() && limit.age(now) >= DoubtTime;
}

Clock::duration LimitShare::unusedFor() const
{
    return m_lastChoiceAt > m_unusedSince ? m_lastChoiceAt - m_unusedSince
                                          : Clock::duration::zero();
}

bool LimitShare::shouldReport()
{
    return unusedFor() >= ReportTime && !std::exchange(m_isReported, true);
}

} // namespace mangoshift
