#include "entry/storeview.h"

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/duty.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// How many targets the change log covers: three times those of the largest deployment that is
/// designed for.
constexpr std::size_t RememberedTargets = 8192;

milliseconds clampToZero(Clock::duration duration)
{
    return std::max(std::chrono::duration_cast<milliseconds>(duration), milliseconds(0));
}

} // namespace

StoreView::StoreView(milliseconds recoveryGrace, milliseconds minOutage)
    : m_registry(recoveryGrace)
    , m_changes(RememberedTargets)
    , m_minOutage(minOutage)
{
}

std::vector<RegistryChange> StoreView::put(const RegisteredTarget &target, std::uint64_t revision)
{
    // Recorded even if nothing changes for this VM: another VM may have received the removal of the
    // target.
    m_changes.onTargetChange(target.id, revision);
    return m_registry.put(target);
}

std::vector<RegistryChange> StoreView::remove(const TargetId &id, std::uint64_t revision,
                                              Clock::time_point now)
{
    m_changes.onTargetChange(id, revision);
    return m_registry.remove(id, now);
}

std::vector<RegistryChange> StoreView::replaceAll(const std::vector<RegisteredTarget> &targets,
                                                  std::uint64_t before, std::uint64_t revision,
                                                  Clock::time_point now)
{
    if (!std::exchange(m_hasState, true))
        m_changes.resetTo(revision);
    else
        m_changes.onGap(before, revision);
    // Other VMs have received the held removals, so they must also receive the return of those
    // targets.
    recordHeldRemovals(revision);
    auto changes = recordChanges(m_registry.replaceAll(targets, now), revision);
    recordHeldRemovals(revision);
    return changes;
}

std::vector<RegistryChange> StoreView::apply(const PeerState &state, std::uint64_t before,
                                             Clock::time_point now)
{
    onStoreContact(now - state.age);
    if (state.removalsHeldFor.count() > 0)
        m_registry.holdRemovals(now + state.removalsHeldFor);
    if (state.isComplete)
        return replaceAll(state.targets, before, state.revision, now);
    std::vector<RegistryChange> changes;
    const auto append = [&changes](std::vector<RegistryChange> further) {
        std::move(further.begin(), further.end(), std::back_inserter(changes));
    };
    for (const RegisteredTarget &target : state.targets)
        append(put(target, state.revision));
    for (const TargetId &id : state.removed)
        append(remove(id, state.revision, now));
    return changes;
}

std::vector<RegistryChange> StoreView::expire(std::uint64_t revision, Clock::time_point now)
{
    return recordChanges(m_registry.expire(now), revision);
}

std::vector<RegistryChange> StoreView::recordChanges(std::vector<RegistryChange> changes,
                                                     std::uint64_t revision)
{
    for (const RegistryChange &change : changes)
        std::visit(Overloaded{[&](const TargetListed &listed) {
                                  m_changes.onTargetChange(listed.target.id, revision);
                              },
                              [&](const TargetDelisted &delisted) {
                                  m_changes.onTargetChange(delisted.id, revision);
                              }},
                   change);
    return changes;
}

void StoreView::recordHeldRemovals(std::uint64_t revision)
{
    for (const auto &[id, target] : m_registry.targets())
        if (m_registry.isRemovalHeld(id))
            m_changes.onTargetChange(id, revision);
}

void StoreView::onStoreRecovered(Clock::time_point now)
{
    if (now - m_lastContact >= m_minOutage)
        m_registry.onStoreRecovered(now);
}

bool StoreView::adopt(const RoutingDocument &document, const std::string &bytes)
{
    if (m_routing && document.version <= m_routing->version())
        return false;
    m_routing = std::make_shared<const RoutingTable>(document);
    m_configurationBytes = bytes;
    return true;
}

PeerState StoreView::stateAfter(const KnownState &known, std::uint64_t revision,
                                Clock::time_point now) const
{
    PeerState state;
    if (!m_hasState)
        return state;
    state.revision = revision;
    state.age = clampToZero(now - m_lastContact);
    state.removalsHeldFor = clampToZero(m_registry.removalsHeldUntil() - now);
    state.evacuatedDomains = m_evacuations.domains();
    state.isComplete = !m_changes.covers(known.revision);
    if (configurationVersion() > known.configurationVersion)
        state.configuration = m_configurationBytes;
    const auto &targets = m_registry.targets();
    if (state.isComplete) {
        for (const auto &[id, target] : targets)
            if (!m_registry.isRemovalHeld(id))
                state.targets.push_back(target);
        return state;
    }
    for (const TargetId &id : m_changes.targetsChangedAfter(known.revision)) {
        const auto it = targets.find(id);
        if (it != targets.end() && !m_registry.isRemovalHeld(id))
            state.targets.push_back(it->second);
        else
            state.removed.push_back(id);
    }
    return state;
}

nlohmann::json StoreView::stateJson() const
{
    nlohmann::json state;
    state["config_version"] = configurationVersion();
    state["held_removals"] = m_registry.heldRemovals();
    state["evacuated_domains"] = m_evacuations.revisions();
    for (const auto &[id, target] : m_registry.targets())
        state["targets"][id] = {{"service", target.service},
                                {"address", target.address},
                                {"failure_domain", target.failureDomain},
                                {"draining", target.isDraining}};
    return state;
}

} // namespace mangoshift
