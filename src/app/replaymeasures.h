#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangoshift {

/// How one request of a replay ended.
enum class SampleEnd : std::uint8_t {
    Answered, ///< An answer with coverage, whole or partial.
    Refused, ///< A refusal whose verdict is `not_run`.
    Failed, ///< Any other error.
    Lost, ///< No response came.
};

/// One request of a replay, as its caller saw it.
struct Sample
{
    std::size_t segment = 0; ///< Index into `Trace::segments`.
    SampleEnd end = SampleEnd::Lost;
    /// From the time at which the trace has it, so that a late start counts.
    std::chrono::microseconds latency{0};
    bool isWithinDeadline = false;
    std::uint64_t shardsRequested = 0;
    std::uint64_t shardsAnswered = 0;
    std::uint64_t extraRequests = 0;
    bool mixesSnapshots = false; ///< A row is of another snapshot than the answer.
    bool misstatesCoverage = false; ///< The rows prove another coverage than the stated one.
    bool hasForeignRows = false; ///< A row is of another request, or of no replica of its shard.
};

/// The figures of a set of samples.
struct Measures
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    double coveragePercent = 0; ///< Shards answered of shards asked by requests not refused.
    double completePercent = 0; ///< Complete answers within the deadline, of all requests.
    double extraPercent = 0; ///< Shard requests beyond the first of each shard, by the answers.
    /// Queries that targets ran beyond one for each shard asked, by their records. Of a whole trace
    /// only; negative where shards were asked and not run.
    double targetExtraPercent = 0;
    std::uint64_t shardsRequested = 0; ///< By requests that were not refused.
    double refusedPercent = 0;
    double refusalP99Ms = 0;
    double goodput = 0; ///< Complete answers within the deadline, a second.
    std::uint64_t mixedSnapshots = 0;
    std::uint64_t coverageMismatches = 0;
    std::uint64_t foreignRows = 0;
};

/// Returns the measures of `samples`, which were sent over `duration`.
Measures measure(const std::vector<const Sample *> &samples, std::chrono::milliseconds duration);

/// Returns the figure of that name, such as `p99_ms`, or no value where there is none.
std::optional<double> measureValue(const Measures &measures, const std::string &name);
bool isMeasure(const std::string &name);
/// Returns the names of all figures.
std::vector<std::string> measureNames();

} // namespace mangoshift
