#include "soak/judge.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "fakeservers/records.h"
#include "mangoshift/recordmerge.h"
#include "soak/ledger.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using End = CallerRecord::End;
using Kind = ServerEvent::Kind;
using Violations = std::vector<Violation>;

/// How late something with a time bound may be seen, for the way between processes and the
/// scheduler of the machine that plays all of them.
constexpr milliseconds Slack{500};
/// Requests that may reach a server after their caller has left, over half a second later.
constexpr std::size_t MaxArrivalsAfterLeave = 3;
/// Requests that a VM may drop without an answer while nothing disturbs it.
constexpr std::size_t MaxDropped = 3;
/// From this many requests that are late beyond their route's timeout on, their share counts.
constexpr std::size_t LateCount = 8;
constexpr double LateShare = 0.25;
/// The share of requests that are served again once all faults are over.
constexpr double RecoveredShare = 0.25;

bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

bool isSuccess(const CallerRecord &record)
{
    return record.end == End::Answered && record.status >= 200 && record.status < 300;
}

std::string describe(const CallerRecord &record)
{
    return "request " + record.id + " at VM " + std::to_string(record.vm) + ", status "
        + std::to_string(record.status);
}

void checkRunOnce(const Ledger &ledger, Violations &found)
{
    for (const CallerRecord &record : ledger.evidence().callers)
        if (record.route == RouteKind::Orders && ledger.runs(record.id) > 1)
            found.push_back(
                {"a request that may run once runs once",
                 describe(record) + " ran " + std::to_string(ledger.runs(record.id)) + " times"});
}

void checkRefusals(const Ledger &ledger, Violations &found)
{
    for (const CallerRecord &record : ledger.evidence().callers)
        if (record.end == End::Answered && promisesNotRun(record.status)
            && ledger.runs(record.id) > 0)
            found.push_back({"what is refused as not run has not run", describe(record) + " ran"});
}

/// Whether a configuration that had been sent by `at` names just this number of shards, and all of
/// `services`.
bool isOneVersion(const Evidence &evidence, const std::set<std::string> &services,
                  std::size_t shards, Clock::time_point at)
{
    return std::any_of(evidence.published.begin(), evidence.published.end(),
                       [&](const Published &each) {
                           return each.sentAt <= at && each.shards.size() == shards
                               && std::includes(each.shards.begin(), each.shards.end(),
                                                services.begin(), services.end());
                       });
}

std::vector<std::string> splitReceipts(const std::string &text)
{
    std::vector<std::string> receipts;
    std::size_t at = 0;
    while (at < text.size()) {
        const std::size_t comma = std::min(text.find(',', at), text.size());
        const std::size_t first = std::min(text.find_first_not_of(' ', at), comma);
        receipts.push_back(text.substr(first, comma - first));
        at = comma + 1;
    }
    return receipts;
}

std::string faultOfFanOut(const Ledger &ledger, const CallerRecord &record)
{
    const Evidence &evidence = ledger.evidence();
    std::set<std::string> services;
    std::vector<std::string> bodies;
    for (const std::string &text : splitReceipts(record.partReceipts)) {
        const auto receipt = parseReceipt(text);
        if (!receipt || receipt->request != record.id)
            return "the receipt '" + text + "' is not for it";
        const std::string service = ledger.serviceOf(receipt->server);
        if (!services.insert(service).second)
            return "two parts are of " + service;
        bodies.push_back(serverRecords(service, record.id, true));
    }
    const std::size_t missing = std::strtoul(record.missingParts.c_str(), nullptr, 10);
    const std::size_t shards = services.size() + missing;
    const RouteBounds &bounds = evidence.routes.at(RouteKind::All);
    if (services.empty() || !isOneVersion(evidence, services, shards, record.endedAt))
        return "its " + std::to_string(services.size()) + " parts and " + std::to_string(missing)
            + " missing ones are of no one version";
    if (static_cast<double>(services.size())
        < bounds.leastCoverage * static_cast<double>(shards) - 1e-9)
        return "it covers too little";
    const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
    return record.body == greatestRecords(parts, bounds.records) ? "" : "its records are others";
}

