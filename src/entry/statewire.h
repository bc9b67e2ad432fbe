#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "duties/messages.h"
#include "mangoshift/targetregistry.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// What one VM tells another of the state of the store.
struct PeerState
{
    /// Zero where the VM that was asked knows nothing yet.
    std::uint64_t revision = 0;
    /// Whether `targets` are all that there are; else those that have changed.
    bool isComplete = false;
    /// How long ago the store was last heard.
    std::chrono::milliseconds age{0};
    /// For how much longer removals wait, after an outage of the store.
    std::chrono::milliseconds removalsHeldFor{0};
    std::vector<RegisteredTarget> targets;
    std::vector<TargetId> removed;
    /// The bytes of the operator's configuration; empty where it has not changed.
    std::string configuration;
};

wire::StateReplyT toWire(const PeerState &state, std::uint64_t sequence);
using WireBudgetCounts = std::vector<std::unique_ptr<wire::BudgetCountT>>;
WireBudgetCounts toWire(const BudgetCounts &counts);
BudgetCounts fromWire(const WireBudgetCounts &counts);

/// Targets without an id are left out.
PeerState fromWire(wire::StateReplyT &reply);

} // namespace mangoshift
