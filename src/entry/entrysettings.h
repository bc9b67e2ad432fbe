#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/address.h"
#include "base/log.h"
#include "config/fault.h"
#include "mangoshift/retryshare.h"

namespace mangoshift {

/// What an entry VM that follows a store is told at its start.
struct EntrySettings
{
    std::string vm;
    std::string failureDomain;
    std::string region;
    /// Where callers connect.
    Address callerAddress;
    /// Where the balancer asks whether this VM takes requests.
    Address readyAddress;
    /// Where health, metrics and the state dump are served.
    Address operatorAddress;
    Address storeAddress;
    /// Where other VMs ask for state (TCP) and send heartbeats (UDP); without it this VM knows of
    /// no others.
    std::optional<Address> peerAddress;
    /// Peer addresses of some VMs, which may be down or gone.
    std::vector<std::string> seeds;
    RetryBudgetTerms retryBudget;
    /// How many VMs share what all may use, at least: until this VM has heard of more, as it may be
    /// cut off from the others. The users' deployments have 7 today, and some may be added.
    std::size_t assumedVms = 12;
    /// The longest that a graceful stop may take.
    std::chrono::milliseconds stopTimeout{5000};
    std::size_t maxCallerConnections = 2000;
    /// How long before the latency target an answer leaves, for its way to the caller.
    std::chrono::milliseconds replyMargin{10};
    /// How long a watch of the store waits for a change.
    std::chrono::milliseconds watchWait{5000};
    LogLevel logLevel = LogLevel::Info;
};

/// Returns the names of the settings that differ and take force only at the next start.
std::vector<std::string> fieldsThatNeedRestart(const EntrySettings &inForce,
                                               const EntrySettings &wanted);

/// Reads settings from JSON text. Checks the form by `schemas/entry.schema.json`, then the meaning;
/// the error lists every fault of the first check that finds one.
tl::expected<EntrySettings, Faults> parseEntrySettings(const std::string &text);

} // namespace mangoshift
