#include "app/replaymeasures.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mangoshift {

namespace {

using std::chrono::microseconds;
using Getter = double (*)(const Measures &);

const std::vector<std::pair<std::string, Getter>> &getters()
{
    static const std::vector<std::pair<std::string, Getter>> all{
        {"sent", [](const Measures &m) { return static_cast<double>(m.sent); }},
        {"answered", [](const Measures &m) { return static_cast<double>(m.answered); }},
        {"refused", [](const Measures &m) { return static_cast<double>(m.refused); }},
        {"failed", [](const Measures &m) { return static_cast<double>(m.failed); }},
        {"lost", [](const Measures &m) { return static_cast<double>(m.lost); }},
        {"p50_ms", [](const Measures &m) { return m.p50Ms; }},
        {"p99_ms", [](const Measures &m) { return m.p99Ms; }},
        {"p999_ms", [](const Measures &m) { return m.p999Ms; }},
        {"coverage_percent", [](const Measures &m) { return m.coveragePercent; }},
        {"complete_percent", [](const Measures &m) { return m.completePercent; }},
        {"extra_percent", [](const Measures &m) { return m.extraPercent; }},
        {"target_extra_percent", [](const Measures &m) { return m.targetExtraPercent; }},
        {"refused_percent", [](const Measures &m) { return m.refusedPercent; }},
        {"refusal_p99_ms", [](const Measures &m) { return m.refusalP99Ms; }},
        {"goodput", [](const Measures &m) { return m.goodput; }},
        {"mixed_snapshots",
         [](const Measures &m) { return static_cast<double>(m.mixedSnapshots); }},
        {"coverage_lies",
         [](const Measures &m) { return static_cast<double>(m.coverageMismatches); }},
        {"foreign_rows", [](const Measures &m) { return static_cast<double>(m.foreignRows); }},
    };
    return all;
}

/// Returns a quantile of the sorted times, by nearest rank, in milliseconds, or 0 if there are no
/// times. `quantile` lies between 0 and 1.
double quantileMs(const std::vector<microseconds> &sorted, double quantile)
{
    if (sorted.empty())
        return 0;
    const auto rank =
        static_cast<std::size_t>(std::ceil(quantile * static_cast<double>(sorted.size())));
    return std::chrono::duration<double, std::milli>(sorted[std::max<std::size_t>(rank, 1) - 1])
        .count();
}

/// Returns `part` as a percentage of `total`, or `ifNone` if `total` is 0.
double percentOf(std::uint64_t part, std::uint64_t total, double ifNone)
{
    return total == 0 ? ifNone : 100.0 * static_cast<double>(part) / static_cast<double>(total);
}

/// The sums and latencies from which the measures are calculated.
struct Sums
{
    std::uint64_t shardsRequested = 0;
    std::uint64_t shardsAnswered = 0;
    std::uint64_t extraRequests = 0;
    std::uint64_t completeAnswers = 0;
    std::vector<microseconds> latencies; ///< Of all requests that were not refused.
    std::vector<microseconds> refusals; ///< Latencies of the refused requests.
};

void addSample(const Sample &sample, Sums &sums, Measures &measures)
{
    ++measures.sent;
    measures.mixedSnapshots += sample.mixesSnapshots ? 1 : 0;
    measures.coverageMismatches += sample.misstatesCoverage ? 1 : 0;
    measures.foreignRows += sample.hasForeignRows ? 1 : 0;
    if (sample.end == SampleEnd::Refused) {
        ++measures.refused;
        sums.refusals.push_back(sample.latency);
        return;
    }
    sums.shardsRequested += sample.shardsRequested;
    sums.shardsAnswered += sample.shardsAnswered;
    sums.extraRequests += sample.extraRequests;
    // Lost and failed requests count with the time that their callers waited.
    sums.latencies.push_back(sample.latency);
    if (sample.end == SampleEnd::Answered)
        ++measures.answered;
    else if (sample.end == SampleEnd::Failed)
        ++measures.failed;
    else
        ++measures.lost;
    if (sample.end == SampleEnd::Answered && sample.isWithinDeadline
        && sample.shardsAnswered == sample.shardsRequested)
        ++sums.completeAnswers;
}

} // namespace

Measures measure(const std::vector<const Sample *> &samples, std::chrono::milliseconds duration)
{
    Measures measures;
    Sums sums;
    for (const Sample *sample : samples)
        addSample(*sample, sums, measures);
    std::sort(sums.latencies.begin(), sums.latencies.end());
    std::sort(sums.refusals.begin(), sums.refusals.end());
    measures.p50Ms = quantileMs(sums.latencies, 0.5);
    measures.p99Ms = quantileMs(sums.latencies, 0.99);
    measures.p999Ms = quantileMs(sums.latencies, 0.999);
    measures.refusalP99Ms = quantileMs(sums.refusals, 0.99);
    measures.shardsRequested = sums.shardsRequested;
    measures.coveragePercent = percentOf(sums.shardsAnswered, sums.shardsRequested, 0);
    measures.completePercent = percentOf(sums.completeAnswers, measures.sent, 0);
    measures.extraPercent = percentOf(sums.extraRequests, sums.shardsRequested, 0);
    measures.refusedPercent = percentOf(measures.refused, measures.sent, 0);
    const double seconds = std::chrono::duration<double>(duration).count();
    measures.goodput = seconds > 0 ? static_cast<double>(sums.completeAnswers) / seconds : 0;
    return measures;
}

std::optional<double> measureValue(const Measures &measures, const std::string &name)
{
    for (const auto &[each, getter] : getters())
        if (each == name)
            return getter(measures);
    return std::nullopt;
}

bool isMeasure(const std::string &name)
{
    return measureValue({}, name).has_value();
}

std::vector<std::string> measureNames()
{
    std::vector<std::string> names;
    for (const auto &[name, getter] : getters())
        names.push_back(name);
    return names;
}

} // namespace mangoshift
