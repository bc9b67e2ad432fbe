#include "app/explanation.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangoshift {

namespace {

/// Events that tell what a VM knew, and the field by which the latest of each is kept.
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
                                                          {"target_answers", "target"},
                                                          {"retry_budget_spent", "budget"},
                                                          {"retry_budget_back", "budget"}};

const std::map<std::string, std::string> ReasonTexts{
    {"ok", "all that was asked for came in time"},
    {"deadline_exceeded", "its time was over before enough answers had come"},
    {"lost", "a connection to a target ended, or could not be made, before an answer"},
    {"refused", "the targets said that they had no room"},
    {"overloaded", "no target had room"},
    {"budget_spent", "what was sent before had failed, and the budget for sending again was spent"},
    {"draining", "the VM was leaving"},
    {"no_replica", "no target of the service was known, or each known one had been tried"},
    {"bad_reply", "a target answered with something that is no valid answer"},
    {"failed", "a target reported an error after it had begun the request"},
    {"bad_request", "the request fits no route of the configuration in force, or is malformed"},
    {"not_ready", "the VM did not know the configuration or the targets yet"},
    {"cancelled", "the caller had left"}};

const std::map<std::string, std::string> ExecutionTexts{
    {"not_run", "It has not run anywhere."},
    {"may_have_run", "It may have run; whether it did is in the log of the target named."},
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

/// One decision of a request's trace: when, what, which service and target, and why.
struct Decision
{
    std::string afterMs;
    std::string action;
    std::string service;
    std::string target;
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
    const std::string start = "after " + decision.afterMs + " ms: ";
    const std::string target = "target " + decision.target + " of " + decision.service;
    if (decision.action == "sent")
        return start
            + (decision.reason == "waited" ? "sent, having waited for room, to "
                                           : "sent again, to ")
            + target;
    if (decision.action == "failed")
        return start + target + " failed: " + textOrKey(ReasonTexts, decision.reason);
    if (decision.action == "waits")
        return start + "waits for a target of " + decision.service + " with room";
    if (decision.action == "not_sent")
        return start + "not sent to " + decision.service
            + (decision.reason == "no_target" ? ": no further target is known"
                                              : ": no target has room");
    if (decision.action == "queue_too_long")
        return start
            + "refused at once: the queues for its parts are too long for it to be in time";
    if (decision.action == "out_of_reach")
        return start
            + "refused at once: this VM is cut off from the other domains and from too many "
              "targets";
    if (decision.action == "no_budget")
        return start + "not sent again to " + decision.service + ": the retry budget is spent";
    return start + decision.action + " " + decision.service + " " + decision.reason;
}

/// The targets that were tried in vain.
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

std::string causeOf(const LogLine &endEvent)
{
    if (endEvent.event == "request_rejected")
        return "Rejected with status " + endEvent.value("status") + " before it was sent: "
            + textOrKey(ReasonTexts, endEvent.value("reason")) + ". Configuration "
            + endEvent.value("config_version") + " was in force. It has not run anywhere.";
    std::string cause = "Answered with status " + endEvent.value("status") + " after "
        + endEvent.value("took_ms") + " ms, " + endEvent.value("parts") + " parts: ";
    if (endEvent.value("outcome") == "partial")
        return cause + "the rest had not come when the answer had to leave to be in time. Missing: "
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

/// The latest line of each kind of background, while a log is read.
using Background = std::map<std::string, LogLine>;

Explanation explain(const std::string &vm, const LogLine &endEvent, const Background &background)
{
    Explanation explanation{vm, endEvent, {}, {}, causeOf(endEvent)};
    for (const std::string &text : split(endEvent.value("trace"), ';'))
        if (const auto decision = parseDecision(text))
            explanation.steps.push_back(describe(*decision));
    const auto targets = failedTargetsOf(endEvent);
    std::vector<LogLine> lines;
    for (const auto &[key, line] : background) {
        const std::string target = line.value("target");
        if (target.empty() || std::binary_search(targets.begin(), targets.end(), target))
            lines.push_back(line);
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
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
        if (const auto kind = BackgroundEvents.find(line->event); kind != BackgroundEvents.end()) {
            const bool isTarget = kind->second == "target";
            const std::string key = isTarget ? "target " + line->value("target")
                : kind->second.empty()       ? line->event
                                             : kind->second;
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
        text += "  what the VM had logged before:\n";
    for (const std::string &line : explanation.background)
        text += "    " + line + "\n";
    return text;
}

std::string toJson(const Explanation &explanation)
{
    return nlohmann::json{{"vm", explanation.vm},
                          {"time", explanation.endEvent.time},
                          {"event", explanation.endEvent.event},
                          {"fields", explanation.endEvent.fields},
                          {"steps", explanation.steps},
                          {"background", explanation.background},
                          {"cause", explanation.cause}}
        .dump();
}

} // namespace mangoshift
