#include "soak/violations.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "fakeservers/records.h"
#include "mangoshift/recordmerge.h"
#include "soak/evidenceindex.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Outcome = CallerRecord::Outcome;
using Kind = TargetEvent::Kind;
using Violations = std::vector<Violation>;

/// How late something with a time bound may be seen, for the way between processes and the
/// scheduler of the machine that plays all of them.
constexpr milliseconds TimingSlack{500};
/// Requests that may reach a server after their caller has left, over half a second later.
constexpr std::size_t MaxArrivalsAfterDisconnect = 3;
/// Requests that a VM may drop without an answer while nothing disturbs it.
constexpr std::size_t MaxDropped = 3;
/// From this many requests that are late beyond their route's timeout on, their share counts.
constexpr std::size_t MinLateCount = 8;
constexpr double MaxLateShare = 0.25;
/// The share of requests that are served again once all faults are over.
constexpr double MinServedShare = 0.25;

bool isNotRunStatus(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool isSuccess(const CallerRecord &record)
{
    return record.outcome == Outcome::Responded && record.status >= 200 && record.status < 300;
}

std::string describe(const CallerRecord &record)
{
    return "request " + record.id + " at VM " + std::to_string(record.vm) + ", status "
        + std::to_string(record.status);
}

void checkOrdersRunOnce(const EvidenceIndex &index, Violations &violations)
{
    for (const CallerRecord &record : index.evidence().callers)
        if (record.route == RouteKind::Orders && index.runCount(record.id) > 1)
            violations.push_back({"a request that may run once runs once",
                                  describe(record) + " ran "
                                      + std::to_string(index.runCount(record.id)) + " times"});
}

void checkRefusedNotRun(const EvidenceIndex &index, Violations &violations)
{
    for (const CallerRecord &record : index.evidence().callers)
        if (record.outcome == Outcome::Responded && isNotRunStatus(record.status)
            && index.runCount(record.id) > 0)
            violations.push_back(
                {"what is refused as not run has not run", describe(record) + " ran"});
}

/// Whether a configuration that had been sent by `at` names just this number of shards, and all of
/// `services`.
bool matchesOneVersion(const Evidence &evidence, const std::set<std::string> &services,
                       std::size_t shards, Clock::time_point at)
{
    return std::any_of(evidence.published.begin(), evidence.published.end(),
                       [&](const PublishedConfig &each) {
                           return each.sentAt <= at && each.shards.size() == shards
                               && std::includes(each.shards.begin(), each.shards.end(),
                                                services.begin(), services.end());
                       });
}

std::vector<std::string> splitStamps(const std::string &text)
{
    std::vector<std::string> stamps;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t comma = std::min(text.find(',', at), text.size());
        const std::size_t first = std::min(text.find_first_not_of(' ', at), comma);
        stamps.push_back(text.substr(first, comma - first));
        at = comma + 1;
    }
    return stamps;
}

std::string findFanOutFault(const EvidenceIndex &index, const CallerRecord &record)
{
    const Evidence &evidence = index.evidence();
    std::set<std::string> services;
    std::vector<std::string> bodies;
    for (const std::string &text : splitStamps(record.partStamps)) {
        const auto stamp = parseStamp(text);
        if (!stamp || stamp->request != record.id)
            return "the receipt '" + text + "' is not for it";
        const std::string service = index.serviceOf(stamp->target);
        if (!services.insert(service).second)
            return "two parts are of " + service;
        bodies.push_back(serverRecords(service, record.id, true));
    }
    const std::size_t missing = std::strtoul(record.missingParts.c_str(), nullptr, 10);
    const std::size_t shards = services.size() + missing;
    const RouteBounds &bounds = evidence.routes.at(RouteKind::All);
    if (services.empty() || !matchesOneVersion(evidence, services, shards, record.endedAt))
        return "its " + std::to_string(services.size()) + " parts and " + std::to_string(missing)
            + " missing ones are of no one version";
    if (static_cast<double>(services.size())
        < bounds.minCoverage * static_cast<double>(shards) - 1e-9)
        return "it covers too little";
    const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
    return record.body == greatestRecords(parts, bounds.topK) ? "" : "its records are others";
}

