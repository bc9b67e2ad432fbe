#include "mangoshift/targetregistry.h"

#include <tuple>
#include <unordered_map>
#include <utility>

namespace mangoshift {

namespace {

bool isOlder(const RegisteredTarget &report, const RegisteredTarget &known)
{
    return std::tie(report.startedAt, report.sequence) < std::tie(known.startedAt, known.sequence);
}

/// Returns whether the entries are equal in all that matters to users of the target.
bool hasSameContent(RegisteredTarget a, const RegisteredTarget &b)
{
    a.sequence = b.sequence;
    return a == b;
}

const TargetId &targetOf(const RegistryChange &change)
{
    if (const auto *listed = std::get_if<TargetListed>(&change))
        return listed->target.id;
    return std::get<TargetDelisted>(change).id;
}

} // namespace

void mergeChanges(std::vector<RegistryChange> &changes, std::vector<RegistryChange> later)
{
    std::unordered_map<TargetId, std::size_t> positions;
    for (std::size_t i = 0; i < changes.size(); ++i)
        positions.emplace(targetOf(changes[i]), i);
    for (RegistryChange &change : later) {
        const auto [position, isNew] = positions.try_emplace(targetOf(change), changes.size());
        if (isNew)
            changes.push_back(std::move(change));
        else
            changes[position->second] = std::move(change);
    }
}

TargetRegistry::TargetRegistry(std::chrono::milliseconds recoveryGrace)
    : m_recoveryGrace(recoveryGrace)
{
}

std::vector<RegistryChange> TargetRegistry::put(const RegisteredTarget &target)
{
    const auto [it, isNew] = m_targets.try_emplace(target.id, target);
    if (!isNew && isOlder(target, it->second))
        return {};
    m_heldRemovals.erase(target.id);
    if (isNew)
        return {TargetListed{target}};
    const bool isUnchanged = hasSameContent(it->second, target);
    it->second = target;
    if (isUnchanged)
        return {};
    return {TargetListed{target}};
}

std::vector<RegistryChange> TargetRegistry::remove(const TargetId &id, Clock::time_point now)
{
    if (!m_targets.contains(id))
        return {};
    if (now < m_removalsHeldUntil) {
        m_heldRemovals.insert(id);
        return {};
    }
    m_targets.erase(id);
    return {TargetDelisted{id}};
}

std::vector<RegistryChange> TargetRegistry::replaceAll(const std::vector<RegisteredTarget> &targets,
                                                       Clock::time_point now)
{
    std::vector<RegistryChange> changes;
    std::set<TargetId> listed;
    for (const RegisteredTarget &target : targets) {
        listed.insert(target.id);
        for (RegistryChange &change : put(target))
            changes.push_back(std::move(change));
    }
    std::vector<TargetId> missing;
    for (const auto &[id, target] : m_targets)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const TargetId &id : missing)
        for (RegistryChange &change : remove(id, now))
            changes.push_back(std::move(change));
    return changes;
}

std::vector<RegistryChange> TargetRegistry::expire(Clock::time_point now)
{
    if (m_heldRemovals.empty() || now < m_removalsHeldUntil)
        return {};
    std::vector<RegistryChange> changes;
    for (const TargetId &id : std::exchange(m_heldRemovals, {})) {
        m_targets.erase(id);
        changes.emplace_back(TargetDelisted{id});
    }
    return changes;
}

std::optional<Clock::time_point> TargetRegistry::nextExpiry() const
{
    if (m_heldRemovals.empty())
        return std::nullopt;
    return m_removalsHeldUntil;
}

} // namespace mangoshift
