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
#include "mangoshift/targetpolicies.h"

namespace mangoshift {

/// How far the rate of requests to a cold target may exceed the rate that its service states, over
/// all VMs and in any second.
struct WarmupBound
{
    /// The stated rate is multiplied by this.
    double overshoot = 1.0;
    /// Requests a second beyond that.
    double slack = 0.0;

    bool operator==(const WarmupBound &) const = default;
};

/// The settings of an entry VM that follows a store, read at its start.
struct EntrySettings
{
    std::string vm;
    std::string failureDomain;
    std::string region;
    /// All failure domains with entry VMs. They share the limits of targets evenly.
    std::vector<std::string> failureDomains;
    /// The address on which callers are accepted.
    Address callerAddress;
    /// The address on which the balancer checks whether this VM is ready.
    Address readyAddress;
    /// The address on which health, metrics and the state dump are served.
    Address operatorAddress;
    Address storeAddress;
    /// The address on which other VMs request state (TCP) and send heartbeats (UDP). Without it
    /// this VM does not communicate with other VMs.
    std::optional<Address> peerAddress;
    /// Peer addresses of some VMs, used to find the others. Some of them may be down or removed.
    std::vector<std::string> seeds;
    RetryBudgetTerms retryBudget;
    /// The least number of VMs by which shared limits are divided. It applies until this VM knows
    /// of more, since it may be cut off from the others. The users' deployments have 7 VMs, and
    /// some may be added.
    std::size_t assumedVms = 12;
    /// The longest time that a graceful stop may take.
    std::chrono::milliseconds stopTimeout{5000};
    std::size_t maxCallerConnections = 2000;
    /// The most time that is kept of a route's latency target for ending an answer inside this VM;
    /// see `ReplyLead`, which measures what is needed.
    std::chrono::milliseconds replyMargin{30};
    /// How long a watch request to the store waits for a change. A lost response is noticed 0.7 s
    /// later, which must leave enough of the 3 s in which a configuration has to be in force to
    /// read the store again.
    std::chrono::milliseconds watchWait{2000};
    /// How often a target writes its entry. It expires after three intervals of silence.
    std::chrono::milliseconds targetReportInterval{1200};
    TargetPolicies targetPolicies;
    WarmupBound warmupBound;
    LogLevel logLevel = LogLevel::Info;
    LogLimits logLimits;
};

/// Returns the names of the settings that differ and that take effect only after a restart.
std::vector<std::string> fieldsThatNeedRestart(const EntrySettings &inForce,
                                               const EntrySettings &wanted);

/// Parses settings from JSON text. Checks them against `schemas/entry.schema.json` first and their
/// meaning second; the error lists every fault of the first of these checks that fails.
tl::expected<EntrySettings, Faults> parseEntrySettings(const std::string &text);

} // namespace mangoshift
