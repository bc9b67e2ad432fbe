#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangoshift {

/// How one request of a replay ended.
enum class SampleEnd : std::uint8_t {
    Answered, ///< An answer with coverage, complete or partial.
    Refused, ///< A problem response that states that the request did not run.
    Failed, ///< Any other response.
    Lost, ///< No complete response arrived.
};

/// One request of a replay, as its caller saw it.
struct Sample
{
    std::size_t segment = 0; ///< Index into `Trace::segments`.
    SampleEnd end = SampleEnd::Lost;
    /// Measured from the time at which the request is due in the trace, so that a delay before it
    /// is sent counts.
    std::chrono::microseconds latency{0};
    bool isWithinDeadline = false; ///< The request ended within the deadline of its service.
    std::uint64_t shardsRequested = 0;
    std::uint64_t shardsAnswered = 0;
    std::uint64_t extraRequests = 0;
    bool mixesSnapshots = false; ///< A row has a different snapshot from the answer.
    bool misstatesCoverage = false; ///< The rows contradict the stated coverage.
    /// A row is from another request, or not from a replica of its shard.
    bool hasForeignRows = false;
};

/// The measures of a set of samples.
struct Measures
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t lost = 0;
    /// The latency quantiles include all requests that were not refused.
    double p50Ms = 0;
    double p99Ms = 0;
    double p999Ms = 0;
    /// Shards answered, of the shards requested by requests that were not refused.
    double coveragePercent = 0;
    double completePercent = 0; ///< Complete answers within the deadline, of all requests.
    /// Shard requests beyond the first to each shard, according to the answers.
    double extraPercent = 0;
    /// Queries that targets ran beyond one for each requested shard, according to the targets'
    /// records. Set for a whole trace only; negative if some requested shards were not run.
    double targetExtraPercent = 0;
    std::uint64_t shardsRequested = 0; ///< In requests that were not refused.
    double refusedPercent = 0;
    double refusalP99Ms = 0; ///< p99 latency of refusals.
    double goodput = 0; ///< Complete answers within the deadline, per second.
    std::uint64_t mixedSnapshots = 0; ///< Answers with `Sample::mixesSnapshots`.
    std::uint64_t coverageMismatches = 0; ///< Answers with `Sample::misstatesCoverage`.
    std::uint64_t foreignRows = 0; ///< Answers with `Sample::hasForeignRows`.
};

/// Returns the measures of `samples`, which were sent over `duration`.
Measures measure(const std::vector<const Sample *> &samples, std::chrono::milliseconds duration);

/// Returns the measure with that name, such as `p99_ms`, or no value if there is no such measure.
std::optional<double> measureValue(const Measures &measures, const std::string &name);
bool isMeasure(const std::string &name);
/// Returns the names of all measures.
std::vector<std::string> measureNames();

} // namespace mangoshift
