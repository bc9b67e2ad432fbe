#pragma once

#include <memory>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>

#include "base/metrics.h"
#include "entry/entrysettings.h"
#include "entry/targetdirectory.h"
#include "entry/wireadapter.h"
#include "mangoshift/latencydigest.h"
#include "mangoshift/retryshare.h"
#include "mangoshift/routing.h"

namespace mangoshift {

/// What requests of one route have shown; kept over versions of the configuration.
struct RouteState
{
    /// Latencies of answers of targets, one for each part.
    LatencyDigest partLatencies;
    WeightedTurns turns;
};

/// What the exchanges of one entry duty share. Belongs to the duty's thread.
struct EntryState
{
    asio::io_context &io;
    const EntrySettings &settings;
    const WireAdapter &adapter;
    Metrics &metrics;
    TargetDirectory directory;
    std::unordered_map<std::string, RouteState> routes;
    std::unordered_map<std::string, RetryShare> retryShares;

    /// Returns this VM's share of the service's budget for extra requests.
    RetryShare &retryShare(const std::string &service)
    {
        return retryShares
            .try_emplace(service, settings.retryBudget,
                         1.0 / static_cast<double>(settings.vmsAtMost))
            .first->second;
    }
};

} // namespace mangoshift
