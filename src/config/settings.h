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

/// Mechanisms that can be switched off one by one, to see what each gains.
struct Mechanisms
{
    /// Homes hedge slow answers of targets.
    bool targetHedges = true;
    /// Homes take targets that are much slower than their peers out of use.
    bool targetEjection = true;
    /// Roots hedge shards whose homes are late or silent.
    bool homeHedges = true;

    bool operator==(const Mechanisms &) const = default;
};

/// A process's own settings, read once at its start.
struct Settings
{
    std::string vm;
    std::string failureDomain;
    std::string region;
    Address callerAddress;
    Address operatorAddress;
    /// For frames over TCP and heartbeats over UDP.
    Address peerAddress;
    /// Where it listens for those, if its peers reach it by another address; else `peerAddress`.
    Address peerListenAddress;
    Address platformAddress;
    std::size_t callerThreads = 128;
    /// The longest that a graceful stop may take before what is left is cut off.
    std::chrono::milliseconds stopTimeout{10000};
    /// Whether requests over the adaptive limits are refused: `admission`, true or false.
    bool isAdmissionEnabled = true;
    Mechanisms mechanisms;
    LogLevel logLevel = LogLevel::Info;
    /// Which VMs send to which targets: `placement`, one of `region`, `domain` and `local`. The
    /// same in all VMs.
    PlacementPolicy placement = RegionHomes{};
};

/// Reads settings from JSON text. Checks the form by `schemas/settings.schema.json`, then the
/// meaning; the error lists every fault of the first check that finds one.
tl::expected<Settings, Faults> parseSettings(const std::string &text);

/// Returns the names of the fields that differ and take force only at a process's start.
std::vector<std::string> fieldsThatNeedRestart(const Settings &inForce, const Settings &wanted);

} // namespace mangoshift
