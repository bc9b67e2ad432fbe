#include "mangoshift/retrypool.h"

#include "mangoshift/placement.h"

namespace mangoshift {

namespace {

ShardKey poolKey(const std::string &failureDomain)
{
    return shardKey("retry-pool", failureDomain);
}

/// Returns the first VM of a domain by rendezvous hash that does not leave; never `except`.
std::optional<VmId> firstVmOf(const MemberView &view, const std::string &failureDomain,
                              const VmId &except)
{
    const ShardKey key = poolKey(failureDomain);
    std::optional<VmId> first;
    std::uint64_t best = 0;
    for (const Member &member : view.members) {
        const std::uint64_t weight = rendezvousWeight(key, member.vm);
        if (member.failureDomain != failureDomain || member.isLeaving || member.vm == except
            || (first && weight <= best))
            continue;
        first = member.vm;
        best = weight;
    }
    return first;
}

} // namespace

VmId poolOwner(const MemberView &view, const Member &self)
{
    const auto other = firstVmOf(view, self.failureDomain, self.vm);
    const ShardKey key = poolKey(self.failureDomain);
    // A VM that leaves owns the pools only if there is no other.
    const bool isOwner = !other
        || (!self.isLeaving && rendezvousWeight(key, self.vm) >= rendezvousWeight(key, *other));
    return isOwner ? self.vm : *other;
}

std::optional<VmId> poolOwnerOf(const MemberView &view, const std::string &failureDomain)
{
    return firstVmOf(view, failureDomain, {});
}

RetryPool::RetryPool(const RetryBudgetTerms &terms)
    : m_terms(terms)
{
    // Only slack is pooled. A grant may be used until `GrantLifetime` has passed, so it counts for
    // that much longer.
    m_terms.ratio = 0.0;
    m_terms.window += GrantLifetime;
}

void RetryPool::setIsOwner(bool isOwner, Clock::time_point now)
{
    if (isOwner && !m_isOwner)
        m_grantsStartAt = now + m_terms.window;
    m_isOwner = isOwner;
}

void RetryPool::setSlackShare(double slackShare)
{
    m_slackShare = slackShare;
    for (auto &[service, share] : m_services)
        share.setSlackShare(slackShare);
}

std::uint32_t RetryPool::grant(const std::string &service, std::uint32_t wanted,
                               Clock::time_point now)
{
    if (!m_isOwner || now < m_grantsStartAt)
        return 0;
    RetryShare &share = m_services.try_emplace(service, m_terms, m_slackShare).first->second;
    std::uint32_t granted = 0;
    while (granted < wanted && share.trySpend(now))
        ++granted;
    return granted;
}

} // namespace mangoshift
