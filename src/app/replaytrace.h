#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>
#include <tl/expected.hpp>

#include "config/fault.h"

namespace mangoshift {

/// A period of open-loop load on a service. The rate changes linearly from `rate` to `rateEnd`.
struct LoadSegment
{
    std::string name;
    std::string service;
    std::chrono::milliseconds from{0};
    std::chrono::milliseconds to{0};
    double rate = 0; ///< Requests per second at `from`.
    double rateEnd = 0; ///< Requests per second at `to`.
};

/// Changes the behaviour of the stand-in targets whose names match a shell pattern.
struct ChangeTargets
{
    std::string pattern;
    nlohmann::json change;
    /// The period over which the matching targets change one after another; 0 changes all at once.
    std::chrono::milliseconds spread{0};
};

/// Sends a signal to a process that the launcher started.
struct SignalProcess
{
    std::string process;
    int signal = 0;
};

/// Publishes the current document with a JSON Patch (RFC 6902) applied.
struct PublishDocument
{
    nlohmann::json patch;
};

using TraceAction = std::variant<ChangeTargets, SignalProcess, PublishDocument>;

/// A fault that is injected at a time of the trace.
struct TraceFault
{
    std::chrono::milliseconds at{0};
    TraceAction action;
};

/// An outcome that a trace requires: a bound on a measure of a segment.
struct StatedOutcome
{
    /// Empty for the whole trace. Segments with the same name are measured together.
    std::string segment;
    std::string measure;
    std::optional<double> atMost;
    std::optional<double> atLeast;
    /// If not empty, `atMost` and `atLeast` are multiples of the same measure of this segment.
    std::string relativeTo;
};

/// A trace: load, faults and the outcomes that are required under them.
struct Trace
{
    std::string name;
    std::string deployment;
    std::uint64_t seed = 1;
    /// The change that is applied to every target before the replay starts.
    nlohmann::json targetBehaviour = nlohmann::json::object();
    std::vector<StatedOutcome> outcomes;
    std::vector<LoadSegment> segments;
    std::vector<TraceFault> faults;

    /// Returns the time at which the last segment ends or the last fault is injected, whichever is
    /// later.
    std::chrono::milliseconds duration() const;
};

/// Parses a trace from JSON lines. If the trace is invalid, returns all validation faults; the path
/// of each starts with the line number, counted from 1.
tl::expected<Trace, Faults> parseTrace(const std::string &text);

} // namespace mangoshift
