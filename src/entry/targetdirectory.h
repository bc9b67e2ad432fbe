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

    TargetHandle(asio::io_context &io, RegisteredTarget target,
                 const asio::ip::tcp::endpoint &endpoint, const TargetHeaderNames &names,
                 ChannelOptions options, ChannelCounts &counts)
        : info(std::move(target))
        , channels(io, endpoint, info.id, names, options, counts)
    {
    }
};
using TargetHandlePtr = std::shared_ptr<TargetHandle>;

/// The targets of each service, as this VM may use them. Belongs to one thread.
class TargetDirectory
{
public:
    /// `vmsAtMost` is how many VMs share a target's connections.
    TargetDirectory(asio::io_context &io, const TargetHeaderNames &names, std::size_t vmsAtMost);

    void apply(const std::vector<RegistryChange> &changes, Clock::time_point now);
    /// Takes in the connection limits of a new configuration.
    void setRouting(RoutingTablePtr routing);

    /// Picks a target of a service that is not among `tried`. A target that is leaving is picked
    /// only where the service has no other and it has been leaving for a moment only. Returns a
    /// null pointer where there is none.
    TargetHandlePtr pick(const std::string &service, const std::vector<TargetHandlePtr> &tried,
                         Clock::time_point now);
    /// Closes overdue connections and forgets targets that are gone and have no call any more.
    void sweep(Clock::time_point now);

    std::size_t targets() const { return m_byId.size(); }
    std::size_t openConnections() const;
    const ChannelCounts &counts() const { return m_counts; }
    const std::unordered_map<TargetId, TargetHandlePtr> &all() const { return m_byId; }

private:
    void list(const RegisteredTarget &target, Clock::time_point now);
    void delist(const TargetId &id);
    std::size_t connectionLimit(const RegisteredTarget &target) const;

    asio::io_context &m_io;
    const TargetHeaderNames &m_names;
    std::size_t m_vmsAtMost;
    RoutingTablePtr m_routing;
    ChannelCounts m_counts;
    std::unordered_map<TargetId, TargetHandlePtr> m_byId;
    std::unordered_map<std::string, std::vector<TargetHandlePtr>> m_byService;
    /// Gone from the registry, with calls that are still under way.
    std::vector<TargetHandlePtr> m_leaving;
    std::minstd_rand m_random;
};

} // namespace mangoshift
