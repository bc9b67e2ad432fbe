#include "soak/violations.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <map>
#include <optional>
#include <set>

#include "fakeservers/records.h"
#include "mangoshift/recordmerge.h"
#include "soak/evidenceindex.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Outcome = CallerRecord::Outcome;
using Kind = TargetEvent::Kind;
using Violations = std::vector<Violation>;

/// Tolerance added to time bounds, for the delay between processes and for the scheduler of the
/// machine that runs all of them.
constexpr milliseconds TimingSlack{500};
/// Requests that may arrive at a target more than `TimingSlack` after their caller disconnected.
constexpr std::size_t MaxArrivalsAfterDisconnect = 3;
/// Requests of one VM that may reach a target within a pause that it has asked for.
constexpr std::size_t MaxArrivalsInPause = 2;
/// Requests that VMs may drop without a response while undisturbed, over the whole run.
constexpr std::size_t MaxDropped = 3;
/// Timeouts are violated if at least this many requests are late, and these are more than
/// `MaxLateShare` of the requests that lasted until their timeout.
constexpr std::size_t MinLateCount = 8;
constexpr double MaxLateShare = 0.25;
/// The least share of requests that must succeed after the time for recovery.
constexpr double MinServedShare = 0.25;

/// Returns true if `status` tells the caller that its request has not run at any target.
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
            violations.push_back({"a request to an unsafe route runs at most once",
                                  describe(record) + " ran "
                                      + std::to_string(index.runCount(record.id)) + " times"});
}

void checkRefusedNotRun(const EvidenceIndex &index, Violations &violations)
{
    for (const CallerRecord &record : index.evidence().callers)
        if (record.outcome == Outcome::Responded && isNotRunStatus(record.status)
            && index.runCount(record.id) > 0)
            violations.push_back(
                {"a request reported as not run has not run", describe(record) + " ran"});
}

/// Returns true if a configuration that was sent to the store by `at` has exactly `shards` shards,
/// and all of `services` are among them.
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

/// Splits a comma separated list of stamps.
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

/// Returns what is wrong with the answer to a fan-out query, or an empty string.
std::string findFanOutFault(const EvidenceIndex &index, const CallerRecord &record)
{
    const Evidence &evidence = index.evidence();
    std::set<std::string> services;
    std::vector<std::string> bodies;
    for (const std::string &text : splitStamps(record.partStamps)) {
        const auto stamp = parseStamp(text);
        if (!stamp || stamp->request != record.id)
            return "the stamp '" + text + "' does not belong to the request";
        const std::string service = index.serviceOf(stamp->target);
        if (!services.insert(service).second)
            return "two parts come from " + service;
        bodies.push_back(serverRecords(service, record.id, true));
    }
    const std::size_t missing = std::strtoul(record.missingParts.c_str(), nullptr, 10);
    const std::size_t shards = services.size() + missing;
    const RouteBounds &bounds = evidence.routes.at(RouteKind::All);
    if (services.empty() || !matchesOneVersion(evidence, services, shards, record.endedAt))
        return "the " + std::to_string(services.size()) + " parts and " + std::to_string(missing)
            + " missing parts match no single version";
    if (static_cast<double>(services.size())
        < bounds.minCoverage * static_cast<double>(shards) - 1e-9)
        return "the coverage is below the minimum";
    const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
    return record.body == greatestRecords(parts, bounds.topK) ? "" : "the merged records are wrong";
}

/// Returns what is wrong with the response to a forwarded request, or an empty string.
std::string findForwardingFault(const EvidenceIndex &index, const CallerRecord &record)
{
    const auto stamp = parseStamp(record.stamp);
    if (!stamp || stamp->request != record.id)
        return "the stamp '" + record.stamp + "' does not belong to the request";
    const std::string service = index.serviceOf(stamp->target);
    return record.body == serverRecords(service, record.id, true)
        ? ""
        : "the body belongs to another request";
}

void checkResponses(const EvidenceIndex &index, Violations &violations)
{
    for (const CallerRecord &record : index.evidence().callers) {
        std::string fault;
        if (record.outcome == Outcome::Malformed)
            fault = "the bytes received are no response to the request";
        else if (isSuccess(record))
            fault = record.route == RouteKind::All ? findFanOutFault(index, record)
                                                   : findForwardingFault(index, record);
        else if (record.outcome == Outcome::Responded && !record.stamp.empty()
                 && record.status < 500)
            fault = "the response has a target's stamp but a status that no target sends";
        if (!fault.empty())
            violations.push_back({"each caller receives the complete response to its own request",
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
            violations.push_back({"targets receive the requests that callers sent",
                                  "target " + event.target + " received '" + event.what
                                      + "' as request '" + event.request + "'"});
    }
}

/// Returns true if a configuration sent before the event routes requests of `route` to the event's
/// service.
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
            violations.push_back({"a request runs only at a service that its route allows",
                                  describe(*record) + " ran at " + event.service});
    }
}

