#pragma once

#include <functional>

#include "duties/messages.h"
#include "mangoshift/membership.h"
#include "mangoshift/retrypool.h"

namespace mangoshift {

/// Obtains extra requests from the retry pool of this VM's failure domain: grants them itself if
/// this VM is the pool owner, and requests them from the pool owner otherwise. Belongs to the
/// registry duty's thread.
class PoolAccess
{
public:
    /// The receivers of requests to another VM, of replies to another VM, and of grants for this
    /// VM.
    struct Sinks
    {
        std::function<void(const VmId &, FramePtr)> sendToVm;
        std::function<void(LinkId, FramePtr)> sendOnLink;
        std::function<void(BudgetGrants)> onGrants;
    };

    /// `assumedVms` is the least number of VMs that share the budget; see `EntrySettings`.
    PoolAccess(Member self, const RetryBudgetTerms &terms, std::size_t assumedVms, Sinks sinks);

    /// Updates the pool's size and its owner. Dead VMs count towards the size until the membership
    /// removes their records.
    void onMembers(const Membership &members, Clock::time_point now);
    /// Requests budget for extra requests of this VM. The grants are passed to `Sinks::onGrants`.
    void requestExtras(const BudgetRequest &request, Clock::time_point now);
    /// Handles a frame that concerns the pool. Returns false for any other frame.
    bool onFrame(LinkId link, const wire::FrameT &frame, Clock::time_point now);

private:
    BudgetCounts grant(const BudgetCounts &wanted, Clock::time_point now);

    Member m_self;
    std::size_t m_assumedVms;
    Sinks m_sinks;
    RetryPool m_pool;
    VmId m_poolOwner;
};

} // namespace mangoshift
