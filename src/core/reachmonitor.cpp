#include "mangoshift/reachmonitor.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// The interval between two rounds of pings to other domains while this VM reaches too few targets.
constexpr std::chrono::milliseconds PingInterval{200};
/// How long pings may stay without a reply: three rounds, as datagrams are occasionally lost, and a
/// round trip to a busy VM.
constexpr std::chrono::milliseconds SilenceTimeout{700};

} // namespace

void ReachMonitor::onOtherDomainContact(Clock::time_point now)
{
    m_lastContact = now;
    update(now);
}

bool ReachMonitor::onTargetReach(bool hasEnoughTargets, Clock::time_point now)
{
    if (std::exchange(m_hasEnoughTargets, hasEnoughTargets) && !hasEnoughTargets)
        m_insufficientSince = now;
    update(now);
    if (m_hasEnoughTargets || now < m_nextPingAt)
        return false;
    m_nextPingAt = now + PingInterval;
    return true;
}

void ReachMonitor::update(Clock::time_point now)
{
    const bool hasContact = m_lastContact != Clock::time_point{};
    m_isCutOff = !m_hasEnoughTargets && hasContact
        && now - std::max(m_insufficientSince, m_lastContact) >= SilenceTimeout;
}

} // namespace mangoshift
