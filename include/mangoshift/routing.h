#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace mangoshift {

/// A service and its share of a route's requests.
struct WeightedService
{
    std::string service;
    double weight = 1.0;
};

/// Sends each request to one target of one service, chosen by weight.
struct ForwardTo
{
    std::vector<WeightedService> services;
};

/// Sends each request to one target of every shard and merges the records of their responses.
struct FanOutTo
{
    /// The names of the services that are the shards, without duplicates.
    std::vector<std::string> shards;
    /// The maximum number of records in an answer; the greatest ones are kept.
    std::size_t records = 0;
    /// The minimum share of the shards, 0 to 1, that a successful answer covers.
    double minCoverage = 1.0;

    /// Returns the minimum number of shards that a successful answer covers, at least one.
    std::size_t minShards() const;
};

using Destination = std::variant<ForwardTo, FanOutTo>;

/// How requests with a matching host and path are served.
struct Route
{
    std::string name;
    /// In lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// Whether a request may run more than once.
    bool isIdempotent = false;
    /// The maximum time that a caller waits for a response.
    std::chrono::milliseconds timeout{0};
    /// The time within which a response should be returned.
    std::chrono::milliseconds latencyTarget{0};
    /// Zero is the most urgent.
    std::uint32_t priority = 0;
    /// The maximum number of targets that may run one request; in a fan-out, for each shard.
    std::uint32_t maxAttempts = 1;
    Destination destination;
};

/// Limits on the size of callers' requests and on how slowly callers may send them.
struct CallerLimits
{
    std::size_t headerBytes = 16U << 10U;
    std::size_t bodyBytes = 256U << 10U;
    /// The maximum time from the first byte of a request to the end of its headers.
    std::chrono::milliseconds headerTimeout{3000};
    /// How long a connection without a request is kept open.
    std::chrono::milliseconds idleTimeout{15000};
};

/// The document's settings of a service, apart from its routes.
struct RoutedService
{
    /// The maximum number of connections to one target from all VMs together.
    std::size_t maxConnections = 1;
    /// How many requests a second a cold target takes of all VMs together; zero if that is not
    /// limited.
    double warmupRate = 0.0;
    /// The maximum time for which a target is cold; no value if it is not stated.
    std::optional<std::chrono::milliseconds> maxWarmup = std::nullopt;
};

/// One version of the routes, services and limits; does not change once it is in force.
struct RoutingDocument
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::unordered_map<std::string, RoutedService> services;
    CallerLimits limits;
};

/// Finds the route of a request in one version of the document.
///
/// Immutable, so that requests can share a version and keep it until they finish.
class RoutingTable
{
public:
    explicit RoutingTable(RoutingDocument document);

    /// Returns the route of the host with the longest matching path prefix, or a null pointer if no
    /// route matches. The case and the port of `host` and the query of `path` are ignored.
    const Route *match(std::string_view host, std::string_view path) const;
    /// Returns the document's settings of the service, or the defaults if it has none.
    RoutedService serviceOf(const std::string &name) const;

    const RoutingDocument &document() const { return m_document; }
    std::uint64_t version() const { return m_document.version; }

private:
    RoutingDocument m_document;
    /// The routes of each host, those with the longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

/// Spreads the requests of a split route over its services in proportion to their weights.
///
/// Uses smooth weighted round robin: after any number of requests, each service has received its
/// share by weight to within one request. Not thread safe.
class WeightedRoundRobin
{
public:
    /// Returns the index of the service that gets the next request. Starts over when the number of
    /// services changes.
    std::size_t next(const std::vector<WeightedService> &services);

private:
    std::vector<double> m_credits;
};

} // namespace mangoshift
