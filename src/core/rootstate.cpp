#include "mangoshift/rootstate.h"

#include <algorithm>

namespace mangoshift {

namespace {

using std::chrono::microseconds;

/// With fewer samples a quantile is not meaningful, and is not used.
constexpr std::uint32_t MinSamples = 64;
constexpr double HedgeQuantile = 0.99;
constexpr double TypicalQuantile = 0.9;
/// The shortest delay of a hedge, unless a quarter of the deadline is shorter.
constexpr microseconds MinHedgeDelay{3000};

} // namespace

void RootState::onFirstCopies(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
        m_extraCopies.onFirstCopy();
    m_failoverCopies = std::min<double>(
        m_failoverCopies + FailoverRatio * static_cast<double>(count), FailoverBurst);
    m_restartCopies =
        std::min<double>(m_restartCopies + RestartRatio * static_cast<double>(count), RestartBurst);
}

bool RootState::trySpend(ExtraCopy kind)
{
    if (kind == ExtraCopy::Straggler && m_extraCopies.tokens() <= StragglerReserve)
        return false;
    if (m_extraCopies.trySpend())
        return true;
    if (kind != ExtraCopy::SilentHome || m_failoverCopies < 1)
        return false;
    m_failoverCopies -= 1;
    return true;
}

bool RootState::trySpendRestart(std::size_t copies)
{
    if (m_restartCopies < static_cast<double>(copies))
        return false;
    m_restartCopies -= static_cast<double>(copies);
    return true;
}

void RootState::onReplyTime(const std::string &service, microseconds time)
{
    m_replyTimes[service].record(time);
}

microseconds RootState::typicalReplyTime(const std::string &service) const
{
    const auto it = m_replyTimes.find(service);
    if (it == m_replyTimes.end() || it->second.samples() < MinSamples)
        return microseconds(0);
    return it->second.quantile(TypicalQuantile);
}

microseconds RootState::hedgeDelay(const std::string &service, microseconds deadline) const
{
    const microseconds maxDelay = std::max(deadline / 4, microseconds(1));
    const auto it = m_replyTimes.find(service);
    if (it == m_replyTimes.end() || it->second.samples() < MinSamples)
        return maxDelay;
    return std::clamp(it->second.quantile(HedgeQuantile), std::min(MinHedgeDelay, maxDelay),
                      maxDelay);
}

} // namespace mangoshift
