#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "entry/statewire.h"
#include "mangoshift/changelog.h"
#include "mangoshift/evacuations.h"
#include "mangoshift/routing.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// A VM's view of the store: the configuration in force, the targets, the evacuated failure
/// domains, and the time of the last contact with the store. It also records at which revision each
/// of them changed, so that other VMs can be sent only the changes. The data may come from the
/// store or from another VM.
///
/// Each function that updates targets returns the changes for the users of the targets. Reads no
/// clock. Not thread safe.
class StoreView
{
public:
    /// `recoveryGrace` is how long removals are held back after an outage of the store. In an
    /// outage shorter than `minOutage` no entry of a live target expires.
    StoreView(std::chrono::milliseconds recoveryGrace, std::chrono::milliseconds minOutage);

    std::vector<RegistryChange> put(const RegisteredTarget &target, std::uint64_t revision);
    std::vector<RegistryChange> remove(const TargetId &id, std::uint64_t revision,
                                       Clock::time_point now);
    /// Replaces the list of targets, which was complete up to revision `before`, by that of
    /// `revision`. `hasState` returns true from the first call on.
    std::vector<RegistryChange> replaceAll(const std::vector<RegisteredTarget> &targets,
                                           std::uint64_t before, std::uint64_t revision,
                                           Clock::time_point now);
    /// Applies the targets that another VM has sent to a view that was complete up to revision
    /// `before`.
    std::vector<RegistryChange> apply(const PeerState &state, std::uint64_t before,
                                      Clock::time_point now);
    /// Carries out the held removals that are due.
    std::vector<RegistryChange> expire(std::uint64_t revision, Clock::time_point now);
    /// Returns when `expire` must be called next; no value if no removal is held.
    std::optional<Clock::time_point> nextExpiry() const { return m_registry.nextExpiry(); }

    /// Puts a configuration in force if its version is greater than that of the last. `bytes` is
    /// the form in which the store holds it. Returns whether the configuration was put in force.
    bool adopt(const RoutingDocument &document, const std::string &bytes);

    /// See `Evacuations`.
    std::vector<EvacuationChange> setEvacuation(const std::string &failureDomain, bool isEvacuated,
                                                std::uint64_t revision)
    {
        return m_evacuations.set(failureDomain, isEvacuated, revision);
    }
    std::vector<EvacuationChange> replaceEvacuations(const std::set<std::string> &failureDomains,
                                                     std::uint64_t revision)
    {
        return m_evacuations.replaceAll(failureDomains, revision);
    }
    const Evacuations &evacuations() const { return m_evacuations; }

    /// Records that this VM, or the VM that provided the state, had contact with the store at `at`.
    void onStoreContact(Clock::time_point at) { m_lastContact = std::max(m_lastContact, at); }
    /// Records that the store responds again after a failure; must be called before
    /// `onStoreContact`. Removals are held back only if the store may have been out for long
    /// enough since the last contact.
    void onStoreRecovered(Clock::time_point now);
    void holdRemovals(Clock::time_point until) { m_registry.holdRemovals(until); }

    bool hasState() const { return m_hasState; }
    Clock::time_point lastContact() const { return m_lastContact; }
    const RoutingTablePtr &routing() const { return m_routing; }
    const TargetRegistry &registry() const { return m_registry; }
    /// Returns the version of the configuration in force; zero if there is none.
    ConfigVersion configurationVersion() const { return m_routing ? m_routing->version() : 0; }
    /// Returns the state for a VM that knows `known`: the changes since, or the whole state if
    /// those are no longer known. `revision` is the revision of this view.
    PeerState stateAfter(const KnownState &known, std::uint64_t revision,
                         Clock::time_point now) const;
    /// Returns the JSON of this view for the state dump.
    nlohmann::json stateJson() const;

private:
    std::vector<RegistryChange> recordChanges(std::vector<RegistryChange> changes,
                                              std::uint64_t revision);
    void recordHeldRemovals(std::uint64_t revision);

    TargetRegistry m_registry;
    ChangeLog m_changes;
    Evacuations m_evacuations;
    RoutingTablePtr m_routing;
    std::string m_configurationBytes;
    std::chrono::milliseconds m_minOutage;
    Clock::time_point m_lastContact{};
    bool m_hasState = false;
};

} // namespace mangoshift
