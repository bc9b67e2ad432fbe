#include "mangoshift/changelog.h"

#include <algorithm>

namespace mangoshift {

ChangeLog::ChangeLog(std::size_t limit)
    : m_limit(limit)
{
}

void ChangeLog::resetTo(std::uint64_t revision)
{
    m_targets.clear();
    m_configuration = 0;
    m_forgotten = revision;
}

void ChangeLog::onTargetChange(const TargetId &id, std::uint64_t revision)
{
    m_targets[id] = revision;
    if (m_targets.size() <= m_limit)
        return;
    const auto oldest =
        std::min_element(m_targets.begin(), m_targets.end(),
                         [](const auto &a, const auto &b) { return a.second < b.second; });
    m_forgotten = std::max(m_forgotten, oldest->second);
    m_targets.erase(oldest);
}

std::vector<TargetId> ChangeLog::targetsChangedAfter(std::uint64_t revision) const
{
    std::vector<TargetId> ids;
    for (const auto &[id, changedAt] : m_targets)
        if (changedAt > revision)
            ids.push_back(id);
    return ids;
}

} // namespace mangoshift
