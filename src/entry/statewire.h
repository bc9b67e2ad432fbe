#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "duties/messages.h"
#include "mangoshift/targetregistry.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// What a VM already has of the state of the store. The configuration is known by its version, as a
/// VM puts one in force as soon as it has it, before the rest of a listing is complete.
struct KnownState
{
    std::uint64_t revision = 0;
    std::uint64_t configurationVersion = 0;
};

/// Returns whether `state` holds anything that a VM with `known` lacks.
inline bool hasMore(const KnownState &state, const KnownState &known)
{
    return state.revision > known.revision
        || state.configurationVersion > known.configurationVersion;
}

/// The state of the store as one VM sends it to another.
struct PeerState
{
    /// The sender's revision; zero if the sender has no state yet.
    std::uint64_t revision = 0;
    /// Whether `targets` lists all targets; otherwise it lists only those that have changed.
    bool isComplete = false;
    /// The time since the last contact with the store.
    std::chrono::milliseconds age{0};
    /// How much longer removals are held back after an outage of the store.
    std::chrono::milliseconds removalsHeldFor{0};
    std::vector<RegisteredTarget> targets;
    std::vector<TargetId> removed;
    /// The bytes of the operator's configuration; empty if it has not changed.
    std::string configuration;
    /// All evacuated failure domains; no value if the sender does not know of evacuations.
    std::optional<std::set<std::string>> evacuatedDomains;
};

wire::StateReplyT toWire(const PeerState &state, std::uint64_t sequence);
using WireBudgetCounts = std::vector<std::unique_ptr<wire::BudgetCountT>>;
WireBudgetCounts toWire(const BudgetCounts &counts);
BudgetCounts fromWire(const WireBudgetCounts &counts);

/// Drops targets without an id.
PeerState fromWire(wire::StateReplyT &reply);

} // namespace mangoshift
