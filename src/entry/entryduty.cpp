#include "entry/entryduty.h"

#include <algorithm>
#include <cstdint>
#include <future>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/atexit.h"
#include "base/jsontext.h"
#include "base/log.h"
#include "http/httpstatus.h"
#include "mangoshift/arrivalcheck.h"

namespace mangoshift {

namespace {

constexpr std::size_t RingCapacity = 4096;
/// How often timeouts are checked, which is also their resolution.
constexpr std::chrono::milliseconds SweepInterval{100};
/// How long a leaving VM accepts new connections: the balancer checks once a second and removes a
/// VM after two failed checks.
constexpr std::chrono::milliseconds AcceptWhileLeaving{2300};
/// A request that is still pending this long before the leave deadline receives a final response.
constexpr std::chrono::milliseconds FinalResponseMargin{400};
constexpr std::size_t MaxBalancerConnections = 64;
/// A leaving VM takes a request if the request lasts as long as this share of its route's recent
/// ones.
constexpr double UsualQuantile = 0.99;
constexpr std::uint32_t MinUsualSamples = 30;
/// When the caller of a request that a leaving VM does not take should repeat it: another VM serves
/// it at once.
constexpr std::chrono::milliseconds LeavingRetryAfter{20};

/// Returns a target's limit; null if it has none.
nlohmann::json limitJson(const TargetLimit &limit)
{
    return limit.value() ? nlohmann::json(*limit.value()) : nlohmann::json();
}

nlohmann::json outlookJson(const TargetOutlook &outlook)
{
    return {{"slowness", outlook.slowness},
            {"loss_rate", outlook.lossRate},
            {"weight", outlook.weight},
            {"unresponsive", outlook.isUnresponsive},
            {"age_ms", outlook.age.count()}};
}

/// Returns for how many milliseconds a target is still cold; zero if it is not, or if its service
/// states no rate for cold targets.
std::int64_t coldMs(const TargetLimit &limit, Clock::time_point now)
{
    if (!limit.isCold())
        return 0;
    return std::max<std::int64_t>(
        0, std::chrono::duration_cast<std::chrono::milliseconds>(limit.coldUntil() - now).count());
}

} // namespace

EntryDuty::EntryDuty(const EntrySettings &settings, const WireAdapter &adapter, Metrics &metrics,
                     const EntrySinks &sinks)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_duty("entry", RingCapacity)
    , m_state{m_duty.io(),
              adapter,
              metrics,
              TargetDirectory(m_duty.io(), adapter, metrics, settings.assumedVms,
                              sinks.requestPermits),
              {},
              RetryBudgets(m_duty.io(), settings.retryBudget, settings.assumedVms,
                           sinks.requestFromPool),
              settings.replyMargin}
    , m_pingOtherDomains(sinks.pingOtherDomains)
    , m_filters(adapter.headers)
    , m_callers(m_duty.io(), settings.maxCallerConnections, callerEvents())
    , m_balancer(m_duty.io(), MaxBalancerConnections, readyEvents())
    , m_sweepTimer(m_duty.io())
{
    m_state.directory.setVm(settings.vm, settings.failureDomain);
    m_state.directory.setPolicies(settings.targetPolicies);
    m_state.directory.setReportCapacity(sinks.reportCapacity);
    m_state.directory.setWarmup({settings.warmupBound.overshoot, settings.warmupBound.slack,
                                 settings.failureDomains.size()},
                                settings.targetReportInterval);
}

EntryDuty::~EntryDuty()
{
    stop();
}

bool EntryDuty::start()
{
    if (!m_callers.listen(m_settings.callerAddress)) {
        logEvent(LogLevel::Error, "listen_failed", {{"field", "caller_address"}});
        return false;
    }
    if (!m_balancer.listen(m_settings.readyAddress)) {
        logEvent(LogLevel::Error, "listen_failed", {{"field", "ready_address"}});
        return false;
    }
    armSweep();
    m_duty.start([this](Message &message) { handle(message); });
    return true;
}

void EntryDuty::stop()
{
    m_duty.stop();
    // Its thread may have had no turn since the final responses came due. Now that it has ended,
    // everything may be used from here.
    m_isLeaving = true;
    m_leaveDeadline = Clock::now();
    m_callers.closeAfterResponses();
    endRequests();
}

void EntryDuty::setRouting(RoutingTablePtr routing)
{
    m_duty.postLatest(RoutingChanged{std::move(routing)});
}

void EntryDuty::applyTargets(std::vector<RegistryChange> changes)
{
    m_duty.postLatest(TargetsChanged{std::move(changes)});
}

void EntryDuty::setEvacuatedDomains(std::set<std::string> failureDomains)
{
    m_duty.postLatest(EvacuationsChanged{std::move(failureDomains)});
}

void EntryDuty::setFleetSize(std::size_t vms)
{
    m_duty.postLatest(FleetSize{vms});
}

void EntryDuty::onBudgetGrants(BudgetGrants grants)
{
    // A grant that is lost is not used; the requests that wait for it go on without it.
    if (!m_duty.tryPost(std::move(grants)))
        logEvent(LogLevel::Error, "ring_full", {{"duty", m_duty.name()}});
}

void EntryDuty::onPermits(PermitReply reply)
{
    // Permits that are lost are not used; what waits for them is denied after a time.
    if (!m_duty.tryPost(std::move(reply)))
        logEvent(LogLevel::Error, "ring_full", {{"duty", m_duty.name()}});
}

void EntryDuty::onOutlooks(CapacityOutlooks outlooks)
{
    // The pool sends outlooks again while they matter.
    if (!m_duty.tryPost(std::move(outlooks)))
        logEvent(LogLevel::Error, "ring_full", {{"duty", m_duty.name()}});
}

void EntryDuty::onOtherDomainContact()
{
    m_duty.postLatest(OtherDomainContact{});
}

void EntryDuty::applySettings(ReloadableSettings settings)
{
    m_duty.postLatest(settings);
}

void EntryDuty::setRegistryListed()
{
    m_duty.postLatest(RegistryListed{});
}

void EntryDuty::handle(Message &message)
{
    std::visit(
        Overloaded{[this](RoutingChanged &changed) {
                       m_routing = std::move(changed.routing);
                       m_state.directory.setRouting(m_routing);
                       m_callers.setLimits(m_routing->document().limits);
                       m_state.metrics.configVersion.Set(static_cast<double>(m_routing->version()));
                       updateReady();
                   },
                   [this](TargetsChanged &changed) {
                       m_state.directory.apply(changed.changes, Clock::now());
                   },
                   [this](EvacuationsChanged &changed) {
                       m_state.directory.setEvacuatedDomains(std::move(changed.failureDomains),
                                                             Clock::now());
                   },
                   [this](RegistryListed &) {
                       m_isRegistryListed = true;
                       updateReady();
                   },
                   [this](FleetSize &fleet) { m_state.growFleet(fleet.vms); },
                   [this](BudgetGrants &grants) { m_state.budgets.onGrants(grants); },
                   [this](PermitReply &reply) { m_state.directory.onPermits(reply); },
                   [this](CapacityOutlooks &outlooks) {
                       m_state.directory.onOutlooks(outlooks, Clock::now());
                   },
                   [this](ReloadableSettings &settings) {
                       m_state.replyMargin = settings.replyMargin;
                       m_state.budgets.setTerms(settings.retryBudget);
                   },
                   [this](OtherDomainContact &) {
                       m_state.reachMonitor.onOtherDomainContact(Clock::now());
                       updateReady();
                   },
                   [this](Leave &leave) {
                       m_isLeaving = true;
                       m_leavingSince = Clock::now();
                       m_leaveDeadline = leave.deadline;
                       m_callers.closeAfterResponses();
                       updateReady();
                   },
                   [this](StateRequest &request) { request.reply(stateJson()); }},
        message);
}

void EntryDuty::updateReady()
{
    const bool isCutOff = m_state.reachMonitor.isCutOff();
    const bool isReady = m_routing && m_isRegistryListed && !m_isLeaving && !isCutOff;
    m_state.metrics.ready.Set(isReady ? 1 : 0);
    if (m_isReady.exchange(isReady) != isReady)
        logEvent(LogLevel::Info, isReady ? "vm_ready" : "vm_not_ready",
                 {{"config_version", std::to_string(m_routing ? m_routing->version() : 0)},
                  {"targets", std::to_string(m_state.directory.targetCount())},
                  {"leaving", m_isLeaving ? "true" : "false"},
                  {"cut_off", isCutOff ? "true" : "false"}});
}

bool EntryDuty::canServeSomeFanOut() const
{
    bool hasFanOut = false;
    for (const Route &route : m_routing->document().routes) {
        const auto *fanOut = std::get_if<FanOutTo>(&route.destination);
        if (fanOut == nullptr)
            continue;
        hasFanOut = true;
        if (m_state.directory.countReachableServices(fanOut->shards) >= fanOut->minShards())
            return true;
    }
    return !hasFanOut;
}

void EntryDuty::updateReachability(Clock::time_point now)
{
    if (!m_routing)
        return;
    if (m_state.reachMonitor.onTargetReach(canServeSomeFanOut(), now))
        m_pingOtherDomains();
    updateReady();
}

CallerEvents EntryDuty::callerEvents()
{
    CallerEvents events;
    events.onRequest = [this](const CallerConnectionPtr &connection, HttpRequest http) {
        onRequest(connection, std::move(http));
    };
    events.onCallerDisconnected = [this](const CallerConnectionPtr &connection,
                                         ConnectionEnd::Cause cause) {
        const auto it = m_exchanges.find(connection);
        if (it == m_exchanges.end())
            return;
        const std::shared_ptr<RequestExchange> exchange = it->second;
        exchange->onCallerDisconnected(cause);
    };
    events.onCallerFinished = [this](const CallerConnectionPtr &connection) {
        const auto it = m_exchanges.find(connection);
        if (it == m_exchanges.end())
            return;
        const std::shared_ptr<RequestExchange> exchange = it->second;
        exchange->onCallerFinished();
    };
    events.onEnded = [this](const ConnectionEnd &end) { onConnectionEnded(end); };
    events.onRejected = [](int status) {
        logEvent(LogLevel::Info, "request_rejected", {{"status", std::to_string(status)}});
    };
    return events;
}

void EntryDuty::onConnectionEnded(const ConnectionEnd &end)
{
    m_state.metrics.callerConnectionsEnded
        .Add({{"cause", std::string(toString(end.cause))},
              {"phase", std::string(toString(end.phase))}})
        .Increment();
    // A request that is being processed is reported by its exchange.
    if (end.phase != CallerPhase::Answering && end.unusedBytes == 0)
        return;
    logEvent(LogLevel::Info, "caller_connection_ended",
             {{"cause", std::string(toString(end.cause))},
              {"phase", std::string(toString(end.phase))},
              {"unused_bytes", std::to_string(end.unusedBytes)},
              {"config_version", std::to_string(m_routing ? m_routing->version() : 0)}});
}

CallerEvents EntryDuty::readyEvents()
{
    CallerEvents events;
    events.onRequest = [this](const CallerConnectionPtr &connection, const HttpRequest &http) {
        onReadyRequest(connection, http);
    };
    events.onCallerDisconnected = [](const CallerConnectionPtr &, ConnectionEnd::Cause) {};
    events.onRejected = [](int) {};
    return events;
}

void EntryDuty::onReadyRequest(const CallerConnectionPtr &connection, const HttpRequest &http)
{
    HttpResponse response;
    if (http.target == m_adapter.readyPath)
        response.status = m_isReady ? httpstatus::Ok : httpstatus::ServiceUnavailable;
    else
        response.status = httpstatus::NotFound;
    connection->respond(std::move(response));
}

void EntryDuty::onRequest(const CallerConnectionPtr &connection, HttpRequest http)
{
    IncomingRequest request;
    request.connection = connection;
    request.http = std::move(http);
    request.receivedAt = Clock::now();
    request.way = connection->way();
    // No request can be sent without the list of targets, even if a configuration is in force.
    if (m_isRegistryListed)
        request.routing = m_routing;
    if (const auto rejection = m_filters.apply(request)) {
        reject(request, *rejection);
        return;
    }
    if (m_isLeaving && !canFinishBeforeLeaving(request)) {
        reject(request,
               {httpstatus::ServiceUnavailable,
                {Execution::NotRun, Reason::Draining, LeavingRetryAfter}});
        return;
    }
    const auto exchange = std::make_shared<RequestExchange>(
        m_state, std::move(request),
        [this](const std::shared_ptr<RequestExchange> &ended) { onFinished(ended); });
    m_exchanges.emplace(connection, exchange);
    exchange->start();
}

bool EntryDuty::canFinishBeforeLeaving(const IncomingRequest &request)
{
    const Route &route = *request.route;
    const LatencyDigest &latencies = m_state.routes[route.name].partLatencies;
    std::vector<std::string> services;
    if (const auto *fanOut = std::get_if<FanOutTo>(&route.destination))
        services = fanOut->shards;
    else
        for (const auto &share : std::get<ForwardTo>(route.destination).services)
            services.push_back(share.service);
    const Clock::duration typical = latencies.quantile(0.5);
    DurationOutlook outlook{latencies.quantile(UsualQuantile), route.latencyTarget,
                            request.deadline - request.receivedAt};
    Clock::duration wait{};
    for (const std::string &service : services) {
        wait = std::max(wait, m_state.directory.expectedWait(service, typical, request.receivedAt));
        if (!m_state.directory.hasFreeSlot(service, request.receivedAt))
            wait = std::max(wait, typical);
        const auto slowed = std::chrono::duration_cast<Clock::duration>(
            typical * m_state.directory.leastSlowness(service, request.receivedAt));
        outlook.usual = std::max(outlook.usual, slowed);
    }
    // A few responses tell too little of the slowest ones.
    if (latencies.samples() < MinUsualSamples)
        outlook.usual = std::max(outlook.usual, outlook.target);
    outlook.usual += wait;
    return canFinishBeforeStop(m_leaveDeadline - FinalResponseMargin - request.receivedAt, outlook);
}

void EntryDuty::reject(const IncomingRequest &request, const Rejection &rejection)
{
    m_state.metrics.refusals.Add({{"reason", std::string(toString(rejection.verdict.reason))}})
        .Increment();
    logEvent(LogLevel::Info, "request_rejected",
             {{"request", request.id},
              {"host", std::string(request.http.headers.value("host"))},
              {"path", request.http.target},
              {"config_version", std::to_string(request.routing ? request.routing->version() : 0)},
              {"status", std::to_string(rejection.status)},
              {"reason", std::string(toString(rejection.verdict.reason))}});
    request.connection->respond(failureResponse(rejection.status, rejection.verdict));
}

void EntryDuty::onFinished(const std::shared_ptr<RequestExchange> &exchange)
{
    m_exchanges.erase(exchange->request().connection);
}

void EntryDuty::armSweep()
{
    m_sweepTimer.expires_after(SweepInterval);
    m_sweepTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        const AtExit next([this] { armSweep(); });
        sweep();
    });
}

