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
    enum class State : std::uint8_t { Open, Blocked, BlockedToVm, BlockedFromVm, Cut, Slow };

    int vm;
    Side side;
    State state;
};
/// Connections that stand carry nothing any more, without a word; new ones work.
struct SilenceVmLinks
{
    int vm;
};
struct SetStore
{
    std::string mode;
};
struct SignalStore
{
    int signal;
};
struct SignalServers
{
    int group;
    int signal;
};
/// Starts a group of servers after a kill, under new identities; the old entries are gone.
struct RestartServers
{
    int group;
};
struct SetServerLink
{
    int group;
    SetVmLink::State state;
};
struct SilenceServerLinks
{
    int group;
};
/// Changes how one server behaves; `server` counts within its group.
struct SetServerMode
{
    int group;
    int server;
    std::string mode;
};
/// The server says that it leaves.
struct DrainServer
{
    int group;
    int server;
};
/// The server that leaves ends, and its entry goes.
struct EndServer
{
    int group;
    int server;
};
/// A server begins at the address of one that has ended; of another service if `isOther`.
struct ReplaceServer
{
    int group;
    int server;
    bool isOther;
};
struct PublishNext
{
};
struct ChangeSettings
{
    int vm;
    bool hasSignal;
};
struct SetPressure
{
    double factor;
};
using Action =
    std::variant<SignalVm, RestartVm, SetVmLink, SilenceVmLinks, SetStore, SignalStore,
                 SignalServers, RestartServers, SetServerLink, SilenceServerLinks, SetServerMode,
                 DrainServer, EndServer, ReplaceServer, PublishNext, ChangeSettings, SetPressure>;

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
    std::string what;
    std::vector<Disturbance> disturbs;
};

struct Plan
{
    std::vector<PlannedFault> faults;
    std::vector<Step> steps; ///< In the order of their times.
};

/// Returns what happens in a run: several faults at a time and in series, all following from the
/// seed. All of them are over by `length`. No faults are planned where `isCalm` is set.
Plan makePlan(std::uint64_t seed, const Shape &shape, std::chrono::milliseconds length,
              bool isCalm);

} // namespace mangoshift::soak
