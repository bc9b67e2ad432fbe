#include "mangoshift/changelog.h"

#include <algorithm>

namespace mangoshift {

ChangeLog::ChangeLog(std::size_t limit)
    : m_limit(limit)
{
}

void ChangeLog::resetTo(std::uint64_t revision)
{
    m_targetRevisions.clear();
    m_configurationRevision = 0;
    m_coveredAfter = revision;
}

void ChangeLog::onTargetChange(const TargetId &id, std::uint64_t revision)
{
    m_targetRevisions[id] = revision;
    if (m_targetRevisions.size() <= m_limit)
        return;
    const auto oldest =
        std::min_element(m_targetRevisions.begin(), m_targetRevisions.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    m_coveredAfter = std::max(m_coveredAfter, oldest->second);
    m_targetRevisions.erase(oldest);
}

std::vector<TargetId> ChangeLog::targetsChangedAfter(std::uint64_t revision) const
{
    std::vector<TargetId> ids;
    for (const auto &[id, changedAt] : m_targetRevisions)
        if (changedAt > revision)
            ids.push_back(id);
    return ids;
}

} // namespace mangoshift
