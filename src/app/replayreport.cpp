#include "app/replayreport.h"

#include <algorithm>
#include <cinttypes>
#include <cstdarg>
#include <cstdio>

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// Returns the measures of the segments with that name, or of all segments if `name` is empty.
Measures measuresOf(const Trace &trace, const ReplayResult &result, const std::string &name)
{
    const std::vector<Sample> &samples = result.samples;
    std::vector<const Sample *> selected;
    for (const Sample &sample : samples)
        if (name.empty() || trace.segments[sample.segment].name == name)
            selected.push_back(&sample);
    milliseconds from = milliseconds::max();
    milliseconds to{0};
    for (const LoadSegment &segment : trace.segments) {
        if (!name.empty() && segment.name != name)
            continue;
        from = std::min(from, segment.from);
        to = std::max(to, segment.to);
    }
    Measures measures = measure(selected, to - from);
    if (name.empty() && measures.shardsRequested > 0) {
        const double queriesPerShard = static_cast<double>(result.targetQueries)
            / static_cast<double>(measures.shardsRequested);
        measures.targetExtraPercent = 100 * (queriesPerShard - 1);
    }
    return measures;
}

OutcomeResult evaluateOutcome(const Trace &trace, const ReplayResult &replay,
                              const StatedOutcome &stated)
{
    OutcomeResult result{stated, 0, 0, false};
    result.measured =
        measureValue(measuresOf(trace, replay, stated.segment), stated.measure).value_or(0);
    const double factor = stated.relativeTo.empty()
        ? 1
        : measureValue(measuresOf(trace, replay, stated.relativeTo), stated.measure).value_or(0);
    result.isMet = true;
    if (stated.atMost) {
        result.bound = *stated.atMost * factor;
        result.isMet = result.measured <= result.bound;
    }
    if (stated.atLeast) {
        result.bound = *stated.atLeast * factor;
        result.isMet = result.isMet && result.measured >= result.bound;
    }
    return result;
}

/// Appends a formatted text, truncated to 511 bytes.
__attribute__((format(printf, 2, 3))) void append(std::string &text, const char *format, ...)
{
    char line[512];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(line, sizeof line, format, arguments);
    va_end(arguments);
    text += line;
}

void appendSegment(std::string &text, const SegmentResult &segment)
{
    const Measures &m = segment.measures;
    const std::uint64_t inconsistencies = m.mixedSnapshots + m.coverageMismatches + m.foreignRows;
    append(text,
           "%-14s %-15s %6" PRIu64 " %7.1f %7.1f %7.1f %8.2f %8.1f %7.2f %7.2f %8.1f %6" PRIu64
           "\n",
           segment.name.c_str(), segment.service.c_str(), m.sent, m.p50Ms, m.p99Ms, m.p999Ms,
           m.coveragePercent, m.goodput, m.extraPercent, m.refusedPercent, m.refusalP99Ms,
           inconsistencies);
}

std::string describeBound(const OutcomeResult &result)
{
    std::string text;
    append(text, "%s %.6g", result.stated.atMost ? "at most" : "at least", result.bound);
    if (!result.stated.relativeTo.empty())
        append(text, " (%g times %s)",
               result.stated.atMost.value_or(result.stated.atLeast.value_or(0)),
               result.stated.relativeTo.c_str());
    return text;
}

} // namespace

bool TraceReport::areOutcomesMet() const
{
    return std::all_of(outcomes.begin(), outcomes.end(),
                       [](const OutcomeResult &each) { return each.isMet; });
}

TraceReport makeReport(const Trace &trace, const ReplayResult &result)
{
    TraceReport report{trace.name, trace.deployment, {}, measuresOf(trace, result, ""), {}};
    for (std::size_t i = 0; i < trace.segments.size(); ++i) {
        const LoadSegment &segment = trace.segments[i];
        std::vector<const Sample *> segmentSamples;
        for (const Sample &sample : result.samples)
            if (sample.segment == i)
                segmentSamples.push_back(&sample);
        report.segments.push_back(
            {segment.name, segment.service, measure(segmentSamples, segment.to - segment.from)});
    }
    for (const StatedOutcome &stated : trace.outcomes)
        report.outcomes.push_back(evaluateOutcome(trace, result, stated));
    return report;
}

std::string reportText(const TraceReport &report)
{
    std::string text;
    append(text, "\n%s (%s)\n", report.trace.c_str(), report.deployment.c_str());
    append(text, "%-14s %-15s %6s %7s %7s %7s %8s %8s %7s %7s %8s %6s\n", "segment", "service",
           "sent", "p50 ms", "p99 ms", "p99.9", "cover %", "good/s", "extra %", "refus %",
           "refus99", "untrue");
    for (const SegmentResult &segment : report.segments)
        appendSegment(text, segment);
    append(text, "  targets ran %.2f %% more queries than shards were requested\n",
           report.whole.targetExtraPercent);
    for (const OutcomeResult &outcome : report.outcomes)
        append(text, "  %s  %s %s: %.6g, stated %s\n", outcome.isMet ? "pass" : "FAIL",
               outcome.stated.segment.empty() ? "whole trace" : outcome.stated.segment.c_str(),
               outcome.stated.measure.c_str(), outcome.measured, describeBound(outcome).c_str());
    return text;
}

nlohmann::ordered_json reportJson(const TraceReport &report)
{
    nlohmann::ordered_json json{{"trace", report.trace},
                                {"deployment", report.deployment},
                                {"holds", report.areOutcomesMet()}};
    for (const SegmentResult &segment : report.segments) {
        nlohmann::ordered_json figures{{"segment", segment.name}, {"service", segment.service}};
        for (const std::string &name : measureNames())
            figures[name] = measureValue(segment.measures, name).value_or(0);
        json["segments"].push_back(std::move(figures));
    }
    for (const std::string &name : measureNames())
        json["whole"][name] = measureValue(report.whole, name).value_or(0);
    for (const OutcomeResult &outcome : report.outcomes)
        json["outcomes"].push_back({{"segment", outcome.stated.segment},
                                    {"measure", outcome.stated.measure},
                                    {"measured", outcome.measured},
                                    {"bound", outcome.bound},
                                    {"relative_to", outcome.stated.relativeTo},
                                    {"at_most", outcome.stated.atMost.has_value()},
                                    {"holds", outcome.isMet}});
    return json;
}

} // namespace mangoshift
