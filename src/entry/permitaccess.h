#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "duties/messages.h"
#include "mangoshift/limitpool.h"
#include "mangoshift/members.h"
#include "mangoshift/permitroute.h"

namespace mangoshift {

/// Obtains permits from the limit pool of this VM's failure domain: grants them itself if this VM
/// is the pool owner, and requests them from the pool owner otherwise, or from that of another
/// domain (see `PermitRoute`). Pool owners of different domains lend to each other. Belongs to the
/// registry duty's thread.
class PermitAccess
{
public:
    /// The receivers of requests to another VM, of replies to another VM, and of replies for this
    /// VM.
    struct Sinks
    {
        std::function<void(const VmId &, FramePtr)> sendToVm;
        std::function<void(LinkId, FramePtr)> sendOnLink;
        std::function<void(PermitReply)> onPermits;
    };

    /// `failureDomains` is the least number of failure domains that share each limit; it grows if
    /// VMs of more domains are met.
    PermitAccess(Member self, std::size_t failureDomains, Sinks sinks);

    /// Updates the owner of the pool.
    void onMembers(MemberViewPtr view, Clock::time_point now);
    /// Gives the pool up, as this VM leaves.
    void onLeaving(Clock::time_point now);
    /// Requests permits for this VM. The reply is passed to `Sinks::onPermits`.
    void request(const PermitRequest &request, Clock::time_point now);
    /// Borrows for the targets that lack permits; to be called several times a second.
    void onTick(Clock::time_point now);
    /// Handles a frame that concerns the pool. Returns false for any other frame.
    bool onFrame(LinkId link, const wire::FrameT &frame, Clock::time_point now);
    const VmId &owner() const { return m_route.own(); }

private:
    void updateOwner(Clock::time_point now);
    /// Returns the pool owner of the next failure domain, by name, that has one.
    std::optional<VmId> ownerOfNextDomain() const;
    /// Returns the other failure domains of the VMs that are alive.
    std::set<std::string> otherDomains() const;
    PermitReply grant(const PermitRequest &request, Clock::time_point now);

    Member m_self;
    Sinks m_sinks;
    LimitPool m_pool;
    MemberViewPtr m_view;
    PermitRoute m_route;
    std::uint64_t m_lastLoanRequest = 0;
    /// When each request for loans that may still be of use was sent, by its sequence number.
    std::map<std::uint64_t, Clock::time_point> m_loanRequests;
    Clock::time_point m_borrowAt{};
};

} // namespace mangoshift