/// Returns the configuration version that handled a request of the moving route: the newest one
/// that was sent before the request ran and that routes to the service where it ran. Returns null
/// if there is none.
const PublishedConfig *findHandlingVersion(const Evidence &evidence, const TargetEvent &ran)
{
    const PublishedConfig *newest = nullptr;
    for (const PublishedConfig &each : evidence.published)
        if (each.sentAt <= ran.at && each.movingService == ran.service)
            newest = &each;
    return newest;
}

/// A request of the moving route, and the configuration version that handled it.
struct HandledRequest
{
    const CallerRecord *record;
    const PublishedConfig *version;
    Clock::time_point ranAt;
};

/// Returns each run of a request of the moving route with the version that handled it.
std::vector<HandledRequest> collectHandledRequests(const EvidenceIndex &index)
{
    std::vector<HandledRequest> handled;
    for (const CallerRecord &record : index.evidence().callers) {
        if (record.route != RouteKind::Moving)
            continue;
        for (const TargetEvent *event : index.eventsOf(record.id))
            if (event->kind == Kind::Ran)
                if (const PublishedConfig *version = findHandlingVersion(index.evidence(), *event))
                    handled.push_back({&record, version, event->at});
    }
    return handled;
}

/// Checks that no incarnation of a VM handles a request by an older version after it has handled
/// one by a newer version.
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
            // A VM that was frozen may run a request after its caller has left.
            const Clock::time_point newerInUse = std::max(before.endedAt, earlier.ranAt);
            if (before.vm != record.vm || earlier.version->version <= later.version->version
                || newerInUse + evidence.bounds.rollbackSlack >= record.sentAt
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

/// Checks that requests to undisturbed VMs are handled by a new version once it is due.
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
            violations.push_back({"a published configuration is in force within the stated time",
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
            violations.push_back({"a draining target receives no new requests after its drain time",
                                  describe(*record) + " ran at " + event.target});
        }
    }
}

/// Checks that a VM sends nothing to a target after it has passed on that the target leaves.
/// Nothing but a restart of the VM excuses it, as it needs nobody else to know.
void checkLeavingTargets(const EvidenceIndex &index, Violations &violations)
{
    const Evidence &evidence = index.evidence();
    for (const CallerRecord &told : evidence.callers) {
        const auto stamp = parseStamp(told.stamp);
        if (!told.isTargetLeaving || !stamp)
            continue;
        for (const TargetEvent &event : evidence.targetEvents) {
            if (event.kind != Kind::Ran || event.target != stamp->target)
                continue;
            const CallerRecord *record = index.findCaller(event.request);
            if (record == nullptr || record->vm != told.vm
                || record->sentAt <= told.endedAt + evidence.bounds.drain
                || !index.incarnationOf(record->vm, told.sentAt, event.at))
                continue;
            violations.push_back({"a target that says it leaves receives no new requests",
                                  describe(*record) + " ran at " + event.target});
            break;
        }
    }
}

/// Returns the pause that a refusal asks for; zero if it asks for none.
milliseconds pauseOf(const TargetEvent &event)
{
    static const std::string key = "pause_ms=";
    const std::size_t at = event.what.find(key);
    if (event.kind != Kind::Refused || at == std::string::npos)
        return milliseconds(0);
    return milliseconds(std::strtol(event.what.c_str() + at + key.size(), nullptr, 10));
}

/// Checks that a VM leaves a target alone that has asked it for a pause.
void checkPauses(const EvidenceIndex &index, Violations &violations)
{
    const Evidence &evidence = index.evidence();
    for (const TargetEvent &refusal : evidence.targetEvents) {
        const milliseconds pause = pauseOf(refusal);
        const CallerRecord *refused = index.findCaller(refusal.request);
        if (pause.count() == 0 || refused == nullptr)
            continue;
        std::size_t arrivals = 0;
        std::string first;
        for (const TargetEvent &event : evidence.targetEvents) {
            if (event.kind != Kind::Arrived || event.target != refusal.target
                || event.at <= refusal.at + TimingSlack || event.at >= refusal.at + pause)
                continue;
            const CallerRecord *record = index.findCaller(event.request);
            if (record == nullptr || record->vm != refused->vm
                || !index.isVmUndisturbed(*record, refusal.at, event.at))
                continue;
            ++arrivals;
            first = first.empty() ? describe(*record) : first;
        }
        if (arrivals > MaxArrivalsInPause)
            violations.push_back({"a target that asks for a pause is left alone",
                                  std::to_string(arrivals) + " requests reached " + refusal.target
                                      + ", the first: " + first});
    }
}

