#include "app/explanation.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/jsontext.h"

namespace mangoshift {

namespace {

/// Events that describe the state of a VM, each with the name of its group. Only the latest event
/// of a group is reported. An event without a group name is a group by itself, and each target has
/// a group `target`, `capacity`, `limit` and `unused limit` of its own.
const std::map<std::string, std::string> BackgroundEvents{{"vm_started", ""},
                                                          {"vm_ready", ""},
                                                          {"vm_not_ready", ""},
                                                          {"vm_leaving", ""},
                                                          {"store_lost", "store"},
                                                          {"store_regained", "store"},
                                                          {"state_source", ""},
                                                          {"peer_not_followed", ""},
                                                          {"configuration_adopted", ""},
                                                          {"target_listed", "target"},
                                                          {"target_draining", "target"},
                                                          {"target_delisted", "target"},
                                                          {"target_misdirected", "target"},
                                                          {"target_failing", "target"},
                                                          {"target_leaving", "target"},
                                                          {"target_pauses", "target"},
                                                          {"target_slower", "capacity"},
                                                          {"target_recovered", "capacity"},
                                                          {"target_limit_named", "limit"},
                                                          {"target_limit_changed", "limit"},
                                                          {"target_limit_ended", "limit"},
                                                          {"target_limit_unused", "unused limit"},
                                                          {"target_cold", "warm-up limit"},
                                                          {"target_warm", "warm-up limit"},
                                                          {"target_answers", "target"},
                                                          {"retry_budget_spent", "budget"},
                                                          {"retry_budget_back", "budget"}};

/// How many of the latest events of targets an explanation lists.
constexpr std::size_t MaxTargetLines = 12;

const std::map<std::string, std::string> ReasonTexts{
    {"ok", "all requested parts arrived in time"},
    {"deadline_exceeded", "its deadline passed before enough responses had arrived"},
    {"lost", "a connection to a target could not be made, or ended before a response"},
    {"refused", "the targets responded that they had no capacity"},
    {"overloaded", "no target had capacity"},
    {"budget_spent", "earlier attempts had failed, and the retry budget was spent"},
    {"draining", "the VM was draining"},
    {"no_replica", "no target of the service was known, or every known target had been tried"},
    {"bad_reply", "a target sent an invalid response"},
    {"failed", "a target reported an error after it had started the request"},
    {"bad_request", "the request is malformed, or matches no route of the configuration in force"},
    {"not_ready", "the VM did not know the configuration or the targets yet"},
    {"cancelled", "the caller had disconnected"}};

/// Why a request was not sent to a service.
const std::map<std::string, std::string> NotSentTexts{
    {"no_target", "no other target is known"},
    {"no_room", "no target has capacity"},
    {"leaving", "each target that is left has said that it leaves"},
    {"evacuated", "the failure domain of each target that is left is evacuated"},
    {"paused", "each target that is left has asked for a pause that is too long for it"},
    {"failing", "each target that is left fails and is being probed by another request"},
    {"limited", "each target that is left has named a limit that leaves no room for it in time"}};

const std::map<std::string, std::string> ConnectionEndTexts{
    {"caller_closed", "the caller closed it, or its sending side"},
    {"caller_reset", "it was reset"},
    {"caller_silent", "the caller's host has stopped to acknowledge what it is sent"},
    {"stop", "the VM stopped"}};

const std::map<std::string, std::string> ExecutionTexts{
    {"not_run", "It has not run anywhere."},
    {"may_have_run", "It may have run; the logs of the targets named here show whether it did."},
    {"ran", "It has run."}};

std::string textOrKey(const std::map<std::string, std::string> &texts, const std::string &key)
{
    const auto it = texts.find(key);
    return it == texts.end() ? key : it->second;
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin <= text.size() && !text.empty()) {
        const std::size_t end = std::min(text.find(separator, begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

/// A decision made for a request, as listed in the field `trace` of its end event.
struct Decision
{
    std::string afterMs; ///< Milliseconds since the request arrived.
    std::string action;
    std::string service;
    std::string target; ///< Empty if the decision names no target.
    std::string reason;
};

std::optional<Decision> parseDecision(const std::string &text)
{
    const auto fields = split(text, ':');
    if (fields.size() < 3)
        return std::nullopt;
    Decision decision{fields[0], fields[1], fields[2], "", fields.size() > 3 ? fields[3] : ""};
    if (const auto at = decision.service.find('@'); at != std::string::npos) {
        decision.target = decision.service.substr(at + 1);
        decision.service.resize(at);
    }
    return decision;
}

std::string describe(const Decision &decision)
{
    const std::string prefix = "after " + decision.afterMs + " ms: ";
    const std::string target = "target " + decision.target + " of " + decision.service;
    if (decision.action == "sent")
        return prefix
            + (decision.reason == "waited" ? "sent after waiting for capacity, to "
                                           : "sent again, to ")
            + target;
    if (decision.action == "failed")
        return prefix + target + " failed: " + textOrKey(ReasonTexts, decision.reason);
    if (decision.action == "waits")
        return prefix + "waits for a target of " + decision.service
            + (decision.reason == "failing" ? ", as each one fails and is being probed"
                                            : " with capacity");
    if (decision.action == "taken_back")
        return prefix + "taken back, not sent, while it waited for a connection to " + target;
    if (decision.action == "not_sent")
        return prefix + "not sent to " + decision.service + ": "
            + textOrKey(NotSentTexts, decision.reason);
    if (decision.action == "queue_too_long")
        return prefix + "refused at once: the queues for its parts are too long for the deadline";
    if (decision.action == "no_permits")
        return prefix
            + "refused at once: the limits that targets have named leave room for too few parts";
    if (decision.action == "out_of_reach")
        return prefix
            + "refused at once: this VM is cut off from the other failure domains and from "
              "too many targets";
    if (decision.action == "caller_left")
        return prefix
            + "the caller's connection ended: " + textOrKey(ConnectionEndTexts, decision.reason);
    if (decision.action == "no_budget")
        return prefix + "not sent again to " + decision.service + ": the retry budget is spent";
    return prefix + decision.action + " " + decision.service + " " + decision.reason;
}

/// Returns the targets that failed or were tried for a missing part, sorted by name.
std::vector<std::string> failedTargetsOf(const LogLine &endEvent)
{
    std::vector<std::string> targets;
    for (const std::string &part : split(endEvent.value("missing"), ',')) {
        const auto names = split(part, '@');
        targets.insert(targets.end(), names.begin() + (names.empty() ? 0 : 1), names.end());
    }
    for (const std::string &text : split(endEvent.value("trace"), ';'))
        if (const auto decision = parseDecision(text);
            decision && decision->action == "failed" && !decision->target.empty())
            targets.push_back(decision->target);
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    return targets;
}

/// Returns whether the request was not sent to a service, or waited, because of what is known of
/// the service's targets.
bool isForLackOfTargets(const Decision &decision)
{
    return decision.action == "not_sent"
        || (decision.action == "waits" && decision.reason == "failing");
}

/// Returns the services of such decisions, sorted by name.
std::vector<std::string> unsentServicesOf(const LogLine &endEvent)
{
    std::vector<std::string> services;
    for (const std::string &text : split(endEvent.value("trace"), ';'))
        if (const auto decision = parseDecision(text); decision && isForLackOfTargets(*decision))
            services.push_back(decision->service);
    std::sort(services.begin(), services.end());
    return services;
}

std::string causeOf(const LogLine &endEvent)
{
    if (endEvent.event == "request_rejected")
        return "Rejected with status " + endEvent.value("status") + " before it was sent: "
            + textOrKey(ReasonTexts, endEvent.value("reason")) + ". Configuration "
            + endEvent.value("config_version") + " was in force. It has not run anywhere.";
    std::string cause = "Responded with status " + endEvent.value("status") + " after "
        + endEvent.value("took_ms") + " ms, " + endEvent.value("parts") + " parts: ";
    if (endEvent.value("outcome") == "partial")
        return cause
            + "the rest had no target that could take it, or had not arrived when the answer had "
              "to be sent to be in time. Missing: "
            + endEvent.value("missing") + ".";
    cause += textOrKey(ReasonTexts, endEvent.value("reason")) + ". "
        + textOrKey(ExecutionTexts, endEvent.value("execution"));
    if (!endEvent.value("missing").empty())
        cause += " Missing, with the targets tried: " + endEvent.value("missing") + ".";
    return cause;
}

std::string summaryOf(const LogLine &line)
{
    std::string text = line.time + " " + line.event;
    for (const auto &[name, value] : line.fields)
        if (name != "level")
            text.append(" ").append(name).append("=").append(value);
    return text;
}

/// Returns whether the limits of targets turned a request, or a part of it, away.
bool isTurnedAwayByLimits(const LogLine &endEvent)
{
    const auto texts = split(endEvent.value("trace"), ';');
    return std::any_of(texts.begin(), texts.end(), [](const std::string &text) {
        const auto decision = parseDecision(text);
        return decision && (decision->action == "no_permits" || decision->reason == "limited");
    });
}

/// The latest event of each group of `BackgroundEvents`, by the name of the group, or of the event
/// if it has no group name.
using Background = std::map<std::string, LogLine>;

/// Returns the limits that the targets of some services have named, as one sentence; empty if there
/// are none.
std::string limitsOf(const std::vector<std::string> &services, const Background &background)
{
    std::string text;
    for (const auto &[key, line] : background) {
        const bool isInForce = line.event == "target_limit_named"
            || line.event == "target_limit_changed" || line.event == "target_cold";
        if (!isInForce
            || !std::binary_search(services.begin(), services.end(), line.value("service")))
            continue;
        text +=
            (text.empty() ? " Limits in force, in requests a second of all VMs together: " : ", ")
            + line.value("target") + " of " + line.value("service") + " "
            + line.value("limit_per_s");
    }
    return text.empty() ? text : text + ".";
}

/// Returns which of the targets were slower than usual or handled less than before, as one
/// sentence; empty if there are none.
std::string slowTargetsOf(const std::vector<std::string> &targets, const Background &background)
{
    std::string text;
    for (const auto &[key, line] : background)
        if (line.event == "target_slower"
            && std::binary_search(targets.begin(), targets.end(), line.value("target")))
            text += (text.empty() ? " Targets known to be slow: " : ", ") + line.value("target")
                + " of " + line.value("service") + " (" + line.value("slowness")
                + " times the usual latency, capacity " + line.value("capacity") + ")";
    return text.empty() ? text : text + ".";
}

Explanation explain(const std::string &vm, const LogLine &endEvent, const Background &background)
{
    Explanation explanation{vm, endEvent, {}, {}, causeOf(endEvent)};
    for (const std::string &text : split(endEvent.value("trace"), ';'))
        if (const auto decision = parseDecision(text))
            explanation.steps.push_back(describe(*decision));
    const auto targets = failedTargetsOf(endEvent);
    const auto unsent = unsentServicesOf(endEvent);
    if (isTurnedAwayByLimits(endEvent))
        explanation.cause += limitsOf(unsent, background);
    explanation.cause += slowTargetsOf(targets, background);
    const auto isAboutUnsent = [&unsent](const LogLine &line) {
        const bool closesTarget = line.event != "target_listed" && line.event != "target_answers"
            && line.event != "target_limit_ended" && line.event != "target_warm"
            && line.event != "target_recovered";
        return closesTarget
            && std::binary_search(unsent.begin(), unsent.end(), line.value("service"));
    };
    const auto isEarlier = [](const LogLine &x, const LogLine &y) { return x.time < y.time; };
    std::vector<LogLine> lines;
    std::vector<LogLine> targetLines;
    for (const auto &[key, line] : background) {
        const std::string target = line.value("target");
        if (target.empty())
            lines.push_back(line);
        else if (std::binary_search(targets.begin(), targets.end(), target) || isAboutUnsent(line))
            targetLines.push_back(line);
    }
    std::stable_sort(targetLines.begin(), targetLines.end(), isEarlier);
    // A service may have lost many targets since the start of the log.
    const std::size_t kept = std::min(targetLines.size(), MaxTargetLines);
    lines.insert(lines.end(), targetLines.end() - static_cast<std::ptrdiff_t>(kept),
                 targetLines.end());
    std::stable_sort(lines.begin(), lines.end(), isEarlier);
    for (const LogLine &line : lines)
        explanation.background.push_back(summaryOf(line));
    return explanation;
}

} // namespace

RequestSearch::RequestSearch(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

void RequestSearch::read(const std::string &vm, std::istream &log)
{
    Background background;
    for (std::string text; std::getline(log, text);) {
        const auto line = parseLogLine(text);
        if (!line)
            continue;
        if (line->event == "log_lines_left_out")
            m_droppedLines += std::strtoull(line->value("lines").c_str(), nullptr, 10);
        if (const auto known = BackgroundEvents.find(line->event);
            known != BackgroundEvents.end()) {
            const bool isOfTarget = known->second == "target" || known->second == "capacity"
                || known->second.ends_with("limit");
            const std::string key = isOfTarget ? known->second + " " + line->value("target")
                : known->second.empty()        ? line->event
                                               : known->second;
            background[key] = *line;
        }
        const bool isEndEvent = line->event == "request_ended" || line->event == "request_rejected";
        if (isEndEvent && line->value("request") == m_requestId)
            m_explanations.push_back(explain(vm, *line, background));
    }
}

std::vector<Explanation> RequestSearch::explanations() const
{
    std::vector<Explanation> sorted = m_explanations;
    std::stable_sort(sorted.begin(), sorted.end(), [](const Explanation &a, const Explanation &b) {
        return a.endEvent.time < b.endEvent.time;
    });
    return sorted;
}

std::string toText(const Explanation &explanation)
{
    std::string text = explanation.endEvent.time + " on " + explanation.vm + "\n";
    for (const std::string &step : explanation.steps)
        text += "  " + step + "\n";
    text += "  " + explanation.cause + "\n";
    if (!explanation.background.empty())
        text += "  earlier events in the log of the VM:\n";
    for (const std::string &line : explanation.background)
        text += "    " + line + "\n";
    return text;
}

std::string toJson(const Explanation &explanation)
{
    return jsonText(nlohmann::json{{"vm", explanation.vm},
                                   {"time", explanation.endEvent.time},
                                   {"event", explanation.endEvent.event},
                                   {"fields", explanation.endEvent.fields},
                                   {"steps", explanation.steps},
                                   {"background", explanation.background},
                                   {"cause", explanation.cause}});
}

} // namespace mangoshift
