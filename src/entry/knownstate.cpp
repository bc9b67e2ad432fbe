#include "entry/knownstate.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/duty.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// Targets that are remembered with their revisions: three times those of the size to design for.
constexpr std::size_t RememberedTargets = 8192;

milliseconds notNegative(Clock::duration duration)
{
    return std::max(std::chrono::duration_cast<milliseconds>(duration), milliseconds(0));
}

} // namespace

KnownState::KnownState(milliseconds recoveryGrace)
    : m_registry(recoveryGrace)
    , m_changes(RememberedTargets)
{
}

std::vector<RegistryChange> KnownState::put(const RegisteredTarget &target, std::uint64_t revision)
{
    // Also where nothing changes for this VM: another may have been told that the target is gone.
    m_changes.onTargetChange(target.id, revision);
    return m_registry.put(target);
}

std::vector<RegistryChange> KnownState::remove(const TargetId &id, std::uint64_t revision,
                                               Clock::time_point now)
{
    m_changes.onTargetChange(id, revision);
    return m_registry.remove(id, now);
}

std::vector<RegistryChange> KnownState::replaceAll(const std::vector<RegisteredTarget> &targets,
                                                   std::uint64_t revision, Clock::time_point now)
{
    if (!std::exchange(m_isKnown, true))
        m_changes.resetTo(revision);
    // Others were told of a removal that waits: they have to hear of the target's return, too.
    noteHeld(revision);
    auto changes = noted(m_registry.replaceAll(targets, now), revision);
    noteHeld(revision);
    return changes;
}

std::vector<RegistryChange> KnownState::expire(std::uint64_t revision, Clock::time_point now)
{
    return noted(m_registry.expire(now), revision);
}

std::vector<RegistryChange> KnownState::noted(std::vector<RegistryChange> changes,
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

void KnownState::noteHeld(std::uint64_t revision)
{
    for (const auto &[id, target] : m_registry.targets())
        if (m_registry.isRemovalHeld(id))
            m_changes.onTargetChange(id, revision);
}

bool KnownState::adopt(const RoutingDocument &document, const std::string &bytes,
                       std::uint64_t revision)
{
    if (m_routing && document.version <= m_routing->version())
        return false;
    m_routing = std::make_shared<const RoutingTable>(document);
    m_configuration = bytes;
    m_changes.onConfigurationChange(revision);
    return true;
}

PeerState KnownState::stateAfter(std::uint64_t after, std::uint64_t revision,
                                 Clock::time_point now) const
{
    PeerState state;
    if (!m_isKnown)
        return state;
    state.revision = revision;
    state.age = notNegative(now - m_heardAt);
    state.removalsWait = notNegative(m_registry.removalsHeldUntil() - now);
    state.isWhole = !m_changes.covers(after);
    if (state.isWhole || m_changes.hasConfigurationChangedAfter(after))
        state.configuration = m_configuration;
    const auto &targets = m_registry.targets();
    if (state.isWhole) {
        for (const auto &[id, target] : targets)
            if (!m_registry.isRemovalHeld(id))
                state.targets.push_back(target);
        return state;
    }
    for (const TargetId &id : m_changes.targetsChangedAfter(after)) {
        const auto it = targets.find(id);
        if (it != targets.end() && !m_registry.isRemovalHeld(id))
            state.targets.push_back(it->second);
        else
            state.gone.push_back(id);
    }
    return state;
}

nlohmann::json KnownState::stateJson() const
{
    nlohmann::json state;
    state["config_version"] = m_routing ? m_routing->version() : 0;
    state["held_removals"] = m_registry.heldRemovals();
    for (const auto &[id, target] : m_registry.targets())
        state["targets"][id] = {{"service", target.service},
                                {"address", target.address},
                                {"failure_domain", target.failureDomain},
                                {"draining", target.isDraining}};
    return state;
}

} // namespace mangoshift