/// Returns the limit that the response to a run names, in requests a second; no value if it names
/// none.
std::optional<double> limitOf(const TargetEvent &event)
{
    static const std::string prefix = "limit=";
    if (event.kind != Kind::Ran || !event.what.starts_with(prefix))
        return std::nullopt;
    return std::strtod(event.what.c_str() + prefix.size(), nullptr);
}

/// A time in which a target names a limit in each of its responses.
struct LimitedTime
{
    double limit = 0.0;
    Clock::time_point from;
    Clock::time_point to;
    /// When each VM got the first response that names it.
    std::map<int, Clock::time_point> toldAt;
    /// When requests arrived, and from which VM.
    std::vector<std::pair<Clock::time_point, const CallerRecord *>> arrivals;
};

std::vector<LimitedTime> limitedTimesOf(const std::string &target, const EvidenceIndex &index)
{
    std::vector<LimitedTime> times;
    bool isLimited = false;
    for (const TargetEvent &event : index.evidence().targetEvents) {
        if (event.target != target)
            continue;
        const CallerRecord *record = index.findCaller(event.request);
        if (event.kind == Kind::Ran) {
            const auto limit = limitOf(event);
            if (limit && !(isLimited && times.back().limit == *limit))
                times.push_back({*limit, event.at, event.at, {}, {}});
            isLimited = limit.has_value();
            if (isLimited && record != nullptr)
                times.back().toldAt.try_emplace(record->vm, event.at);
        }
        if (!isLimited || times.empty())
            continue;
        times.back().to = event.at;
        if (event.kind == Kind::Arrived && record != nullptr)
            times.back().arrivals.emplace_back(event.at, record);
    }
    return times;
}

/// Checks that a target that has named a limit gets no more than that allows, from the VMs that it
/// has told and that nothing disturbed.
void checkLimits(const EvidenceIndex &index, Violations &violations)
{
    constexpr milliseconds window{4000};
    constexpr milliseconds hearingTime{500};
    std::set<std::string> targets;
    for (const TargetEvent &event : index.evidence().targetEvents)
        if (limitOf(event))
            targets.insert(event.target);
    for (const std::string &target : targets)
        for (const LimitedTime &time : limitedTimesOf(target, index)) {
            const double allowed =
                1.5 * time.limit * std::chrono::duration<double>(window).count() + 5.0;
            const Clock::time_point judgedFrom = time.from + index.evidence().bounds.stableWindow;
            for (const auto &[from, first] : time.arrivals) {
                if (from < judgedFrom || !index.isTargetUndisturbed(target, from, from + window))
                    continue;
                std::size_t arrivals = 0;
                for (const auto &[at, record] : time.arrivals) {
                    const auto toldAt = time.toldAt.find(record->vm);
                    if (at >= from && at < from + window && toldAt != time.toldAt.end()
                        && at >= toldAt->second + hearingTime
                        && index.isVmUndisturbed(*record, from, from + window))
                        ++arrivals;
                }
                if (static_cast<double>(arrivals) <= allowed)
                    continue;
                violations.push_back({"a target gets no more than the limit that it names",
                                      std::to_string(arrivals) + " requests reached " + target
                                          + " in 4 s at a limit of " + std::to_string(time.limit)
                                          + ", the first: " + describe(*first)});
                break;
            }
        }
}

/// Checks that a target that has named a limit is not left without requests for long, whatever it
/// named, while others of its service get some.
void checkLimitsAreNotForgotten(const EvidenceIndex &index, Violations &violations)
{
    constexpr milliseconds longest{8000};
    // So many that some are due to the target at any number of targets of a service.
    constexpr std::size_t manyRequests = 60;
    std::map<std::string, Clock::time_point> lastNamed;
    std::map<std::string, std::string> services;
    for (const TargetEvent &event : index.evidence().targetEvents) {
        if (limitOf(event)) {
            lastNamed[event.target] = event.at;
            services[event.target] = event.service;
        }
    }
    for (const auto &[target, from] : lastNamed) {
        const Clock::time_point to = from + longest;
        if (!index.isTargetUndisturbed(target, from, to))
            continue;
        std::size_t others = 0;
        bool isUsed = false;
        for (const TargetEvent &event : index.evidence().targetEvents) {
            const bool isInTime = event.kind == Kind::Arrived && event.at > from && event.at <= to;
            isUsed = isUsed || (isInTime && event.target == target);
            const CallerRecord *record = isInTime ? index.findCaller(event.request) : nullptr;
            if (record != nullptr && event.target != target && event.service == services.at(target)
                && index.isVmUndisturbed(*record, from, to))
                ++others;
        }
        if (!isUsed && others >= manyRequests)
            violations.push_back({"a target that names a limit is not forgotten",
                                  "none reached " + target + " in 8 s, and "
                                      + std::to_string(others) + " reached others of its service"});
    }
}

