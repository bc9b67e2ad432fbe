#include "mangoshift/evacuations.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace mangoshift {

std::vector<EvacuationChange> Evacuations::set(const std::string &failureDomain, bool isEvacuated,
                                               std::uint64_t revision)
{
    if (revision < m_completeRevision)
        return {};
    auto known = m_records.find(failureDomain);
    if (known == m_records.end()) {
        // The end is recorded too: an older report of the start may still come.
        if (m_records.size() >= MaxDomains && !makeRoom())
            return {};
        known = m_records.emplace(failureDomain, Record{}).first;
    }
    Record &record = known->second;
    if (revision < record.revision)
        return {};
    record.revision = revision;
    if (std::exchange(record.isEvacuated, isEvacuated) == isEvacuated)
        return {};
    return {{failureDomain, isEvacuated, revision}};
}

bool Evacuations::makeRoom()
{
    auto oldest = m_records.end();
    for (auto it = m_records.begin(); it != m_records.end(); ++it)
        if (!it->second.isEvacuated
            && (oldest == m_records.end() || it->second.revision < oldest->second.revision))
            oldest = it;
    if (oldest == m_records.end())
        return false;
    m_records.erase(oldest);
    return true;
}

std::vector<EvacuationChange> Evacuations::replaceAll(const std::set<std::string> &failureDomains,
                                                      std::uint64_t revision)
{
    std::vector<EvacuationChange> changes;
    if (revision < m_completeRevision)
        return changes;
    m_completeRevision = revision;
    const auto append = [&changes](std::vector<EvacuationChange> further) {
        std::move(further.begin(), further.end(), std::back_inserter(changes));
    };
    for (const std::string &known : domains())
        if (!failureDomains.contains(known))
            append(set(known, false, revision));
    for (const std::string &each : failureDomains)
        append(set(each, true, revision));
    return changes;
}

std::set<std::string> Evacuations::domains() const
{
    std::set<std::string> domains;
    for (const auto &[domain, record] : m_records)
        if (record.isEvacuated)
            domains.insert(domain);
    return domains;
}

std::map<std::string, std::uint64_t> Evacuations::revisions() const
{
    std::map<std::string, std::uint64_t> revisions;
    for (const auto &[domain, record] : m_records)
        if (record.isEvacuated)
            revisions.emplace(domain, record.revision);
    return revisions;
}

} // namespace mangoshift
