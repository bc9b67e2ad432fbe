#pragma once

#include <chrono>
#include <unordered_map>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// Tells, from replies alone, which home VMs have gone silent, ahead of what membership says.
///
/// A suspect home gets no first copies but one for each `ProbeInterval`, so that a VM which is
/// lost costs the queries at hand a hedge, and the later ones nothing. One reply ends the
/// suspicion. Not thread safe.
class HomeMonitor
{
public:
    /// Takes in that a home replied to something.
    void onReply(const VmId &vm, Clock::time_point now);
    /// Takes in that no connection to a home can be had, or that it stayed silent for too long.
    void onUnreachable(const VmId &vm, Clock::time_point now);

    /// Returns true where nothing has been heard from the home after `since`.
    bool isSilentSince(const VmId &vm, Clock::time_point since) const;
    /// Returns true where a request should rather go to another home. Returns false once in each
    /// `ProbeInterval` for a suspect home, which lets that request through to try it.
    bool shouldAvoid(const VmId &vm, Clock::time_point now);
    /// Returns how many homes are suspect.
    std::size_t suspectCount() const { return m_nextProbe.size(); }
    /// Forgets the VMs that are not in the view.
    void keepOnly(const MemberView &view);

    static constexpr std::chrono::milliseconds ProbeInterval{1000};

private:
    std::unordered_map<VmId, Clock::time_point> m_heardAt;
    std::unordered_map<VmId, Clock::time_point> m_nextProbe;
};

} // namespace mangoshift