/// Traffic of one service in ascending order: when callers sent the requests that arrived there,
/// and the arrivals of each request after its first one.
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

/// Returns how many of the sorted `times` are from `from` to `to`, both included.
std::size_t countBetween(const std::vector<Clock::time_point> &times, Clock::time_point from,
                         Clock::time_point to)
{
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), to)
                                    - std::lower_bound(times.begin(), times.end(), from));
}

/// Checks that the extra arrivals at each service stay within the retry budget in every window. The
/// budget follows from the requests of the same window, of the one half a window earlier or of the
/// one a window earlier, whichever has the most.
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
            violations.push_back({"extra arrivals stay within the retry budget",
                                  name + " received " + std::to_string(extraArrivals)
                                      + " extra arrivals, " + std::to_string(allowed)
                                      + " allowed"});
            break;
        }
}

/// Checks that connections to undisturbed VMs do not close without a response after the request
/// has reached a target.
void checkDroppedRequests(const EvidenceIndex &index, Violations &violations)
{
    std::vector<const CallerRecord *> dropped;
    for (const CallerRecord &record : index.evidence().callers)
        if (record.outcome == Outcome::ConnectionClosed && !index.eventsOf(record.id).empty()
            && index.isVmUndisturbed(record, record.sentAt, record.endedAt, false))
            dropped.push_back(&record);
    if (dropped.size() > MaxDropped)
        violations.push_back({"every forwarded request gets a response",
                              std::to_string(dropped.size()) + " requests were dropped, the first: "
                                  + describe(*dropped.front())});
}

void checkTimeouts(const EvidenceIndex &index, Violations &violations)
{
    std::size_t reachedTimeout = 0;
    std::size_t late = 0;
    const CallerRecord *first = nullptr;
    for (const CallerRecord &record : index.evidence().callers) {
        const milliseconds timeout = index.evidence().routes.at(record.route).timeout;
        if (record.outcome == Outcome::CallerDisconnected
            || record.endedAt - record.sentAt < timeout
            || !index.isVmUndisturbed(record, record.sentAt, record.endedAt, false))
            continue;
        ++reachedTimeout;
        if (record.endedAt - record.sentAt <= timeout + TimingSlack)
            continue;
        ++late;
        first = first == nullptr ? &record : first;
    }
    if (late >= MinLateCount
        && static_cast<double>(late) > MaxLateShare * static_cast<double>(reachedTimeout))
        violations.push_back(
            {"a request gets its final response by its timeout",
             std::to_string(late) + " of " + std::to_string(reachedTimeout)
                 + " had none 500 ms after their timeout, the first: " + describe(*first)});
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
        violations.push_back({"nothing is forwarded after the caller has disconnected",
                              std::to_string(arrivals) + " arrivals, the first: " + first});
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
            {"service recovers after the last fault",
             std::to_string(served) + " of " + std::to_string(sent) + " requests were served"});
}

void checkVmEnds(const Evidence &evidence, Violations &violations)
{
    for (const VmEnd &end : evidence.vmEnds)
        if (end.lastRunning - end.signalledAt > evidence.bounds.grace)
            violations.push_back(
                {"processes end when stopped",
                 "VM " + std::to_string(end.vm) + " still runs after the grace period"});
}

} // namespace

std::vector<Violation> findViolations(const Evidence &evidence, Strictness strictness)
{
    const EvidenceIndex index(evidence);
    Violations violations;
    for (const std::string &fault : evidence.processFaults)
        violations.push_back({"processes end only when stopped", fault});
    checkVmEnds(evidence, violations);
    checkOrdersRunOnce(index, violations);
    checkRefusedNotRun(index, violations);
    checkResponses(index, violations);
    checkReceivedRequests(index, violations);
    checkRoutes(index, violations);
    const std::vector<HandledRequest> handled = collectHandledRequests(index);
    checkNoReversion(index, handled, violations);
    checkRetryBudget(index, violations);
    checkDroppedRequests(index, violations);
    checkRecovery(index, violations);
    checkLeavingTargets(index, violations);
    if (strictness == Strictness::Safety)
        return violations;
    checkConfigApplied(index, handled, violations);
    checkDepartures(index, violations);
    checkPauses(index, violations);
    checkLimits(index, violations);
    checkLimitsAreNotForgotten(index, violations);
    checkTimeouts(index, violations);
    checkAbandonedRequests(index, violations);
    return violations;
}

} // namespace mangoshift::soak
