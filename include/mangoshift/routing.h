#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mangoshift {

/// A service that gets a share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1.0;
};

/// Each request goes to one target of one service, picked by weight.
struct ForwardTo
{
    std::vector<WeightedService> services;
};

/// Each request goes to one target of every shard, and the records of the answers are merged.
struct FanOutTo
{
    /// The services that are the shards, each named once.
    std::vector<std::string> shards;
    /// How many of the greatest records an answer holds.
    std::size_t records = 0;
    /// The least share of the shards, 0 to 1, that a successful answer covers.
    double minCoverage = 1.0;

    /// Returns how many shards a successful answer covers at least, one or more.
    std::size_t minShards() const;
};

using Destination = std::variant<ForwardTo, FanOutTo>;

/// What is done with the requests whose host and path it matches.
struct Route
{
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Whether a request may run more than once.
    bool isIdempotent = false;
    /// The longest time that a caller is kept waiting.
    std::chrono::milliseconds timeout{0};
    /// The time within which an answer is worth most.
    std::chrono::milliseconds latencyTarget{0};
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// The greatest number of targets that may run one request, of each shard in a fan-out.
    std::uint32_t maxAttempts = 1;
    Destination destination;
};

/// What callers may send, and how slowly.
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 256U << 10U;
    /// From a connection's first byte of a request to the end of its headers.
    std::chrono::milliseconds headerTimeout{3000};
    /// How long a connection without a request is kept.
    std::chrono::milliseconds idleTimeout{15000};
};

/// What the document says of a service, besides the routes to it.
struct RoutedService
{
    /// The greatest number of connections that one target takes from all VMs together.
    std::size_t maxConnections = 1;
};

/// One version of the routes, services and limits; immutable once it is in force.
struct RoutingDocument
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, RoutedService> services;
    CallerLimits limits;
};

/// Finds the route of a request in one version of the document.
///
/// Immutable, so that one version can be shared and kept by requests that began under it.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingDocument document);

    /// Returns the route with the longest prefix among those of the host, or a null pointer where
    /// none matches. `host` may have capitals and a port; a query in `path` is left out of account.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Returns what the document says of the service, or the defaults where it is silent.
    RoutedService serviceOf(const std::string &name) const;

    const RoutingDocument &document() const { return m_document; }
    std::uint64_t version() const { return m_document.version; }

private:
    RoutingDocument m_document;
    /// By host; the longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Spreads the requests of a split route over its services in proportion to their weights.
///
/// Smooth weighted round robin: over any run of requests each service's share is within one request
/// of its weight. Not thread safe.
class WeightedRoundRobin
{
public:
    /// Returns the index of the service that gets the next request. Begins anew where the weights
    /// have changed.
    std::size_t next(const std::vector<WeightedService> &services);

private:
    std::vector<double> m_credits;
};

} // namespace mangoshift
