#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>

#include "http/targetchannels.h"
#include "mangoshift/routing.h"
#include "mangoshift/targetload.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// One target with the connections to it and what they show of it.
struct TargetHandle
{
    RegisteredTarget info;
    TargetLoad load;
    TargetChannels channels;
    /// When this VM heard that the target is leaving.
    Clock::time_point drainingSince{};
    /// Another target has said that it has this one's address, so this one is not there any more.
    bool isMisdirected = false;

    TargetHandle(asio::io_context &io, RegisteredTarget target,
                 const asio::ip::tcp::endpoint &endpoint, const TargetHeaderNames &names,
                 ChannelOptions options, ChannelCounts &counts)
        : info(std::move(target))
        , load(info.slots)
        , channels(io, endpoint, info.id, names, options, counts)
    {
    }
};
using TargetHandlePtr = std::shared_ptr<TargetHandle>;

/// A request to any target of a service.
struct ServiceCall
{
    std::string service;
    ForwardedRequestPtr request;
    /// Targets that are not to be picked.
    std::vector<TargetHandlePtr> triedTargets;
    /// Until when an answer is worth most: calls wait in the order of this instant, and those for
    /// which it has passed come last.
    Clock::time_point usefulUntil;
    /// Whether the call may wait for a target with room.
    bool canWait = true;
    /// What the target's answer usually takes; zero where that is not known.
    Clock::duration expectedLatency{};
    std::function<void(const TargetHandlePtr &, CallNumber)> onSent;
    std::function<void(const TargetHandlePtr &, TargetReply)> onEnded;
};

/// What has become of a new call.
enum class CallState : std::uint8_t {
    Sent,
    Waiting, ///< All targets are busy; the call is sent when one has room.
    NoTarget, ///< The service has no target that may be picked.
    NoFreeSlot, ///< All targets are busy, and the call may not wait.
};

/// The targets of each service, as this VM may use them. Belongs to one thread.
class TargetDirectory
{
public:
    /// `fleetSize` is how many VMs share a target's connections.
    TargetDirectory(asio::io_context &io, const TargetHeaderNames &names, std::size_t fleetSize);

    void apply(const std::vector<RegistryChange> &changes, Clock::time_point now);
    /// Takes in the connection limits of a new configuration.
    void setRouting(RoutingTablePtr routing);
    /// Takes in among how many VMs the connections of a target are shared.
    void setFleetSize(std::size_t vms);

    /// Sends a request to a target that has room, one that costs little more often than others. A
    /// target that is leaving is picked only where the service has no other and it has been leaving
    /// for a moment only. `onSent` is called once a target has been picked, and `onEnded` once with
    /// its reply, never from within `call`.
    CallState call(ServiceCall call, Clock::time_point now);
    /// Takes in that the answer to a call is overdue.
    void onOverdue(const TargetHandlePtr &target, Clock::time_point now);
    /// Returns how long a further call to a service would wait for room, if each call takes
    /// `callLatency`; zero where none waits. Calls that are late already do not count, as they go
    /// last.
    Clock::duration expectedWait(const std::string &service, Clock::duration callLatency,
                                 Clock::time_point now) const;
    /// Drops a call that waits; to be named by the request and service that it was made with.
    void dropWaiting(const std::string &service, const ForwardedRequestPtr &request);
    /// Closes overdue connections and forgets targets that are gone and have no call any more.
    void sweep(Clock::time_point now);

    /// Returns how many of the services have a target that is not silent.
    std::size_t countReachableServices(const std::vector<std::string> &services) const;
    std::size_t targetCount() const { return m_byId.size(); }
    std::size_t openConnections() const;
    const ChannelCounts &counts() const { return m_counts; }
    const std::unordered_map<TargetId, TargetHandlePtr> &targets() const { return m_byId; }

private:
    void list(const RegisteredTarget &target, Clock::time_point now);
    void delist(const TargetId &id);
    void updateConnectionLimits();
    std::size_t connectionLimit(const RegisteredTarget &target) const;
    std::vector<TargetHandlePtr> candidates(const ServiceCall &call, Clock::time_point now) const;
    TargetHandlePtr pick(const std::vector<TargetHandlePtr> &handles, Clock::time_point now);
    bool send(const TargetHandlePtr &target, ServiceCall &call);
    void onCallEnded(const TargetHandlePtr &target, Clock::duration expected,
                     const TargetReply &reply);
    /// Takes in how a call ended.
    static void recordOutcome(TargetHandle &target, Clock::duration expected,
                              const TargetReply &reply, Clock::time_point now);
    static void onMisdirected(TargetHandle &target, Clock::time_point now);
    void sendWaiting(const std::string &service, Clock::time_point now);

    asio::io_context &m_io;
    const TargetHeaderNames &m_names;
    std::size_t m_fleetSize;
    RoutingTablePtr m_routing;
    ChannelCounts m_counts;
    std::unordered_map<TargetId, TargetHandlePtr> m_byId;
    std::unordered_map<std::string, std::vector<TargetHandlePtr>> m_byService;
    /// Calls that wait for room, by service.
    std::unordered_map<std::string, std::vector<ServiceCall>> m_waiting;
    /// Gone from the registry, with calls that are still under way.
    std::vector<TargetHandlePtr> m_retired;
    std::minstd_rand m_random;
};

} // namespace mangoshift
