#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// Detects home VMs that have stopped replying, from replies alone and sooner than membership does.
///
/// A suspect home gets no first copies except one in each `ProbeInterval`. A lost VM then costs the
/// pending queries a hedge, and later queries nothing. A single reply ends the suspicion. Not
/// thread safe.
class HomeMonitor
{
public:
    /// Records that a home sent a reply.
    void onReply(const VmId &vm, Clock::time_point now);
    /// Marks a home as suspect: no connection to it can be made, or it was silent for too long.
    void onUnreachable(const VmId &vm, Clock::time_point now);

    /// Returns whether the home has sent no reply after `since`.
    bool isSilentSince(const VmId &vm, Clock::time_point since) const;
    /// Returns whether a request should go to another home. For a suspect home, returns false once
    /// in each `ProbeInterval`, so that this request probes the home.
    bool shouldAvoid(const VmId &vm, Clock::time_point now);
    /// Returns the number of suspect homes.
    std::size_t suspectCount() const { return m_nextProbe.size(); }
    /// Returns how often a home became suspect.
    std::uint64_t suspicions() const { return m_suspicions; }
    /// Removes the VMs that are not in the view.
    void keepOnly(const MemberView &view);

    static constexpr std::chrono::milliseconds ProbeInterval{1000};

private:
    std::unordered_map<VmId, Clock::time_point> m_lastReplies;
    /// For each suspect home, when the next request may probe it.
    std::unordered_map<VmId, Clock::time_point> m_nextProbe;
    std::uint64_t m_suspicions = 0;
};

} // namespace mangoshift