void EntryDuty::sweep()
{
    const Clock::time_point now = Clock::now();
    m_callers.sweep(now);
    m_balancer.sweep(now);
    m_state.directory.sweep(now);
    m_state.budgets.sweep(now);
    updateReachability(now);
    m_state.metrics.requestsInFlight.Set(static_cast<double>(m_exchanges.size()));
    updateLogMetrics();
    if (m_isLeaving)
        sweepLeaving(now);
}

void EntryDuty::updateLogMetrics()
{
    double total = 0;
    for (const auto &[event, count] : droppedLogLinesByEvent()) {
        const auto lines = static_cast<double>(count);
        auto &counter = m_state.metrics.droppedLogLinesByEvent.Add({{"event", event}});
        counter.Increment(lines - counter.Value());
        total += lines;
    }
    m_state.metrics.droppedLogLines.Set(total);
}

void EntryDuty::sweepLeaving(Clock::time_point now)
{
    if (now - m_leavingSince < AcceptWhileLeaving && now < m_leaveDeadline - FinalResponseMargin)
        return;
    if (now >= m_leaveDeadline - FinalResponseMargin) {
        endRequests();
    } else {
        m_callers.stopAccepting();
        m_callers.closeIdle();
    }
    if (m_callers.connections() == 0)
        m_hasLeft = true;
}

