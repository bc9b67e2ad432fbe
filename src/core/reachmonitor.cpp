#include "mangoshift/reachmonitor.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// How often other domains are pinged while targets do not suffice.
constexpr std::chrono::milliseconds PingInterval{200};
/// How long pings may go unanswered: three rounds, as datagrams are lost now and then, and the way
/// to a VM that is busy and back.
constexpr std::chrono::milliseconds SilencePatience{700};

} // namespace

void ReachMonitor::onOtherDomainContact(Clock::time_point now)
{
    m_heardAt = now;
    decide(now);
}

bool ReachMonitor::onTargetReach(bool suffices, Clock::time_point now)
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
