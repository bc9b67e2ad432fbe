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

/// A running deployment, as the launcher wrote it down in `run.json`.
struct RunningDeployment
{
    std::string name;
    std::string document; ///< The text of the document that was published.
    Address platform;
    std::vector<Address> callers; ///< Caller addresses of the VMs.
    std::vector<Address> targetControls; ///< Control addresses of the stand-in targets.
    std::map<std::string, int> pids; ///< Process ids by name.
};

/// Reads `FOLDER/run.json` and the document beside it.
tl::expected<RunningDeployment, std::string> readRunningDeployment(const std::string &folder);

/// Called about once a second with the time since the start of the trace.
using ReplayProgress = std::function<void(std::chrono::milliseconds)>;

/// What a replay saw, at the callers and at the targets.
struct ReplayResult
{
    std::vector<Sample> samples; ///< One for each request.
    /// How many queries the targets' own records say that they ran meanwhile.
    std::uint64_t targetQueries = 0;
};

/// Replays a trace against a running deployment. The error says why it could not be replayed.
tl::expected<ReplayResult, std::string> replayTrace(const Trace &trace,
                                                    const RunningDeployment &deployment,
                                                    const ReplayProgress &progress);

} // namespace mangoshift
