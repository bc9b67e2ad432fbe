#include "mangoshift/homemonitor.h"

#include <algorithm>

namespace mangoshift {

void HomeMonitor::onReply(const VmId &vm, Clock::time_point now)
{
    m_lastReplies[vm] = now;
    if (!m_nextProbe.empty())
        m_nextProbe.erase(vm);
}

void HomeMonitor::onUnreachable(const VmId &vm, Clock::time_point now)
{
    if (m_nextProbe.insert_or_assign(vm, now + ProbeInterval).second)
        ++m_suspicions;
}

bool HomeMonitor::isSilentSince(const VmId &vm, Clock::time_point since) const
{
    const auto it = m_lastReplies.find(vm);
    return it == m_lastReplies.end() || it->second <= since;
}

bool HomeMonitor::shouldAvoid(const VmId &vm, Clock::time_point now)
{
    if (m_nextProbe.empty())
        return false;
    const auto it = m_nextProbe.find(vm);
    if (it == m_nextProbe.end())
        return false;
    if (now < it->second)
        return true;
    it->second = now + ProbeInterval;
    return false;
}

void HomeMonitor::keepOnly(const MemberView &view)
{
    const auto isRemoved = [&](const auto &each) {
        return std::none_of(view.members.begin(), view.members.end(),
                            [&](const Member &member) { return member.vm == each.first; });
    };
    std::erase_if(m_lastReplies, isRemoved);
    std::erase_if(m_nextProbe, isRemoved);
}

} // namespace mangoshift