std::string findForwardingFault(const EvidenceIndex &index, const CallerRecord &record)
{
    const auto stamp = parseStamp(record.stamp);
    if (!stamp || stamp->request != record.id)
        return "the receipt '" + record.stamp + "' is not for it";
    const std::string service = index.serviceOf(stamp->target);
    return record.body == serverRecords(service, record.id, true) ? "" : "its body is another's";
}

void checkAnswers(const EvidenceIndex &index, Violations &violations)
{
    for (const CallerRecord &record : index.evidence().callers) {
        std::string fault;
        if (record.outcome == Outcome::Malformed)
            fault = "what came is no answer to it";
        else if (isSuccess(record))
            fault = record.route == RouteKind::All ? findFanOutFault(index, record)
                                                   : findForwardingFault(index, record);
        else if (record.outcome == Outcome::Responded && !record.stamp.empty()
                 && record.status < 500)
            fault = "a server's receipt stands with a status that no server gave";
        if (!fault.empty())
            violations.push_back({"each caller gets the whole answer to its own request",
                                  describe(record) + ": " + fault});
    }
}

void checkReceivedRequests(const EvidenceIndex &index, Violations &violations)
{
    for (const TargetEvent &event : index.evidence().targetEvents) {
        if (event.kind != Kind::Arrived)
            continue;
        const CallerRecord *record = index.findCaller(event.request);
        if (record == nullptr || record->requestSummary != event.what)
            violations.push_back({"servers get what callers sent",
                                  "server " + event.target + " got '" + event.what
                                      + "' as request '" + event.request + "'"});
    }
}

bool isAllowedAt(const Evidence &evidence, RouteKind route, const TargetEvent &event)
{
    if (route == RouteKind::Orders)
        return event.service == "orders";
    return std::any_of(evidence.published.begin(), evidence.published.end(),
                       [&](const PublishedConfig &each) {
                           return each.sentAt <= event.at
                               && (route == RouteKind::All ? each.shards.contains(event.service)
                                                           : each.movingService == event.service);
                       });
}

void checkRoutes(const EvidenceIndex &index, Violations &violations)
{
    for (const TargetEvent &event : index.evidence().targetEvents) {
        const CallerRecord *record = index.findCaller(event.request);
        if (event.kind == Kind::Ran && record != nullptr
            && !isAllowedAt(index.evidence(), record->route, event))
            violations.push_back({"a request runs where a configuration allows it",
                                  describe(*record) + " ran at " + event.service});
    }
}

/// Returns which of the versions a request was handled by: the newest of those sent before it ran
/// that go to the service at which it ran.
const PublishedConfig *findHandlingVersion(const Evidence &evidence, const TargetEvent &ran)
{
    const PublishedConfig *newest = nullptr;
    for (const PublishedConfig &each : evidence.published)
        if (each.sentAt <= ran.at && each.movingService == ran.service)
            newest = &each;
    return newest;
}

struct HandledRequest
{
    const CallerRecord *record;
    const PublishedConfig *version;
};

std::vector<HandledRequest> handledRequests(const EvidenceIndex &index)
{
    std::vector<HandledRequest> handled;
    for (const CallerRecord &record : index.evidence().callers) {
        if (record.route != RouteKind::Moving)
            continue;
        for (const TargetEvent *event : index.eventsOf(record.id))
            if (event->kind == Kind::Ran)
                if (const PublishedConfig *version = findHandlingVersion(index.evidence(), *event))
                    handled.push_back({&record, version});
    }
    return handled;
}

void checkNoReversion(const EvidenceIndex &index, const std::vector<HandledRequest> &handled,
                      Violations &violations)
{
    const Evidence &evidence = index.evidence();
    for (const HandledRequest &later : handled) {
        const CallerRecord &record = *later.record;
        const auto incarnation = index.incarnationOf(record.vm, record.sentAt, record.endedAt);
        if (!incarnation)
            continue;
        for (const HandledRequest &earlier : handled) {
            const CallerRecord &before = *earlier.record;
            if (before.vm != record.vm || earlier.version->version <= later.version->version
                || before.endedAt + evidence.bounds.rollbackSlack >= record.sentAt
                || index.incarnationOf(before.vm, before.sentAt, before.endedAt) != incarnation)
                continue;
            violations.push_back({"a configuration in force never reverts",
                                  describe(record) + " was handled by version "
                                      + std::to_string(later.version->version) + " after "
                                      + std::to_string(earlier.version->version)});
            break;
        }
    }
}

