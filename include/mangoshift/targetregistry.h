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

/// Names one target for as long as it is registered.
using TargetId = std::string;

/// What a target has registered of itself.
struct RegisteredTarget
{
    TargetId id;
    std::string service;
    /// An IP number and a port.
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// How much longer the target is slow after its start, when the entry was written.
    std::chrono::milliseconds warmupLeft{0};
    /// The start of the target's present life, in milliseconds of Unix time; zero if not stated.
    std::uint64_t startedAt = 0;
    /// Grows with each report within one life.
    std::uint64_t sequence = 0;

    bool operator==(const RegisteredTarget &) const = default;
};

/// A target is new, or what it says of itself has changed.
struct TargetListed
{
    RegisteredTarget target;
};
/// A target is to get no further request.
struct TargetDelisted
{
    TargetId id;
};
using RegistryChange = std::variant<TargetListed, TargetDelisted>;

/// Decides from registry entries which targets there are.
///
/// Reports of one target may be seen out of order: one from an earlier life, or with a lower
/// sequence number, changes nothing. While the registry's store has just come back from an outage,
/// removals wait: entries that lapsed meanwhile are written again by targets that live. Reads no
/// clock. Not thread safe.
class TargetRegistry
{
public:
    /// `recoveryGrace` is how long after an outage removals wait.
    explicit TargetRegistry(std::chrono::milliseconds recoveryGrace);

    /// Takes in a target's entry.
    std::vector<RegistryChange> put(const RegisteredTarget &target);
    /// Takes in that an entry is gone, or can no longer be read.
    std::vector<RegistryChange> remove(const TargetId &id, Clock::time_point now);
    /// Takes in the whole list: what is registered and not on it is removed.
    std::vector<RegistryChange> replaceAll(const std::vector<RegisteredTarget> &targets,
                                           Clock::time_point now);
    /// Takes in that the store answers again after an outage.
    void onStoreRecovered(Clock::time_point now) { holdRemovals(now + m_returnGrace); }
    /// Lets removals wait until then, if they do not wait for longer.
    void holdRemovals(Clock::time_point until) { m_heldUntil = std::max(m_heldUntil, until); }
    /// Returns until when removals wait; an instant that has passed where they do not.
    Clock::time_point removalsHeldUntil() const { return m_heldUntil; }
    /// Returns whether an entry is gone whose removal waits.
    bool isRemovalHeld(const TargetId &id) const { return m_held.contains(id); }
    /// Carries out the removals whose time has come.
    std::vector<RegistryChange> expire(Clock::time_point now);

    /// Returns when `expire` has something to do, if ever.
    std::optional<Clock::time_point> nextExpiry() const;
    const std::map<TargetId, RegisteredTarget> &targets() const { return m_targets; }
    /// Returns how many entries are gone whose removal waits.
    std::size_t heldRemovals() const { return m_held.size(); }

private:
    std::chrono::milliseconds m_returnGrace;
    std::map<TargetId, RegisteredTarget> m_targets;
    std::set<TargetId> m_held;
    Clock::time_point m_heldUntil{};
};

} // namespace mangoshift
