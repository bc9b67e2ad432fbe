#include "mangoshift/changelog.h"

#include <algorithm>

namespace mangoshift {

namespace {

/// More gaps than a VM has while another one still needs the changes from before them.
constexpr std::size_t MaxGaps = 16;

} // namespace

ChangeLog::ChangeLog(std::size_t limit)
    : m_limit(limit)
{
}

void ChangeLog::resetTo(std::uint64_t revision)
{
    m_targetRevisions.clear();
    m_coveredAfter = revision;
    m_gaps.clear();
}

void ChangeLog::onGap(std::uint64_t from, std::uint64_t to)
{
    // Without a revision in between, every VM is at one of the two and lacks nothing.
    if (to <= from + 1)
        return;
    m_gaps.push_back({from, to});
    if (m_gaps.size() <= MaxGaps)
        return;
    m_coveredAfter = std::max(m_coveredAfter, m_gaps.front().to);
    m_gaps.erase(m_gaps.begin());
}

bool ChangeLog::covers(std::uint64_t revision) const
{
    return revision >= m_coveredAfter
        && std::none_of(m_gaps.begin(), m_gaps.end(), [revision](const Gap &gap) {
               return gap.from < revision && revision < gap.to;
           });
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
