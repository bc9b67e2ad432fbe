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

/// The real processes of a run on loopback addresses of their own: a store, groups of servers,
/// entry VMs, and a relay before each group and each VM that plays the network.
///
/// Performs the actions of a plan on them and keeps what the operator knows: what was published,
/// which servers left, what was disturbed from when to when. Belongs to one thread. Throws where a
/// stand-in cannot be started or does not obey.
class Cluster
{
public:
    /// `network` is the second number of the addresses; logs and records go to `folder`.
    Cluster(const Shape &shape, int network, std::string folder);
    ~Cluster();
    Cluster(const Cluster &) = delete;
    Cluster &operator=(const Cluster &) = delete;

    /// Starts everything and returns once all VMs are ready.
    void start();
    /// Performs an action; what it disturbs is noted by the caller.
    void perform(const Action &action);
    /// Notes VMs that have ended by themselves, and starts them again.
    void restartEndedVms();
    /// Tells all VMs to stop, waits for their ends and notes those that fail at it.
    void stopVms();

    Address callerAddress(int vm) const;
    Address readyAddress(int vm) const;
    /// Fills in what the operator, the processes and the servers know.
    void collectEvidence(Evidence &evidence) const;
    /// Adds the processor time and peak memory of the VMs that run now.
    void collectUsage(Evidence &evidence) const;
    /// The pressure that callers put on the system, as a multiple of the usual.
    double loadFactor() const { return m_loadFactor; }

private:
    struct TargetSlot
    {
        std::string id;
        std::string service;
        int index = 0; ///< Within its group; part of the address.
        int sequence = 0;
        bool isStopped = false;
    };
    struct TargetGroup
    {
        std::vector<TargetSlot> slots;
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

    /// Gives an order that needs the store at once, or when it is no longer frozen.
    void runOnceStoreResponds(std::function<void()> command);
    void publishNextConfig();
    void startStore();
    void createSlots(int group);
    void startTargets(int group);
    void startTargetRelay(int group);
    void startVmRelay(int vm);
    void startVm(int vm);
    void writeSettings(int vm);
    void registerTarget(int group, TargetSlot &slot, const std::string &state, int warmupMs);
    void removeRegistration(const TargetSlot &slot);
    std::string newTargetId(const std::string &service);
    nlohmann::json makeDocument(std::size_t version) const;
    bool isReady(int vm) const;
    /// Sends an order to a stand-in and returns whether it was obeyed.
    static bool sendCommand(const Address &to, const std::string &method, const std::string &path,
                            const std::string &body);
    static void sendCommandOrThrow(const Address &to, const std::string &method,
                                   const std::string &path, const std::string &body);

    Address makeAddress(int third, int last, int port) const;
    Address storeControlAddress() const;
    Address targetControlAddress(int group, bool isPooled) const;
    Address targetAddress(int group, const TargetSlot &slot, bool isBehindRelay) const;
    static bool isPooled(const TargetSlot &slot);
    static nlohmann::json linkRules(SetVmLink::State state, const std::string &ip);

    Shape m_shape;
    int m_network;
    std::string m_folder;
    std::unique_ptr<testing::Process> m_store;
    std::map<int, TargetGroup> m_groups;
    std::map<int, std::unique_ptr<testing::Process>> m_vms;
    std::map<int, std::unique_ptr<testing::Process>> m_vmRelays;
    std::map<int, bool> m_isStopExpected;
    std::map<int, nlohmann::json> m_settings;
    std::size_t m_version = 0;
    int m_lastTargetId = 0;
    double m_loadFactor = 1.0;
    bool m_isStoreFrozen = false;
    /// Orders that wait for the store to answer again.
    std::vector<std::function<void()>> m_deferredCommands;
    Evidence m_evidence;
};

} // namespace mangoshift::soak
