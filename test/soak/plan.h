#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "soak/evidence.h"
#include "soak/shape.h"

namespace mangoshift::soak {

/// Sends a signal to a VM's process.
struct SignalVm
{
    int vm;
    int signal;
};
/// Ends a VM's process if it still runs, and starts the next.
struct RestartVm
{
    int vm;
};
/// Sets how the network passes what goes between a VM and the store, or callers and a VM.
struct SetVmLink
{
    enum class Side : std::uint8_t { Store, Callers };
    enum class State : std::uint8_t {
        Open,
        Blocked,
        BlockedToEndpoint,
        BlockedFromEndpoint,
        Cut,
        Slow
    };

    int vm;
    Side side;
    State state;
};
/// Connections that stand carry nothing any more, without a word; new ones work.
struct SilenceVmConnections
{
    int vm;
};
struct SetStoreMode
{
    std::string mode;
};
struct SignalStore
{
    int signal;
};
struct SignalTargets
{
    int group;
    int signal;
};
/// Starts a group of servers after a kill, under new identities; the old entries are gone.
struct RestartTargets
{
    int group;
};
struct SetTargetLink
{
    int group;
    SetVmLink::State state;
};
struct SilenceTargetConnections
{
    int group;
};
/// Changes how one server behaves; `target` counts within its group.
struct SetTargetMode
{
    int group;
    int target;
    std::string mode;
};
/// The server says that it leaves.
struct DrainTarget
{
    int group;
    int target;
};
/// The server that leaves ends, and its entry goes.
struct StopTarget
{
    int group;
    int target;
};
/// A server begins at the address of one that has ended; of another service if `isOtherService`.
struct ReplaceTarget
{
    int group;
    int target;
    bool isOtherService;
};
struct PublishNextConfig
{
};
struct ChangeSettings
{
    int vm;
    bool sendsSighup;
};
struct SetLoadFactor
{
    double factor;
};
using Action = std::variant<SignalVm, RestartVm, SetVmLink, SilenceVmConnections, SetStoreMode,
                            SignalStore, SignalTargets, RestartTargets, SetTargetLink,
                            SilenceTargetConnections, SetTargetMode, DrainTarget, StopTarget,
                            ReplaceTarget, PublishNextConfig, ChangeSettings, SetLoadFactor>;

/// One action at its time from the start of the load.
struct Step
{
    std::chrono::milliseconds at;
    Action action;
    /// The fault that the step belongs to.
    std::size_t fault;
};

/// A fault or a planned change: from its first step to its last, something is disturbed.
struct PlannedFault
{
    std::string description;
    std::vector<Disturbance> disturbances;
};

struct Plan
{
    std::vector<PlannedFault> faults;
    std::vector<Step> steps; ///< In the order of their times.
};

/// Returns what happens in a run: several faults at a time and in series, all following from the
/// seed. All of them are over by `length`. No faults are planned where `isFaultFree` is set.
Plan makePlan(std::uint64_t seed, const Shape &shape, std::chrono::milliseconds length,
              bool isFaultFree);

} // namespace mangoshift::soak