void checkConfigApplied(const EvidenceIndex &index, const std::vector<HandledRequest> &handled,
                        Violations &violations)
{
    const Evidence &evidence = index.evidence();
    for (const HandledRequest &each : handled) {
        const CallerRecord &record = *each.record;
        for (const PublishedConfig &newer : evidence.published) {
            const Clock::time_point due =
                newer.acknowledgedAt + evidence.bounds.configApply + TimingSlack;
            if (newer.version <= each.version->version || record.sentAt <= due)
                continue;
            if (!index.isVmUndisturbed(record, newer.acknowledgedAt, record.endedAt, false)
                || !index.isStoreUndisturbed(newer.acknowledgedAt, record.endedAt))
                continue;
            violations.push_back({"a configuration is in force within its time",
                                  describe(record) + " was handled by version "
                                      + std::to_string(each.version->version) + " when "
                                      + std::to_string(newer.version) + " was due"});
            break;
        }
    }
}

void checkDepartures(const EvidenceIndex &index, Violations &violations)
{
    const Evidence &evidence = index.evidence();
    for (const Departure &departure : evidence.departures) {
        const Clock::time_point due =
            departure.acknowledgedAt + evidence.bounds.drain + TimingSlack;
        for (const TargetEvent &event : evidence.targetEvents) {
            if (event.kind != Kind::Ran || event.target != departure.target || event.at <= due)
                continue;
            const CallerRecord *record = index.findCaller(event.request);
            if (record == nullptr
                || !index.isVmUndisturbed(*record, departure.acknowledgedAt, event.at, false)
                || !index.isStoreUndisturbed(departure.acknowledgedAt, event.at)
                || !index.isTargetUndisturbed(event.target, departure.acknowledgedAt, event.at))
                continue;
            violations.push_back({"a leaving server gets nothing new",
                                  describe(*record) + " ran at " + event.target});
        }
    }
}

/// The requests for each service and the arrivals beyond the first of each request, by time.
struct ServiceTraffic
{
    std::vector<Clock::time_point> requests;
    std::vector<Clock::time_point> extraArrivals;
};

std::map<std::string, ServiceTraffic> groupTrafficByService(const EvidenceIndex &index)
{
    std::map<std::string, ServiceTraffic> traffic;
    std::map<std::string, std::set<std::string>> seen;
    for (const TargetEvent &event : index.evidence().targetEvents) {
        if (event.kind != Kind::Arrived)
            continue;
        ServiceTraffic &service = traffic[event.service];
        if (!seen[event.service].insert(event.request).second)
            service.extraArrivals.push_back(event.at);
        else if (const CallerRecord *record = index.findCaller(event.request))
            service.requests.push_back(record->sentAt);
    }
    for (auto &[name, service] : traffic) {
        std::sort(service.requests.begin(), service.requests.end());
        std::sort(service.extraArrivals.begin(), service.extraArrivals.end());
    }
    return traffic;
}

std::size_t countBetween(const std::vector<Clock::time_point> &times, Clock::time_point from,
                         Clock::time_point to)
{
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), to)
                                    - std::lower_bound(times.begin(), times.end(), from));
}

void checkRetryBudget(const EvidenceIndex &index, Violations &violations)
{
    const Bounds &bounds = index.evidence().bounds;
    const Clock::duration window = bounds.retryWindow;
    for (const auto &[name, service] : groupTrafficByService(index))
        for (const Clock::time_point end : service.extraArrivals) {
            const std::size_t extraArrivals =
                countBetween(service.extraArrivals, end - window, end);
            std::size_t requests = 0;
            for (const Clock::duration shift : {Clock::duration(0), window / 2, window})
                requests = std::max(
                    requests, countBetween(service.requests, end - window - shift, end - shift));
            const double allowed =
                bounds.retryRatio * static_cast<double>(requests) + bounds.retrySlack;
            if (static_cast<double>(extraArrivals) <= allowed)
                continue;
            violations.push_back({"extra arrivals stay within the budget",
                                  name + " got " + std::to_string(extraArrivals)
                                      + " extra arrivals, " + std::to_string(allowed)
                                      + " allowed"});
            break;
        }
}

