#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "app/replaymeasures.h"
#include "app/replaytrace.h"
#include "base/address.h"

namespace mangoshift {

/// A running deployment, as described by the launcher in `run.json`.
struct RunningDeployment
{
    std::string name;
    std::string document; ///< The JSON text of the published document.
    Address platform; ///< Control address of the platform.
    std::vector<Address> callerAddresses; ///< Caller addresses of the VMs.
    std::vector<Address> targetControls; ///< Control addresses of the stand-in targets.
    std::map<std::string, int> pids; ///< Process ids, by process name.
};

/// Reads `run.json` and `document.json` in `folder`. The error names the file and the reason.
tl::expected<RunningDeployment, std::string> readRunningDeployment(const std::string &folder);

/// Called about once a second, while requests are sent, with the time since the start of the trace.
using ReplayProgress = std::function<void(std::chrono::milliseconds)>;

/// What a replay measured at the callers and at the targets.
struct ReplayResult
{
    std::vector<Sample> samples; ///< One for each request.
    /// How many queries the targets ran during the replay, according to their own records.
    std::uint64_t targetQueries = 0;
};

/// Replays a trace against a running deployment. The error is the reason why the replay failed.
tl::expected<ReplayResult, std::string> replayTrace(const Trace &trace,
                                                    const RunningDeployment &deployment,
                                                    const ReplayProgress &progress);

} // namespace mangoshift
