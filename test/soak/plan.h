#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "soak/evidence.h"
#include "soak/shape.h"

namespace mangoshift::soak {

/// Sends a signal to the process of a VM.
struct SignalVm
{
    int vm;
    int signal;
};
/// Waits for the end of a VM's process and starts it again. Kills an old process that still runs
/// after the grace period, which is a violation.
struct RestartVm
{
    int vm;
};
/// Sets the state of the network between a VM and the store, or between callers and a VM.
struct SetVmLink
{
    enum class Side : std::uint8_t { Store, Callers };
    /// The endpoint is the one that accepts the connections: the store, the VM for its callers, or
    /// a target. `Cut` and `Slow` apply to the direction towards the endpoint.
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
/// Stops all data on the open connections of a VM without closing them; new connections work.
struct SilenceVmConnections
{
    int vm;
};
/// Sets the mode of the stand-in store: `down`, `silent`, `forget` or `ok`.
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
/// Starts a killed group of targets again under new ids, and removes the old entries.
struct RestartTargets
{
    int group;
};
/// Sets the state of the network between the VMs and a group of targets.
struct SetTargetLink
{
    int group;
    SetVmLink::State state;
};
/// Stops all data on the open connections of a group without closing them.
struct SilenceTargetConnections
{
    int group;
};
/// Sets the mode of one target; `target` is its index within the group.
struct SetTargetMode
{
    int group;
    int target;
    std::string mode;
};
/// Announces in the store that the target is draining.
struct DrainTarget
{
    int group;
    int target;
};
/// Stops a draining target, and removes its entry from the store.
struct StopTarget
{
    int group;
    int target;
};
/// Starts a target at the address of a stopped one, for another service if `isOtherService` is set.
struct ReplaceTarget
{
    int group;
    int target;
    bool isOtherService;
};
struct PublishNextConfig
{
};
/// Rewrites the settings file of a VM, and sends SIGHUP to its process if `sendsSighup` is set.
struct ChangeSettings
{
    int vm;
    bool sendsSighup;
};
/// Multiplies the callers' request rates.
struct SetLoadFactor
{
    double factor;
};
using Action = std::variant<SignalVm, RestartVm, SetVmLink, SilenceVmConnections, SetStoreMode,
                            SignalStore, SignalTargets, RestartTargets, SetTargetLink,
                            SilenceTargetConnections, SetTargetMode, DrainTarget, StopTarget,
                            ReplaceTarget, PublishNextConfig, ChangeSettings, SetLoadFactor>;

/// An action and its time, counted from the start of the plan.
struct Step
{
    std::chrono::milliseconds at;
    Action action;
    /// Index of the fault that the step belongs to.
    std::size_t fault;
};

/// A fault, or a regular stop or change, that is part of the plan. Its disturbances last from its
/// first step to its last.
struct PlannedFault
{
    std::string description;
    std::vector<Disturbance> disturbances;
};

struct Plan
{
    std::vector<PlannedFault> faults;
    std::vector<Step> steps; ///< Sorted by time.
};

/// Returns the faults and changes of a run, which depend only on the seed, the shape and `length`.
/// Several can be active at the same time. All of them are over by `length`. The plan is empty if
/// `isFaultFree` is set.
Plan makePlan(std::uint64_t seed, const Shape &shape, std::chrono::milliseconds length,
              bool isFaultFree);

} // namespace mangoshift::soak
