#include "app/replaytrace.h"

#include <algorithm>
#include <csignal>
#include <sstream>
#include <utility>

#include "app/replaymeasures.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr milliseconds MaxDuration{25'000};

/// Parses the lines of a trace and collects all validation faults.
class TraceReader
{
public:
    tl::expected<Trace, Faults> read(const std::string &text)
    {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            ++m_line;
            if (line.find_first_not_of(" \t\r") == std::string::npos)
                continue;
            const Json json = Json::parse(line, nullptr, false);
            if (!json.is_object())
                addFault("", "must be a JSON object");
            else
                readLine(json);
        }
        checkTrace();
        if (!m_faults.empty())
            return tl::make_unexpected(std::move(m_faults));
        return std::move(m_trace);
    }

private:
    void addFault(const std::string &pointer, std::string message)
    {
        m_faults.push_back({std::to_string(m_line) + ":" + pointer, std::move(message)});
    }

    void readLine(const Json &json)
    {
        if (json.contains("trace"))
            readHead(json);
        else if (json.contains("segment"))
            readSegment(json);
        else if (json.contains("at_ms"))
            readTraceFault(json);
        else
            addFault("", "must have one of trace, segment and at_ms");
    }

    /// Adds a validation fault for each field of `json` that is not in `known`.
    void checkFields(const Json &json, const std::string &path,
                     const std::vector<std::string> &known)
    {
        for (const auto &[key, value] : json.items())
            if (std::find(known.begin(), known.end(), key) == known.end())
                addFault(std::string(path).append("/").append(key), "is not a known field");
    }

    std::string readText(const Json &json, const std::string &path, const char *key)
    {
        if (json.contains(key) && json[key].is_string())
            return json[key].get<std::string>();
        addFault(path + "/" + key, "is required and must be a string");
        return {};
    }

    double readNumber(const Json &json, const std::string &path, const char *key)
    {
        if (json.contains(key) && json[key].is_number() && json[key].get<double>() >= 0)
            return json[key].get<double>();
        addFault(path + "/" + key, "is required and must be a number of at least 0");
        return 0;
    }

    milliseconds readTime(const Json &json, const char *key)
    {
        return milliseconds(static_cast<std::int64_t>(readNumber(json, "", key)));
    }

    void readHead(const Json &json)
    {
        checkFields(
            json, "",
            {"trace", "about", "deployment", "seed", "targets", "outcomes", "separate_targets"});
        m_trace.name = readText(json, "", "trace");
        m_trace.deployment = readText(json, "", "deployment");
        m_trace.seed = static_cast<std::uint64_t>(readNumber(json, "", "seed"));
        if (json.contains("targets") && json["targets"].is_object())
            m_trace.targetBehaviour = json["targets"];
        if (!json.contains("outcomes") || !json["outcomes"].is_array()) {
            addFault("/outcomes", "is required and must be an array");
            return;
        }
        std::size_t index = 0;
        for (const Json &each : json["outcomes"])
            readOutcome(each, "/outcomes/" + std::to_string(index++));
    }

    void readOutcome(const Json &json, const std::string &path)
    {
        if (!json.is_object()) {
            addFault(path, "must be an object");
            return;
        }
        checkFields(json, path, {"segment", "measure", "at_most", "at_least", "times"});
        StatedOutcome outcome;
        outcome.measure = readText(json, path, "measure");
        if (!isMeasure(outcome.measure))
            addFault(path + "/measure", "'" + outcome.measure + "' is not a measure");
        if (json.contains("segment"))
            outcome.segment = readText(json, path, "segment");
        if (json.contains("times"))
            outcome.relativeTo = readText(json, path, "times");
        if (json.contains("at_most"))
            outcome.atMost = readNumber(json, path, "at_most");
        if (json.contains("at_least"))
            outcome.atLeast = readNumber(json, path, "at_least");
        if (!outcome.atMost && !outcome.atLeast)
            addFault(path, "must have at_most or at_least");
        m_trace.outcomes.push_back(std::move(outcome));
    }

    void readSegment(const Json &json)
    {
        checkFields(json, "", {"segment", "service", "from_ms", "to_ms", "rate", "rate_end"});
        LoadSegment segment;
        segment.name = readText(json, "", "segment");
        segment.service = readText(json, "", "service");
        segment.from = readTime(json, "from_ms");
        segment.to = readTime(json, "to_ms");
        segment.rate = readNumber(json, "", "rate");
        segment.rateEnd =
            json.contains("rate_end") ? readNumber(json, "", "rate_end") : segment.rate;
        if (segment.from >= segment.to)
            addFault("/to_ms", "must be after from_ms");
        if (segment.rate + segment.rateEnd <= 0)
            addFault("/rate", "must be greater than 0 at the start or at the end");
        m_trace.segments.push_back(std::move(segment));
    }

    void readTraceFault(const Json &json)
    {
        const milliseconds at = readTime(json, "at_ms");
        if (json.contains("set"))
            m_trace.faults.push_back({at, readChange(json)});
        else if (json.contains("process"))
            m_trace.faults.push_back({at, readSignal(json)});
        else if (json.contains("publish"))
            m_trace.faults.push_back({at, readPublish(json)});
        else
            addFault("", "must have one of set, process and publish");
    }

    ChangeTargets readChange(const Json &json)
    {
        checkFields(json, "", {"at_ms", "targets", "set", "spread_ms"});
        ChangeTargets change{readText(json, "", "targets"), json["set"], milliseconds(0)};
        if (!change.change.is_object())
            addFault("/set", "must be an object");
        if (json.contains("spread_ms"))
            change.spread = readTime(json, "spread_ms");
        return change;
    }

    SignalProcess readSignal(const Json &json)
    {
        checkFields(json, "", {"at_ms", "process", "signal"});
        static const std::map<std::string, int> signals{
            {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"TERM", SIGTERM}};
        const auto it = signals.find(readText(json, "", "signal"));
        if (it == signals.end())
            addFault("/signal", "must be KILL, STOP, CONT or TERM");
        return {readText(json, "", "process"), it == signals.end() ? 0 : it->second};
    }

    PublishDocument readPublish(const Json &json)
    {
        checkFields(json, "", {"at_ms", "publish"});
        if (!json["publish"].is_array())
            addFault("/publish", "must be a JSON Patch (an array)");
        return {json["publish"]};
    }

    /// Checks the conditions that involve several lines.
    void checkTrace()
    {
        if (m_trace.name.empty())
            addFault("", "no line has the field trace, or its value is empty");
        if (m_trace.duration() > MaxDuration)
            addFault("", "the trace is longer than " + std::to_string(MaxDuration.count()) + " ms");
        for (const StatedOutcome &outcome : m_trace.outcomes)
            for (const std::string &name : {outcome.segment, outcome.relativeTo})
                if (!name.empty() && !hasSegment(name))
                    addFault("", "an outcome names the unknown segment '" + name + "'");
    }

    bool hasSegment(const std::string &name) const
    {
        return std::any_of(m_trace.segments.begin(), m_trace.segments.end(),
                           [&](const LoadSegment &each) { return each.name == name; });
    }

    Trace m_trace;
    Faults m_faults;
    std::size_t m_line = 0;
};

} // namespace

milliseconds Trace::duration() const
{
    milliseconds end{0};
    for (const LoadSegment &segment : segments)
        end = std::max(end, segment.to);
    for (const TraceFault &fault : faults)
        end = std::max(end, fault.at);
    return end;
}

tl::expected<Trace, Faults> parseTrace(const std::string &text)
{
    return TraceReader().read(text);
}

} // namespace mangoshift
