#pragma once

#include <functional>

#include "duties/messages.h"
#include "mangoshift/membership.h"
#include "mangoshift/retrypool.h"

namespace mangoshift {

/// Reaches the retry pool of this VM's failure domain: grants from it where this VM is its keeper,
/// and asks the keeper where another is. Belongs to the registry duty's thread.
class PoolAccess
{
public:
    /// Where questions to another VM, and answers for this one, go.
    struct Sinks
    {
        std::function<void(const VmId &, FramePtr)> sendToVm;
        std::function<void(LinkId, FramePtr)> sendOnLink;
        std::function<void(BudgetGrants)> onGrants;
    };

    /// `assumedVms` is how many VMs share the budget at least; see `EntrySettings`.
    PoolAccess(Member self, const RetryBudgetTerms &terms, std::size_t assumedVms, Sinks sinks);

    /// Takes in who lives, and who is known at all: the dead keep their part.
    void onMembers(const Membership &members, Clock::time_point now);
    /// Asks for extra requests of this VM's own.
    void requestExtras(const BudgetQuestion &request, Clock::time_point now);
    /// Takes a frame about the pool. Returns false where it is about something else.
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