void checkDroppedRequests(const EvidenceIndex &index, Violations &violations)
{
    std::vector<const CallerRecord *> dropped;
    for (const CallerRecord &record : index.evidence().callers)
        if (record.outcome == Outcome::ConnectionClosed && !index.eventsOf(record.id).empty()
            && index.isVmUndisturbed(record, record.sentAt, record.endedAt, false))
            dropped.push_back(&record);
    if (dropped.size() > MaxDropped)
        violations.push_back({"a request that was passed on is answered",
                              std::to_string(dropped.size()) + " were dropped, first "
                                  + describe(*dropped.front())});
}

void checkTimeouts(const EvidenceIndex &index, Violations &violations)
{
    std::size_t due = 0;
    std::size_t late = 0;
    const CallerRecord *first = nullptr;
    for (const CallerRecord &record : index.evidence().callers) {
        const milliseconds timeout = index.evidence().routes.at(record.route).timeout;
        if (record.outcome == Outcome::CallerDisconnected
            || record.endedAt - record.sentAt < timeout
            || !index.isVmUndisturbed(record, record.sentAt, record.endedAt, false))
            continue;
        ++due;
        if (record.endedAt - record.sentAt <= timeout + TimingSlack)
            continue;
        ++late;
        first = first == nullptr ? &record : first;
    }
    if (late >= MinLateCount && static_cast<double>(late) > MaxLateShare * static_cast<double>(due))
        violations.push_back({"a request has its final answer by its timeout",
                              std::to_string(late) + " of " + std::to_string(due)
                                  + " had none half a second later, first " + describe(*first)});
}

void checkAbandonedRequests(const EvidenceIndex &index, Violations &violations)
{
    std::size_t arrivals = 0;
    std::string first;
    for (const TargetEvent &event : index.evidence().targetEvents) {
        const CallerRecord *record = index.findCaller(event.request);
        if (event.kind != Kind::Arrived || record == nullptr
            || record->outcome != Outcome::CallerDisconnected
            || event.at <= record->endedAt + TimingSlack
            || !index.isVmUndisturbed(*record, record->sentAt, event.at)
            || !index.isTargetUndisturbed(event.target, record->sentAt, event.at))
            continue;
        ++arrivals;
        first = first.empty() ? describe(*record) : first;
    }
    if (arrivals > MaxArrivalsAfterDisconnect)
        violations.push_back({"nothing is sent on for a caller that has left",
                              std::to_string(arrivals) + " arrivals, first " + first});
}

void checkRecovery(const EvidenceIndex &index, Violations &violations)
{
    const Evidence &evidence = index.evidence();
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const CallerRecord &record : evidence.callers) {
        if (record.sentAt < evidence.lastFault + evidence.bounds.recovery
            || record.outcome == Outcome::CallerDisconnected)
            continue;
        ++sent;
        served += isSuccess(record) ? 1 : 0;
    }
    if (static_cast<double>(served) < MinServedShare * static_cast<double>(sent) || sent == 0)
        violations.push_back(
            {"service is back once the faults are over",
             std::to_string(served) + " of " + std::to_string(sent) + " were served"});
}

} // namespace

std::vector<Violation> findViolations(const Evidence &evidence, Strictness strictness)
{
    const EvidenceIndex index(evidence);
    Violations violations;
    for (const std::string &fault : evidence.processFaults)
        violations.push_back({"processes end only when they are told to", fault});
    checkOrdersRunOnce(index, violations);
    checkRefusedNotRun(index, violations);
    checkAnswers(index, violations);
    checkReceivedRequests(index, violations);
    checkRoutes(index, violations);
    const std::vector<HandledRequest> handled = handledRequests(index);
    checkNoReversion(index, handled, violations);
    checkRetryBudget(index, violations);
    checkDroppedRequests(index, violations);
    checkRecovery(index, violations);
    if (strictness == Strictness::Safety)
        return violations;
    checkConfigApplied(index, handled, violations);
    checkDepartures(index, violations);
    checkTimeouts(index, violations);
    checkAbandonedRequests(index, violations);
    return violations;
}

} // namespace mangoshift::soak
