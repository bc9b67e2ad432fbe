#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>

#include "base/metrics.h"
#include "entry/retrybudgets.h"
#include "entry/targetdirectory.h"
#include "entry/wireadapter.h"
#include "mangoshift/latencydigest.h"
#include "mangoshift/reachmonitor.h"
#include "mangoshift/routing.h"

namespace mangoshift {

/// What requests of one route have shown; kept over versions of the configuration.
struct RouteState
{
    /// Latencies of answers of targets, one for each part.
    LatencyDigest partLatencies;
    WeightedTurns turns;
};

/// Settings that can change in a running process.
struct ReloadableSettings
{
    RetryBudgetTerms retryBudget;
    std::chrono::milliseconds replyMargin{0};
};

/// What the exchanges of one entry duty share. Belongs to the duty's thread.
struct EntryState
{
    asio::io_context &io;
    const WireAdapter &adapter;
    Metrics &metrics;
    TargetDirectory directory;
    std::unordered_map<std::string, RouteState> routes;
    RetryBudgets budgets;
    /// How long before the latency target an answer leaves.
    std::chrono::milliseconds replyMargin;
    ReachMonitor reachMonitor = {};

    /// Takes in how many VMs there may be, if that is more than was known.
    void growFleet(std::size_t vms)
    {
        budgets.growFleet(vms);
        directory.setFleetSize(budgets.fleetSize());
    }
};

} // namespace mangoshift
