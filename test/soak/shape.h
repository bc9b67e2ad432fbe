#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace mangoshift::soak {

/// The services of a kind, as the servers of one kind of process play them.
struct TargetShape
{
    std::chrono::milliseconds workTime{10};
    std::size_t slots = 2;
    std::size_t connections = 26;
    std::chrono::milliseconds pauseTime{200};
};

/// The size of a deployment and the load on it.
struct Shape
{
    std::string name;
    int vms = 4;
    int shards = 6;
    /// The shards after the index has been cut anew.
    int reshardedShards = 4;
    /// The servers of `orders` and of each service that the moving route goes to, in each group.
    int pooledTargetCount = 2;
    TargetShape shardTargets;
    TargetShape pooledTargets;
    double minCoverage = 0.6;
    std::size_t topK = 10;
    /// Requests a second.
    double allRate = 20;
    double movingRate = 20;
    double ordersRate = 10;
    std::chrono::milliseconds allTimeout{1500};
    std::chrono::milliseconds allTargetLatency{150};
    std::chrono::milliseconds pooledTimeout{4000};
    std::chrono::milliseconds pooledTargetLatency{600};
};

/// Returns the shape of that name: `small`, or the size of a deployment of the users, `rozova` or
/// `sundarban`. Throws where there is none.
Shape makeShape(const std::string &name);

/// The replicas of each service stand in this many groups, each of them one process.
inline constexpr int TargetGroups = 2;
/// How many services the moving route goes to by turns.
inline constexpr int MovingServices = 4;

std::vector<std::string> shardNames(const Shape &shape, bool isResharded);
std::string movingService(std::size_t version);

} // namespace mangoshift::soak