void EntryDuty::endRequests()
{
    m_callers.stopAccepting();
    m_callers.closeIdle();
    const auto exchanges = m_exchanges;
    // The response to one request makes room at its target, which no other may use any more.
    for (const auto &[connection, exchange] : exchanges)
        exchange->endSending(Reason::Draining);
    for (const auto &[connection, exchange] : exchanges)
        exchange->finishNow(Reason::Draining);
}

std::string EntryDuty::stateJson() const
{
    nlohmann::json state;
    state["ready"] = m_isReady.load();
    state["leaving"] = m_isLeaving;
    state["cut_off"] = m_state.reachMonitor.isCutOff();
    state["config_version"] = m_routing ? m_routing->version() : 0;
    state["caller_connections"] = m_callers.connections();
    state["accept_failures"] = m_callers.acceptFailures();
    state["requests_under_way"] = m_exchanges.size();
    state["fleet_size"] = m_state.budgets.fleetSize();
    state["target_connections"] = m_state.directory.openConnections();
    const ChannelCounts &counts = m_state.directory.counts();
    state["connections_since_start"] = {{"opened", counts.opened},
                                        {"not_made", counts.connectFailures},
                                        {"lost", counts.lost},
                                        {"malformed_answers", counts.malformed},
                                        {"foreign_answers", counts.unexpectedResponses},
                                        {"gone_silent", counts.silent}};
    state["log_lines_left_out"] = droppedLogLines();
    state["log_lines_left_out_by_event"] = droppedLogLinesByEvent();
    const Clock::time_point now = Clock::now();
    for (const auto &[id, handle] : m_state.directory.targets()) {
        state["targets"][id] = {{"service", handle->info.service},
                                {"in_flight", handle->load.inFlight()},
                                {"limit", handle->load.limit()},
                                {"misdirected", handle->isMisdirected},
                                {"slowness", handle->load.slowness(now)},
                                {"avoided", handle->load.isAvoided(now)},
                                {"failing", handle->load.isFailing()},
                                {"draining", handle->info.isDraining},
                                {"leaving", handle->standing->isLeaving()},
                                {"paused", !handle->standing->mayReceive(now)},
                                {"limit_per_s", limitJson(handle->standing->limit())},
                                {"cold_ms", coldMs(handle->standing->limit(), now)},
                                {"permits", handle->standing->limit().permits(now)}};
        if (const auto outlook = m_state.directory.outlook(*handle, now))
            state["targets"][id]["outlook"] = outlookJson(*outlook);
        if (const TargetCapacity *capacity = handle->load.capacity()) {
            state["targets"][id]["capacity"] = capacity->concurrency();
            state["targets"][id]["confidence"] = capacity->confidence(now);
            state["targets"][id]["slow"] = capacity->isSlow();
        }
    }
    for (const auto &[name, route] : m_state.routes)
        state["routes"][name] = {
            {"samples", route.partLatencies.samples()},
            {"reply_lead_us",
             std::chrono::duration_cast<std::chrono::microseconds>(route.replyLead.estimate())
                 .count()},
            {"part_p50_us", route.partLatencies.quantile(0.5).count()},
            {"part_p90_us", route.partLatencies.quantile(0.9).count()}};
    return jsonText(state);
}

} // namespace mangoshift
