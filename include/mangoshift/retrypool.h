#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"
#include "mangoshift/retryshare.h"

namespace mangoshift {

/// The share of a retry budget's slack that is pooled in a large fleet. The rest is divided evenly
/// among the VMs in advance, so that a VM that cannot reach the pool owner still has half of an
/// even share.
constexpr double PooledSlackShare = 0.5;

/// How long after its request to the pool owner a VM may use what it was granted. Covers a round
/// trip between busy VMs and the 100 ms after which a VM notices that no reply has come.
constexpr std::chrono::milliseconds GrantLifetime{300};

/// Returns the VM that owns the pools of `self`'s failure domain: the first by rendezvous hash
/// among the live VMs of the domain that do not leave, or `self` if no other is known.
VmId poolOwner(const MemberView &view, const Member &self);
/// Returns the VM that owns the pools of another failure domain; no value if none is known.
std::optional<VmId> poolOwnerOf(const MemberView &view, const std::string &failureDomain);

/// The pooled part of the retry budgets of all services, for the VMs of one failure domain.
///
/// Each failure domain has its own pool and pool owner, so that domains which are cut off from each
/// other cannot spend the same part of the slack twice. A new owner does not know what its
/// predecessor granted, so it grants nothing until those grants have left the window. Within a
/// window no more is granted than the pool holds. Reads no clock. Not thread safe.
class RetryPool
{
public:
    /// Creates a pool that this VM does not own and that holds nothing yet.
    explicit RetryPool(const RetryBudgetTerms &terms);

    /// Sets whether this VM owns the pool.
    void setIsOwner(bool isOwner, Clock::time_point now);
    /// Sets the share of the slack, 0 to 1, that the pool holds.
    void setSlackShare(double slackShare);
    /// Grants up to `wanted` extra requests to a service's targets, for use within `GrantLifetime`.
    /// Returns how many are granted.
    std::uint32_t grant(const std::string &service, std::uint32_t wanted, Clock::time_point now);

private:
    RetryBudgetTerms m_terms;
    double m_slackShare = 0.0;
    bool m_isOwner = false;
    /// When an earlier owner's grants have left the window, so that this VM may grant.
    Clock::time_point m_grantsStartAt = Clock::time_point::max();
    std::unordered_map<std::string, RetryShare> m_services;
};

} // namespace mangoshift
