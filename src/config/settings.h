#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "base/address.h"
#include "base/log.h"
#include "config/fault.h"
#include "mangoshift/placement.h"

namespace mangoshift {

/// Mechanisms that can be disabled one by one, to measure the effect of each.
struct Mechanisms
{
    /// Home VMs send hedge requests when targets respond slowly.
    bool targetHedges = true;
    /// Home VMs eject targets that are much slower than the other targets.
    bool targetEjection = true;
    /// VMs that run a query send hedge requests for shards whose home VMs are late or silent.
    bool homeHedges = true;

    bool operator==(const Mechanisms &) const = default;
};

/// The settings of one process, read at its start.
struct Settings
{
    std::string vm;
    std::string failureDomain;
    std::string region;
    Address callerAddress;
    Address operatorAddress;
    /// Where peers reach this VM, with frames over TCP and heartbeats over UDP.
    Address peerAddress;
    /// The local address on which frames and heartbeats are received. Equals `peerAddress` unless
    /// it is set.
    Address peerListenAddress;
    Address platformAddress;
    std::size_t callerThreads = 128;
    /// The maximum duration of a graceful stop; requests still running after it are aborted.
    std::chrono::milliseconds stopTimeout{10000};
    /// Whether requests that exceed the adaptive admission limits are refused (`admission`).
    bool isAdmissionEnabled = true;
    Mechanisms mechanisms;
    LogLevel logLevel = LogLevel::Info;
    LogLimits logLimits;
    /// Which VMs send requests to which targets (`placement`: `region`, `domain` or `local`). Must
    /// be the same on all VMs.
    PlacementPolicy placement = RegionHomes{};
};

/// Parses settings from JSON text. Checks their structure against `schemas/settings.schema.json`,
/// then their semantics. The error lists all faults of the first check that fails.
tl::expected<Settings, Faults> parseSettings(const std::string &text);

/// Returns the names of the changed fields that take effect only after a restart.
std::vector<std::string> fieldsThatNeedRestart(const Settings &inForce, const Settings &wanted);

} // namespace mangoshift
