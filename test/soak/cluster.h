#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/address.h"
#include "soak/evidence.h"
#include "soak/plan.h"
#include "soak/shape.h"
#include "system/process.h"

namespace mangoshift::soak {

/// The processes of a run, on loopback addresses: a store, groups of targets, entry VMs, and relays
/// in front of each group and each VM that simulate network faults.
///
/// Performs the actions of a plan, and records the operator's part of the evidence: published
/// configurations, departures of targets and unexpected ends of processes. Not thread-safe. Throws
/// std::runtime_error if a stand-in cannot be started or does not carry out a command.
class Cluster
{
public:
    /// `network` is the second number of the loopback addresses. Logs and records go to `folder`.
    Cluster(const Shape &shape, int network, std::string folder);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /// Starts all processes, and returns when all VMs are ready.
    void start();
    /// Performs an action. The caller of this function records the disturbance.
    void perform(const Action &action);
    /// Records a VM that has ended unexpectedly, and restarts it; at most one VM per call.
    void restartEndedVms();
    /// Stops all VMs, waits for their ends, and records those that time out or exit with an error.
    void stopVms();

    Address callerAddress(int vm) const;
    Address readyAddress(int vm) const;
    /// Fills in the evidence of the operator, the processes and the targets.
    void collectEvidence(Evidence &evidence) const;
    /// Adds the processor time and the peak memory of the VMs that are running.
    void collectUsage(Evidence &evidence) const;
    /// The current factor on the callers' usual request rates.
    double loadFactor() const { return m_loadFactor; }

private:
    /// A target of a group. A target that replaces it takes over the address.
    struct GroupTarget
    {
        std::string id;
        std::string service;
        int index = 0; ///< Within the group; determines the address.
        int sequence = 0; ///< Of the last entry written to the store.
        bool isStopped = false;
    };
    struct TargetGroup
    {
        std::vector<GroupTarget> targets;
        std::vector<std::unique_ptr<testing::Process>> processes;
        std::unique_ptr<testing::Process> relay;
    };

    void apply(const SignalVm &action);
    void apply(const RestartVm &action);
    void apply(const SetVmLink &action);
    void apply(const SilenceVmConnections &action);
    void apply(const SetStoreMode &action);
    void apply(const SignalStore &action);
    void apply(const SignalTargets &action);
    void apply(const RestartTargets &action);
    void apply(const SetTargetLink &action);
    void apply(const SilenceTargetConnections &action);
    void apply(const SetTargetMode &action);
    void apply(const DrainTarget &action);
    void apply(const StopTarget &action);
    void apply(const ReplaceTarget &action);
    void apply(const PublishNextConfig &action);
    void apply(const ChangeSettings &action);
    void apply(const SetLoadFactor &action);

    /// Runs `command`, which needs the store. Defers it while the store is frozen.
    void runOrDefer(std::function<void()> command);
    void publishNextConfig();
    void startStore();
    void createTargets(int group);
    void startTargets(int group);
    void startTargetRelay(int group);
    void startVmRelay(int vm);
    void startVm(int vm);
    void writeSettings(int vm);
    /// Writes the target's entry with that state to the store.
    void registerTarget(int group, GroupTarget &target, const std::string &state, int warmupMs);
    /// Removes the target's entry from the store.
    void removeRegistration(const GroupTarget &target);
    std::string newTargetId(const std::string &service);
    /// Returns the configuration document of a version. The shards alternate between both sets,
    /// each set for `MovingServices` versions.
    nlohmann::json makeDocument(std::size_t version) const;
    bool isReady(int vm) const;
    /// Sends an HTTP request, and returns true if the response has status 200.
    static bool sendCommand(const Address &to, const std::string &method, const std::string &path,
                            const std::string &body);
    static void sendCommandOrThrow(const Address &to, const std::string &method,
                                   const std::string &path, const std::string &body);

    Address makeAddress(int subnet, int host, int port) const;
    Address storeControlAddress() const;
    Address targetControlAddress(int group, bool isPooled) const;
    Address targetAddress(int group, const GroupTarget &target, bool isBehindRelay) const;
    static bool isPooled(const GroupTarget &target);
    /// Returns the relay rules that put the links to `ip` into `state`.
    static nlohmann::json makeLinkRules(SetVmLink::State state, const std::string &ip);

    Shape m_shape;
    int m_network;
    std::string m_folder;
    std::unique_ptr<testing::Process> m_store;
    std::map<int, TargetGroup> m_groups;
    std::map<int, std::unique_ptr<testing::Process>> m_vms;
    std::map<int, std::unique_ptr<testing::Process>> m_vmRelays;
    std::map<int, bool> m_isStopExpected;
    /// When the last signal of the plan was sent to each VM.
    std::map<int, Clock::time_point> m_signalledAt;
    std::map<int, nlohmann::json> m_settings;
    std::size_t m_version = 0;
    int m_lastTargetId = 0;
    double m_loadFactor = 1.0;
    bool m_isStoreFrozen = false;
    /// Commands that wait until the store is no longer frozen.
    std::vector<std::function<void()>> m_deferredCommands;
    Evidence m_evidence;
};

} // namespace mangoshift::soak
