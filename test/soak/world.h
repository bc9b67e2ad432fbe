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
class World
{
public:
    /// `network` is the second number of the addresses; logs and records go to `folder`.
    World(const Shape &shape, int network, std::string folder);
    ~World();
    World(const World &) = delete;
    World &operator=(const World &) = delete;

    /// Starts everything and returns once all VMs are ready.
    void start();
    /// Performs an action; what it disturbs is noted by the caller.
    void perform(const Action &action);
    /// Notes VMs that have ended by themselves, and starts them again.
    void watchProcesses();
    /// Tells all VMs to stop, waits for their ends and notes those that fail at it.
    void stopVms();

    Address callerAddress(int vm) const;
    Address readyAddress(int vm) const;
    /// Fills in what the operator, the processes and the servers know.
    void collect(Evidence &evidence) const;
    /// Adds the processor time and peak memory of the VMs that run now.
    void collectUsage(Evidence &evidence) const;
    /// The pressure that callers put on the system, as a multiple of the usual.
    double pressure() const { return m_pressure; }

private:
    struct ServerSlot
    {
        std::string id;
        std::string service;
        int index = 0; ///< Within its group; part of the address.
        int sequence = 0;
        bool isGone = false;
    };
    struct ServerGroup
    {
        std::vector<ServerSlot> slots;
        std::vector<std::unique_ptr<testing::Process>> processes;
        std::unique_ptr<testing::Process> relay;
    };

    void act(const SignalVm &action);
    void act(const RestartVm &action);
    void act(const SetVmLink &action);
    void act(const SilenceVmLinks &action);
    void act(const SetStore &action);
    void act(const SignalStore &action);
    void act(const SignalServers &action);
    void act(const RestartServers &action);
    void act(const SetServerLink &action);
    void act(const SilenceServerLinks &action);
    void act(const SetServerMode &action);
    void act(const DrainServer &action);
    void act(const EndServer &action);
    void act(const ReplaceServer &action);
    void act(const PublishNext &action);
    void act(const ChangeSettings &action);
    void act(const SetPressure &action);

    /// Gives an order that needs the store at once, or when it is no longer frozen.
    void whenStoreAnswers(std::function<void()> order);
    void publishNext();
    void startStore();
    void makeSlots(int group);
    void startServers(int group);
    void startServerRelay(int group);
    void startVmRelay(int vm);
    void startVm(int vm);
    void writeSettings(int vm);
    void announce(int group, ServerSlot &slot, const std::string &state, int warmupMs);
    void withdraw(const ServerSlot &slot);
    std::string newServerId(const std::string &service);
    nlohmann::json documentOf(std::size_t version) const;
    bool isReady(int vm) const;
    /// Sends an order to a stand-in and returns whether it was obeyed.
    static bool order(const Address &to, const std::string &method, const std::string &path,
                      const std::string &body);
    static void mustObey(const Address &to, const std::string &method, const std::string &path,
                         const std::string &body);

    Address at(int third, int last, int port) const;
    Address storeOrders() const;
    Address serverOrders(int group, bool isPooled) const;
    Address serverAddress(int group, const ServerSlot &slot, bool isBehindRelay) const;
    static bool isPooled(const ServerSlot &slot);
    static nlohmann::json linkRules(SetVmLink::State state, const std::string &ip);

    Shape m_shape;
    int m_network;
    std::string m_folder;
    std::unique_ptr<testing::Process> m_store;
    std::map<int, ServerGroup> m_groups;
    std::map<int, std::unique_ptr<testing::Process>> m_vms;
    std::map<int, std::unique_ptr<testing::Process>> m_vmRelays;
    std::map<int, bool> m_isToldToStop;
    std::map<int, nlohmann::json> m_settings;
    std::size_t m_version = 0;
    int m_lastServer = 0;
    double m_pressure = 1.0;
    bool m_isStoreFrozen = false;
    /// Orders that wait for the store to answer again.
    std::vector<std::function<void()>> m_deferred;
    Evidence m_known;
};

} // namespace mangoshift::soak
