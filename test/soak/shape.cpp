#include "soak/shape.h"

#include <stdexcept>

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;

/// The sizes, loads and timeouts of the production deployment of that name.
Shape rozova()
{
    Shape shape;
    shape.name = "rozova";
    shape.vms = 7;
    shape.shards = 20;
    shape.reshardedShards = 30;
    shape.pooledTargetCount = 5;
    shape.shardTargets = {milliseconds(20), 2, 26, milliseconds(200)};
    shape.pooledTargets = {milliseconds(160), 3, 100, milliseconds(0)};
    shape.minCoverage = 0.89;
    shape.allRate = 59.5;
    shape.movingRate = 19.8;
    shape.ordersRate = 19.8;
    shape.allTimeout = milliseconds(2500);
    shape.pooledTimeout = milliseconds(10000);
    return shape;
}

Shape sundarban()
{
    Shape shape = rozova();
    shape.name = "sundarban";
    shape.vms = 6;
    shape.shardTargets.connections = 25;
    shape.pooledTargets.connections = 38;
    shape.topK = 50;
    shape.allTimeout = milliseconds(1500);
    shape.pooledTimeout = milliseconds(6000);
    return shape;
}

} // namespace

Shape makeShape(const std::string &name)
{
    if (name == "rozova")
        return rozova();
    if (name == "sundarban")
        return sundarban();
    if (name != "small")
        throw std::invalid_argument("unknown shape '" + name + "'");
    Shape shape;
    shape.name = "small";
    return shape;
}

std::vector<std::string> shardNames(const Shape &shape, bool isResharded)
{
    std::vector<std::string> names;
    const int count = isResharded ? shape.reshardedShards : shape.shards;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        std::string name(1, isResharded ? 'b' : 'a');
        names.push_back(name.append(std::to_string(i)));
    }
    return names;
}

std::string movingService(std::size_t version)
{
    std::string name(1, 'm');
    return name.append(std::to_string(version % MovingServices));
}

} // namespace mangoshift::soak
