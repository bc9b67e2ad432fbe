#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace mangoshift::soak {

/// How the targets of one kind of service behave.
struct TargetShape
{
    /// How long a target takes for a request.
    std::chrono::milliseconds workTime{10};
    /// How many requests a target runs at a time.
    std::size_t slots = 2;
    /// How many connections a target accepts, and the `max_conns` of its service.
    std::size_t connections = 26;
    /// How long each target periodically stalls.
    std::chrono::milliseconds pauseTime{200};
};

/// The size of a deployment and its load. Members that start with `all` describe the fan-out route
/// to the shards; those that start with `pooled` describe the forwarded routes and their services.
struct Shape
{
    std::string name;
    int vms = 4;
    int shards = 6;
    /// The number of shards after resharding; configuration versions alternate between both sets.
    int reshardedShards = 4;
    /// The number of targets in each group for `orders`, and for each service of the moving route.
    int pooledTargetCount = 2;
    TargetShape shardTargets;
    TargetShape pooledTargets;
    double minCoverage = 0.6;
    std::size_t topK = 10;
    /// Requests per second.
    double allRate = 20;
    double movingRate = 20;
    double ordersRate = 10;
    std::chrono::milliseconds allTimeout{1500};
    std::chrono::milliseconds allLatencyTarget{150}; ///< The `target_latency_ms` of the route.
    std::chrono::milliseconds pooledTimeout{4000};
    std::chrono::milliseconds pooledLatencyTarget{600}; ///< The `target_latency_ms` of each route.
};

/// Returns the shape of that name: `small`, or `rozova` or `sundarban`, which have the sizes of
/// production deployments. Throws std::invalid_argument for another name.
Shape makeShape(const std::string &name);

/// The number of groups of targets. Each group has replicas of every service, and stands for a
/// failure domain.
inline constexpr int TargetGroups = 2;
/// The number of services among which successive configuration versions move the moving route.
inline constexpr int MovingServices = 4;

/// Returns the names of the shards before or after resharding.
std::vector<std::string> shardNames(const Shape &shape, bool isResharded);
/// Returns the service of the moving route in that version of the configuration.
std::string movingService(std::size_t version);

} // namespace mangoshift::soak
