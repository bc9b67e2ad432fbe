#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"
#include "mangoshift/retryshare.h"

namespace mangoshift {

/// Which part of a budget's slack is pooled in a large fleet; the rest is shared out in advance.
/// With half of it, a VM that reaches no keeper still has half of an even share.
constexpr double PooledSlackShare = 0.5;

/// How long after its question a VM may use what it was granted: a way there and back between busy
/// VMs, with the 100 ms within which it notices that no answer came.
constexpr std::chrono::milliseconds GrantLifetime{300};

/// Returns the VM that keeps the pool of `self`'s failure domain: the first by rendezvous hash
/// among its live VMs, `self` where it knows of no other.
VmId poolOwner(const MemberView &view, const Member &self);

/// The pooled part of the retry budgets of all services, for the VMs of one failure domain.
///
/// Each domain has a pool and a keeper of its own, so that domains which are cut off from each
/// other cannot spend the same part twice. A keeper does not know what one before it granted: it
/// grants nothing until that has left the window. Within a window no more is granted than the pool
/// holds. Reads no clock. Not thread safe.
class RetryPool
{
public:
    explicit RetryPool(const RetryBudgetTerms &terms);

    /// Takes in who keeps the pool.
    void setIsOwner(bool isSelf, Clock::time_point now);
    /// Sets the part of the slack, 0 to 1, that the pool holds.
    void setSlackShare(double slackShare);
    /// Grants up to `wanted` extra requests to a service's targets, to be used within
    /// `GrantLifetime`.
    std::uint32_t grant(const std::string &service, std::uint32_t wanted, Clock::time_point now);

private:
    RetryBudgetTerms m_terms;
    double m_slackShare = 0.0;
    bool m_isKeeper = false;
    Clock::time_point m_grantsFrom = Clock::time_point::max();
    std::unordered_map<std::string, RetryShare> m_services;
};

} // namespace mangoshift