std::string faultOfForwarded(const Ledger &ledger, const CallerRecord &record)
{
    const auto receipt = parseReceipt(record.receipt);
    if (!receipt || receipt->request != record.id)
        return "the receipt '" + record.receipt + "' is not for it";
    const std::string service = ledger.serviceOf(receipt->server);
    return record.body == serverRecords(service, record.id, true) ? "" : "its body is another's";
}

void checkAnswers(const Ledger &ledger, Violations &found)
{
    for (const CallerRecord &record : ledger.evidence().callers) {
        std::string fault;
        if (record.end == End::Malformed)
            fault = "what came is no answer to it";
        else if (isSuccess(record))
            fault = record.route == RouteKind::All ? faultOfFanOut(ledger, record)
                                                   : faultOfForwarded(ledger, record);
        else if (record.end == End::Answered && !record.receipt.empty() && record.status < 500)
            fault = "a server's receipt stands with a status that no server gave";
        if (!fault.empty())
            found.push_back({"each caller gets the whole answer to its own request",
                             describe(record) + ": " + fault});
    }
}

void checkAsked(const Ledger &ledger, Violations &found)
{
    for (const ServerEvent &event : ledger.evidence().servers) {
        if (event.kind != Kind::Arrived)
            continue;
        const CallerRecord *record = ledger.caller(event.request);
        if (record == nullptr || record->sent != event.what)
            found.push_back({"servers get what callers sent",
                             "server " + event.server + " got '" + event.what + "' as request '"
                                 + event.request + "'"});
    }
}

bool mayRunAt(const Evidence &evidence, RouteKind route, const ServerEvent &event)
{
    if (route == RouteKind::Orders)
        return event.service == "orders";
    return std::any_of(evidence.published.begin(), evidence.published.end(),
                       [&](const Published &each) {
                           return each.sentAt <= event.at
                               && (route == RouteKind::All ? each.shards.contains(event.service)
                                                           : each.movingService == event.service);
                       });
}

void checkRoutes(const Ledger &ledger, Violations &found)
{
    for (const ServerEvent &event : ledger.evidence().servers) {
        const CallerRecord *record = ledger.caller(event.request);
        if (event.kind == Kind::Ran && record != nullptr
            && !mayRunAt(ledger.evidence(), record->route, event))
            found.push_back({"a request runs where a configuration allows it",
                             describe(*record) + " ran at " + event.service});
    }
}

/// Returns which of the versions a request was handled by: the newest of those sent before it ran
/// that go to the service at which it ran.
const Published *handledBy(const Evidence &evidence, const ServerEvent &ran)
{
    const Published *newest = nullptr;
    for (const Published &each : evidence.published)
        if (each.sentAt <= ran.at && each.movingService == ran.service)
            newest = &each;
    return newest;
}

struct Handled
{
    const CallerRecord *record;
    const Published *version;
};

std::vector<Handled> handledRequests(const Ledger &ledger)
{
    std::vector<Handled> handled;
    for (const CallerRecord &record : ledger.evidence().callers) {
        if (record.route != RouteKind::Moving)
            continue;
        for (const ServerEvent *event : ledger.eventsOf(record.id))
            if (event->kind == Kind::Ran)
                if (const Published *version = handledBy(ledger.evidence(), *event))
                    handled.push_back({&record, version});
    }
    return handled;
}

void checkNeverBack(const Ledger &ledger, const std::vector<Handled> &handled, Violations &found)
{
    const Evidence &evidence = ledger.evidence();
    for (const Handled &later : handled) {
        const CallerRecord &record = *later.record;
        const auto boot = ledger.bootOf(record.vm, record.sentAt, record.endedAt);
        if (!boot)
            continue;
        for (const Handled &earlier : handled) {
            const CallerRecord &before = *earlier.record;
            if (before.vm != record.vm || earlier.version->version <= later.version->version
                || before.endedAt + evidence.bounds.rollbackSlack >= record.sentAt
                || ledger.bootOf(before.vm, before.sentAt, before.endedAt) != boot)
                continue;
            found.push_back({"a configuration in force never reverts",
                             describe(record) + " was handled by version "
                                 + std::to_string(later.version->version) + " after "
                                 + std::to_string(earlier.version->version)});
            break;
        }
    }
}

