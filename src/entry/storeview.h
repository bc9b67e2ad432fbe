#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "entry/statewire.h"
#include "mangoshift/changelog.h"
#include "mangoshift/routing.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// What a VM knows of the store, from whomever: the configuration in force, the targets, how old
/// that is, and what of it changed at which revision, to be told to other VMs.
///
/// Each function that takes in something about targets returns what has changed for those who use
/// them. Reads no clock. Not thread safe.
class StoreView
{
public:
    /// `returnGrace` is how long removals wait after an outage of the store.
    explicit StoreView(std::chrono::milliseconds returnGrace);

    std::vector<RegistryChange> put(const RegisteredTarget &target, std::uint64_t revision);
    std::vector<RegistryChange> remove(const TargetId &id, std::uint64_t revision,
                                       Clock::time_point now);
    /// Takes in the whole list. From the first one on the state counts as known.
    std::vector<RegistryChange> replaceAll(const std::vector<RegisteredTarget> &targets,
                                           std::uint64_t revision, Clock::time_point now);
    /// Carries out the removals whose time has come.
    std::vector<RegistryChange> expire(std::uint64_t revision, Clock::time_point now);
    /// Returns when `expire` has something to do, if ever.
    std::optional<Clock::time_point> nextExpiry() const { return m_registry.nextExpiry(); }

    /// Puts a configuration in force if its version is greater than the last. `bytes` is how the
    /// store holds it. Returns whether it did.
    bool adopt(const RoutingDocument &document, const std::string &bytes, std::uint64_t revision);

    /// Takes in when the store was heard, by this VM or by one that it asked.
    void onStoreContact(Clock::time_point at) { m_lastContact = std::max(m_lastContact, at); }
    void onStoreBack(Clock::time_point now) { m_registry.onStoreBack(now); }
    void holdRemovals(Clock::time_point until) { m_registry.holdRemovals(until); }

    bool hasState() const { return m_hasState; }
    Clock::time_point lastContact() const { return m_lastContact; }
    const RoutingTablePtr &routing() const { return m_routing; }
    /// Returns what a VM that knows the state up to `after` is told; `revision` is this VM's own.
    PeerState stateAfter(std::uint64_t after, std::uint64_t revision, Clock::time_point now) const;
    /// Returns this state's part of the dump.
    nlohmann::json stateJson() const;

private:
    std::vector<RegistryChange> recordChanges(std::vector<RegistryChange> changes,
                                              std::uint64_t revision);
    void recordHeldRemovals(std::uint64_t revision);

    TargetRegistry m_registry;
    ChangeLog m_changes;
    RoutingTablePtr m_routing;
    std::string m_configurationBytes;
    Clock::time_point m_lastContact{};
    bool m_hasState = false;
};

} // namespace mangoshift
