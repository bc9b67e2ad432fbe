#pragma once

#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>

#include "base/metrics.h"
#include "entry/retrybudgets.h"
#include "entry/targetdirectory.h"
#include "entry/wireadapter.h"
#include "mangoshift/latencydigest.h"
#include "mangoshift/reachmonitor.h"
#include "mangoshift/replylead.h"
#include "mangoshift/routing.h"

namespace mangoshift {

/// The latency and traffic-split history of one route; kept across versions of the configuration.
struct RouteState
{
    /// The latencies of targets' responses, one for each part of a request.
    LatencyDigest partLatencies;
    /// What this VM needs to end an answer of this route.
    ReplyLead replyLead;
    WeightedRoundRobin trafficSplit;
};

/// The settings that can change in a running process.
struct ReloadableSettings
{
    RetryBudgetTerms retryBudget;
    std::chrono::milliseconds replyMargin{0};
};

/// The state that all exchanges of one entry duty share. Belongs to the duty's thread.
struct EntryState
{
    asio::io_context &io;
    const WireAdapter &adapter;
    Metrics &metrics;
    TargetDirectory directory;
    std::unordered_map<std::string, RouteState> routes;
    RetryBudgets budgets;
    /// See `EntrySettings::replyMargin`.
    std::chrono::milliseconds replyMargin;
    ReachMonitor reachMonitor = {};
    std::minstd_rand random{std::random_device{}()};

    /// Returns a random number from 0 to 1.
    double draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(random); }

    /// Raises the number of VMs that share the limits to `vms`. The number never shrinks.
    void growFleet(std::size_t vms)
    {
        budgets.growFleet(vms);
        directory.setFleetSize(budgets.fleetSize());
    }
};

} // namespace mangoshift