void checkInForce(const Ledger &ledger, const std::vector<Handled> &handled, Violations &found)
{
    const Evidence &evidence = ledger.evidence();
    for (const Handled &each : handled) {
        const CallerRecord &record = *each.record;
        for (const Published &newer : evidence.published) {
            const Clock::time_point due =
                newer.acknowledgedAt + evidence.bounds.configApply + Slack;
            if (newer.version <= each.version->version || record.sentAt <= due)
                continue;
            if (!ledger.isVmCalm(record, newer.acknowledgedAt, record.endedAt, false)
                || !ledger.isStoreCalm(newer.acknowledgedAt, record.endedAt))
                continue;
            found.push_back({"a configuration is in force within its time",
                             describe(record) + " was handled by version "
                                 + std::to_string(each.version->version) + " when "
                                 + std::to_string(newer.version) + " was due"});
            break;
        }
    }
}

void checkDepartures(const Ledger &ledger, Violations &found)
{
    const Evidence &evidence = ledger.evidence();
    for (const Departure &departure : evidence.departures) {
        const Clock::time_point due = departure.acknowledgedAt + evidence.bounds.drain + Slack;
        for (const ServerEvent &event : evidence.servers) {
            if (event.kind != Kind::Ran || event.server != departure.server || event.at <= due)
                continue;
            const CallerRecord *record = ledger.caller(event.request);
            if (record == nullptr
                || !ledger.isVmCalm(*record, departure.acknowledgedAt, event.at, false)
                || !ledger.isStoreCalm(departure.acknowledgedAt, event.at)
                || !ledger.isServerCalm(event.server, departure.acknowledgedAt, event.at))
                continue;
            found.push_back({"a leaving server gets nothing new",
                             describe(*record) + " ran at " + event.server});
        }
    }
}

/// The requests for each service and the arrivals beyond the first of each request, by time.
struct ServiceTraffic
{
    std::vector<Clock::time_point> requests;
    std::vector<Clock::time_point> extras;
};

std::map<std::string, ServiceTraffic> trafficByService(const Ledger &ledger)
{
    std::map<std::string, ServiceTraffic> traffic;
    std::map<std::string, std::set<std::string>> seen;
    for (const ServerEvent &event : ledger.evidence().servers) {
        if (event.kind != Kind::Arrived)
            continue;
        ServiceTraffic &service = traffic[event.service];
        if (!seen[event.service].insert(event.request).second)
            service.extras.push_back(event.at);
        else if (const CallerRecord *record = ledger.caller(event.request))
            service.requests.push_back(record->sentAt);
    }
    for (auto &[name, service] : traffic) {
        std::sort(service.requests.begin(), service.requests.end());
        std::sort(service.extras.begin(), service.extras.end());
    }
    return traffic;
}

std::size_t countBetween(const std::vector<Clock::time_point> &times, Clock::time_point from,
                         Clock::time_point to)
{
    return static_cast<std::size_t>(std::upper_bound(times.begin(), times.end(), to)
                                    - std::lower_bound(times.begin(), times.end(), from));
}

void checkBudget(const Ledger &ledger, Violations &found)
{
    const Bounds &bounds = ledger.evidence().bounds;
    const Clock::duration window = bounds.retryWindow;
    for (const auto &[name, service] : trafficByService(ledger))
        for (const Clock::time_point end : service.extras) {
            const std::size_t extras = countBetween(service.extras, end - window, end);
            std::size_t requests = 0;
            for (const Clock::duration back : {Clock::duration(0), window / 2, window})
                requests = std::max(
                    requests, countBetween(service.requests, end - window - back, end - back));
            const double allowed =
                bounds.retryRatio * static_cast<double>(requests) + bounds.retrySlack;
            if (static_cast<double>(extras) <= allowed)
                continue;
            found.push_back({"extra arrivals stay within the budget",
                             name + " got " + std::to_string(extras) + " extra arrivals, "
                                 + std::to_string(allowed) + " allowed"});
            break;
        }
}

