#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "app/replaymeasures.h"
#include "app/replayrun.h"
#include "app/replaytrace.h"

namespace mangoshift {

/// A stated outcome compared with the measured value.
struct OutcomeResult
{
    StatedOutcome stated;
    double measured = 0;
    /// The bound on the measured value, after multiplication by the measure of the segment
    /// `stated.relativeTo`, if any. If both bounds are stated, this is the lower one (`atLeast`).
    double bound = 0;
    bool isMet = false;
};

/// The measures of one segment.
struct SegmentResult
{
    std::string name;
    std::string service;
    Measures measures;
};

/// The result of replaying a trace.
struct TraceReport
{
    std::string trace;
    std::string deployment;
    std::vector<SegmentResult> segments;
    Measures whole; ///< Of the whole trace.
    std::vector<OutcomeResult> outcomes;

    /// Returns true if every stated outcome is met.
    bool areOutcomesMet() const;
};

/// Calculates the measures of each segment and evaluates the stated outcomes.
TraceReport makeReport(const Trace &trace, const ReplayResult &result);
/// Returns the report as a table for people.
std::string reportText(const TraceReport &report);
/// Returns the report as a JSON object.
nlohmann::ordered_json reportJson(const TraceReport &report);

} // namespace mangoshift
