#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Identifies a target while it is registered.
using TargetId = std::string;

/// A target's registry entry.
struct RegisteredTarget
{
    TargetId id;
    std::string service;
    /// The IP address and the port.
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// The remaining warm-up time of the target when the entry was written.
    std::chrono::milliseconds warmupLeft{0};
    /// The start of the target's incarnation, in milliseconds of Unix time; zero if not stated.
    std::uint64_t startedAt = 0;
    /// Grows with each report of an incarnation.
    std::uint64_t sequence = 0;

    bool operator==(const RegisteredTarget &) const = default;
};

/// A target is new, or its entry has changed.
struct TargetListed
{
    RegisteredTarget target;
};
/// A target must get no further requests.
struct TargetDelisted
{
    TargetId id;
};
using RegistryChange = std::variant<TargetListed, TargetDelisted>;

/// Appends `later` to `changes`. A later change of a target replaces the earlier one, so that there
/// is one change for each target.
void mergeChanges(std::vector<RegistryChange> &changes, std::vector<RegistryChange> later);

/// Maintains the set of targets from their registry entries.
///
/// Reports of a target may arrive out of order: a report from an earlier incarnation, or one with a
/// lower sequence number, is ignored. After an outage of the registry's store, removals are held
/// back for a grace period, because live targets then write entries again that expired during the
/// outage. Reads no clock. Not thread safe.
class TargetRegistry
{
public:
    /// `recoveryGrace` is how long removals are held back after an outage of the store.
    explicit TargetRegistry(std::chrono::milliseconds recoveryGrace);

    /// Adds or updates a target's entry.
    std::vector<RegistryChange> put(const RegisteredTarget &target);
    /// Removes an entry that has been deleted or can no longer be read.
    std::vector<RegistryChange> remove(const TargetId &id, Clock::time_point now);
    /// Replaces all entries: adds or updates those in `targets` and removes all others.
    std::vector<RegistryChange> replaceAll(const std::vector<RegisteredTarget> &targets,
                                           Clock::time_point now);
    /// Starts the grace period for removals, because the store is available again after an outage.
    void onStoreRecovered(Clock::time_point now) { holdRemovals(now + m_recoveryGrace); }
    /// Holds removals back until `until`, or longer if they are already held back for longer.
    void holdRemovals(Clock::time_point until)
    {
        m_removalsHeldUntil = std::max(m_removalsHeldUntil, until);
    }
    /// Returns until when removals are held back; a time in the past if they are not.
    Clock::time_point removalsHeldUntil() const { return m_removalsHeldUntil; }
    /// Returns whether the removal of the entry is held back.
    bool isRemovalHeld(const TargetId &id) const { return m_heldRemovals.contains(id); }
    /// Performs the removals that were held back, if the grace period has ended.
    std::vector<RegistryChange> expire(Clock::time_point now);

    /// Returns when `expire` must be called next; no value if no removal is held back.
    std::optional<Clock::time_point> nextExpiry() const;
    const std::map<TargetId, RegisteredTarget> &targets() const { return m_targets; }
    /// Returns the number of removals that are held back.
    std::size_t heldRemovals() const { return m_heldRemovals.size(); }

private:
    std::chrono::milliseconds m_recoveryGrace;
    std::map<TargetId, RegisteredTarget> m_targets;
    std::set<TargetId> m_heldRemovals;
    Clock::time_point m_removalsHeldUntil{};
};

} // namespace mangoshift