void checkDropped(const Ledger &ledger, Violations &found)
{
    std::vector<const CallerRecord *> dropped;
    for (const CallerRecord &record : ledger.evidence().callers)
        if (record.end == End::Closed && !ledger.eventsOf(record.id).empty()
            && ledger.isVmCalm(record, record.sentAt, record.endedAt, false))
            dropped.push_back(&record);
    if (dropped.size() > MaxDropped)
        found.push_back({"a request that was passed on is answered",
                         std::to_string(dropped.size()) + " were dropped, first "
                             + describe(*dropped.front())});
}

void checkTimeouts(const Ledger &ledger, Violations &found)
{
    std::size_t due = 0;
    std::size_t late = 0;
    const CallerRecord *first = nullptr;
    for (const CallerRecord &record : ledger.evidence().callers) {
        const milliseconds timeout = ledger.evidence().routes.at(record.route).timeout;
        if (record.end == End::LeftEarly || record.endedAt - record.sentAt < timeout
            || !ledger.isVmCalm(record, record.sentAt, record.endedAt, false))
            continue;
        ++due;
        if (record.endedAt - record.sentAt <= timeout + Slack)
            continue;
        ++late;
        first = first == nullptr ? &record : first;
    }
    if (late >= LateCount && static_cast<double>(late) > LateShare * static_cast<double>(due))
        found.push_back({"a request has its final answer by its timeout",
                         std::to_string(late) + " of " + std::to_string(due)
                             + " had none half a second later, first " + describe(*first)});
}

void checkLeft(const Ledger &ledger, Violations &found)
{
    std::size_t arrivals = 0;
    std::string first;
    for (const ServerEvent &event : ledger.evidence().servers) {
        const CallerRecord *record = ledger.caller(event.request);
        if (event.kind != Kind::Arrived || record == nullptr || record->end != End::LeftEarly
            || event.at <= record->endedAt + Slack
            || !ledger.isVmCalm(*record, record->sentAt, event.at)
            || !ledger.isServerCalm(event.server, record->sentAt, event.at))
            continue;
        ++arrivals;
        first = first.empty() ? describe(*record) : first;
    }
    if (arrivals > MaxArrivalsAfterLeave)
        found.push_back({"nothing is sent on for a caller that has left",
                         std::to_string(arrivals) + " arrivals, first " + first});
}

void checkRecovery(const Ledger &ledger, Violations &found)
{
    const Evidence &evidence = ledger.evidence();
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const CallerRecord &record : evidence.callers) {
        if (record.sentAt < evidence.lastFault + evidence.bounds.recovery
            || record.end == End::LeftEarly)
            continue;
        ++sent;
        served += isSuccess(record) ? 1 : 0;
    }
    if (static_cast<double>(served) < RecoveredShare * static_cast<double>(sent) || sent == 0)
        found.push_back({"service is back once the faults are over",
                         std::to_string(served) + " of " + std::to_string(sent) + " were served"});
}

} // namespace

std::vector<Violation> judge(const Evidence &evidence, Strictness strictness)
{
    const Ledger ledger(evidence);
    Violations found;
    for (const std::string &fault : evidence.processFaults)
        found.push_back({"processes end only when they are told to", fault});
    checkRunOnce(ledger, found);
    checkRefusals(ledger, found);
    checkAnswers(ledger, found);
    checkAsked(ledger, found);
    checkRoutes(ledger, found);
    const std::vector<Handled> handled = handledRequests(ledger);
    checkNeverBack(ledger, handled, found);
    checkBudget(ledger, found);
    checkDropped(ledger, found);
    checkRecovery(ledger, found);
    if (strictness == Strictness::Safety)
        return found;
    checkInForce(ledger, handled, found);
    checkDepartures(ledger, found);
    checkTimeouts(ledger, found);
    checkLeft(ledger, found);
    return found;
}

} // namespace mangoshift::soak
