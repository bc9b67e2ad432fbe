#include "mangoshift/reachmonitor.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// The interval between two rounds of pings to other domains while this VM reaches too few targets.
constexpr std::chrono::milliseconds PingInterval{200};
/// How long pings may stay without a reply: three rounds, as datagrams are occasionally lost, and a
/// round trip to a busy VM.
constexpr std::chrono::milliseconds SilencePatience{700};

} // namespace

void ReachMonitor::onHeard(Clock::time_point now)
{
    m_heardAt = now;
    decide(now);
}

bool ReachMonitor::onReach(bool suffices, Clock::time_point now)
{
    if (std::exchange(m_suffices, suffices) && !suffices)
        m_insufficientSince = now;
    decide(now);
    if (m_suffices || now < m_nextPing)
        return false;
    m_nextPing = now + PingInterval;
    return true;
}

void ReachMonitor::decide(Clock::time_point now)
{
    const bool hasHeard = m_heardAt != Clock::time_point{};
    m_isCutOff = !m_suffices && hasHeard
        && now - std::max(m_insufficientSince, m_heardAt) >= SilencePatience;
}

} // namespace mangoshift
