#include "mangoshift/retrypool.h"

#include "mangoshift/placement.h"

namespace mangoshift {

VmId poolOwner(const MemberView &view, const Member &self)
{
    const ShardKey key = shardKey("retry-pool", self.failureDomain);
    VmId owner = self.vm;
    // A VM that leaves owns the pool only if there is no other.
    std::uint64_t best = self.isLeaving ? 0 : rendezvousWeight(key, self.vm);
    for (const Member &member : view.members) {
        const std::uint64_t weight = rendezvousWeight(key, member.vm);
        if (member.failureDomain != self.failureDomain || member.isLeaving || weight <= best)
            continue;
        owner = member.vm;
        best = weight;
    }
    return owner;
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
