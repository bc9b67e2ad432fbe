#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "app/replaymeasures.h"
#include "app/replayrun.h"
#include "app/replaytrace.h"

namespace mangoshift {

/// One stated outcome against what was measured.
struct OutcomeResult
{
    StatedOutcome stated;
    double measured = 0;
    double bound = 0; ///< The bound in force, a relative one worked out.
    bool isMet = false;
};

struct SegmentResult
{
    std::string name;
    std::string service;
    Measures measures;
};

/// What a replay showed.
struct TraceReport
{
    std::string trace;
    std::string deployment;
    std::vector<SegmentResult> segments;
    Measures whole; ///< Of all segments together.
    std::vector<OutcomeResult> outcomes;

    /// Returns true where every stated outcome holds.
    bool areOutcomesMet() const;
};

/// Works out the figures of each segment and judges the stated outcomes.
TraceReport makeReport(const Trace &trace, const ReplayResult &result);
/// Returns the report as a table for people.
std::string reportText(const TraceReport &report);
nlohmann::ordered_json reportJson(const TraceReport &report);

} // namespace mangoshift
