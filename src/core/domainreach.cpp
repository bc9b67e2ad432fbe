#include "mangoshift/domainreach.h"

namespace mangoshift {

bool DomainReach::onOverdue(const std::string &failureDomain, const TargetId &target,
                            Clock::time_point sentAt, Clock::time_point now)
{
    Domain &domain = m_domains[failureDomain];
    // Other targets have responded meanwhile, so it is this one that is late.
    if (sentAt <= domain.lastResponseAt)
        return false;
    const bool wasSilent = isSilent(domain, now);
    if (now - domain.lastEvidenceAt >= EvidenceLifetime)
        domain.overdue.clear();
    domain.lastEvidenceAt = now;
    if (domain.overdue.size() < MinOverdueTargets)
        domain.overdue.insert(target);
    return !wasSilent && isSilent(domain, now);
}

bool DomainReach::onResponse(const std::string &failureDomain, Clock::time_point now)
{
    Domain &domain = m_domains[failureDomain];
    const bool wasSilent = domain.overdue.size() >= MinOverdueTargets;
    domain.overdue.clear();
    domain.lastResponseAt = now;
    return wasSilent;
}

void DomainReach::onSent(const std::string &failureDomain, Clock::time_point now)
{
    const auto domain = m_domains.find(failureDomain);
    if (domain != m_domains.end())
        domain->second.lastSentAt = now;
}

bool DomainReach::isSilent(const Domain &domain, Clock::time_point now)
{
    return domain.overdue.size() >= MinOverdueTargets
        && now - domain.lastEvidenceAt < EvidenceLifetime;
}

bool DomainReach::isSilent(const std::string &failureDomain, Clock::time_point now) const
{
    const auto domain = m_domains.find(failureDomain);
    return domain != m_domains.end() && isSilent(domain->second, now);
}

bool DomainReach::isProbeDue(const std::string &failureDomain, Clock::time_point now) const
{
    const auto domain = m_domains.find(failureDomain);
    return domain != m_domains.end() && isSilent(domain->second, now)
        && now - domain->second.lastSentAt >= ProbeInterval;
}

std::vector<std::string> DomainReach::silentDomains(Clock::time_point now) const
{
    std::vector<std::string> silent;
    for (const auto &[name, domain] : m_domains)
        if (isSilent(domain, now))
            silent.push_back(name);
    return silent;
}

} // namespace mangoshift
