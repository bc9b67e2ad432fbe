#include "entry/targetdirectory.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <asio/post.hpp>

#include "base/address.h"
#include "base/log.h"
#include "http/httpstatus.h"

namespace mangoshift {

namespace {

/// How long a draining target may still be picked if its service has no other. A target continues
/// to serve for at least its drain time, which is 3 s in the users' deployments, after it has
/// announced the drain.
constexpr std::chrono::milliseconds DrainingPickTime{1000};
/// How many times as much a request costs at a target of another failure domain, and at one to
/// which no connection is kept. As the weight of a target falls with the square of its cost, it is
/// then picked a quarter and a ninth as often as one that is as busy and as fast.
constexpr double FarCost = 2.0;
constexpr double UnconnectedCost = 3.0;
/// Several times the targets of the largest deployment that is designed for.
constexpr std::size_t MaxStandings = 16384;
/// How long a call that other targets could take waits for a permit: some ten times the network's
/// round trip within a failure domain.
constexpr std::chrono::milliseconds MaxProbeWait{10};

} // namespace

TargetDirectory::TargetDirectory(asio::io_context &io, const WireAdapter &adapter, Metrics &metrics,
                                 std::size_t fleetSize,
                                 PermitRequests::RequestFromPool requestFromPool)
    : m_io(io)
    , m_adapter(adapter)
    , m_metrics(metrics)
    , m_sharers{{}, {}, fleetSize}
    , m_standings(MaxStandings)
    , m_permits(io, std::move(requestFromPool))
    , m_permitTimer(io)
    , m_lateTimer(io)
    , m_random(std::random_device{}())
{
}

void TargetDirectory::apply(const std::vector<RegistryChange> &changes, Clock::time_point now)
{
    for (const RegistryChange &change : changes) {
        if (const auto *listed = std::get_if<TargetListed>(&change))
            list(listed->target, now);
        else
            delist(std::get<TargetDelisted>(change).id);
    }
}

void TargetDirectory::list(const RegisteredTarget &target, Clock::time_point now)
{
    const auto known = m_byId.find(target.id);
    if (known != m_byId.end()) {
        TargetHandle &handle = *known->second;
        const bool isSame = handle.info.address == target.address
            && handle.info.startedAt == target.startedAt && handle.info.service == target.service;
        if (isSame) {
            if (target.isDraining && !handle.info.isDraining) {
                handle.drainingSince = now;
                logEvent(LogLevel::Info, "target_draining",
                         {{"target", target.id}, {"service", target.service}});
            }
            const bool isNewReport = target.sequence != handle.info.sequence;
            handle.info = target;
            handle.isMisdirected = false;
            applyEvacuation(handle, now);
            if (isNewReport)
                onWarmupEntry(handle, now);
            return;
        }
        delist(target.id);
    }
    const auto address = parseAddress(target.address);
    if (!address) {
        logEvent(LogLevel::Warning, "target_rejected",
                 {{"target", target.id}, {"field", "address"}, {"why", address.error()}});
        return;
    }
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(address->ip), address->port);
    const ChannelOptions options;
    auto handle =
        std::make_shared<TargetHandle>(m_io, target, endpoint, m_adapter.headers.target, options,
                                       m_counts, m_standings.of(target.id, target.startedAt));
    handle->channels.setOnResponse(
        [this, weak = std::weak_ptr(handle)](const HttpResponse &response,
                                             std::optional<Clock::time_point> sentAt) {
            onNotice(weak, response, sentAt);
        });
    handle->load.setWarmupEnd(now + target.warmupLeft);
    handle->load.setLearnsCapacity(m_policies.learnsCapacity);
    handle->isEvacuated = m_evacuatedDomains.contains(target.failureDomain);
    onWarmupEntry(*handle, now);
    if (target.isDraining)
        handle->drainingSince = now;
    m_byService[target.service].push_back(handle);
    m_byLimitKey[handle->limitKey] = handle;
    m_byId.emplace(target.id, std::move(handle));
    updateConnections(target.service);
    logEvent(LogLevel::Info, "target_listed",
             {{"target", target.id},
              {"service", target.service},
              {"address", target.address},
              {"failure_domain", target.failureDomain}});
}

void TargetDirectory::delist(const TargetId &id)
{
    const auto known = m_byId.find(id);
    if (known == m_byId.end())
        return;
    const TargetHandlePtr handle = known->second;
    m_byId.erase(known);
    m_byLimitKey.erase(handle->limitKey);
    auto &service = m_byService[handle->info.service];
    std::erase(service, handle);
    if (service.empty()) {
        m_byService.erase(handle->info.service);
        m_turns.erase(handle->info.service);
    } else {
        updateConnections(handle->info.service);
    }
    handle->channels.retire();
    m_retired.push_back(handle);
    logEvent(LogLevel::Info, "target_delisted",
             {{"target", id}, {"service", handle->info.service}});
}

void TargetDirectory::setRouting(RoutingTablePtr routing)
{
    m_routing = std::move(routing);
    updateConnections();
    updateWarmupLimits();
}

void TargetDirectory::setFleetSize(std::size_t vms)
{
    if (vms == m_sharers.vms)
        return;
    m_sharers.vms = vms;
    updateConnections();
}

void TargetDirectory::setVm(const VmId &vm, const std::string &failureDomain)
{
    m_sharers.vm = vm;
    m_sharers.failureDomain = failureDomain;
    updateConnections();
}

void TargetDirectory::updateConnections()
{
    for (const auto &[service, handles] : m_byService)
        updateConnections(service);
}

void TargetDirectory::updateConnections(const std::string &service)
{
    const std::vector<TargetHandlePtr> &handles = m_byService.at(service);
    std::vector<const RegisteredTarget *> targets;
    targets.reserve(handles.size());
    for (const TargetHandlePtr &handle : handles)
        targets.push_back(&handle->info);
    const std::size_t limit =
        m_routing ? m_routing->serviceOf(service).maxConnections : m_sharers.vms;
    const std::vector<ConnectionTerms> terms = shareConnections(targets, limit, m_sharers);
    for (std::size_t i = 0; i < handles.size(); ++i) {
        TargetHandle &handle = *handles[i];
        handle.channels.setTerms(terms[i]);
        const bool isNear = handle.info.failureDomain == m_sharers.failureDomain;
        handle.load.setRelativeCost((isNear || m_sharers.failureDomain.empty() ? 1.0 : FarCost)
                                    * (terms[i].keepsIdle ? 1.0 : UnconnectedCost));
    }
}

TargetDirectory::Candidates TargetDirectory::candidates(const ServiceCall &call,
                                                        Clock::time_point now) const
{
    Candidates found;
    std::vector<TargetHandlePtr> returning;
    std::vector<TargetHandlePtr> draining;
    const auto it = m_byService.find(call.service);
    if (it == m_byService.end())
        return found;
    TargetAbsence &absence = found.absence;
    for (const TargetHandlePtr &handle : it->second) {
        if (handle->isMisdirected
            || std::find(call.triedTargets.begin(), call.triedTargets.end(), handle)
                != call.triedTargets.end())
            continue;
        if (handle->standing->isLeaving()) {
            absence.cause = std::max(absence.cause, TargetAbsence::Cause::Leaving);
        } else if (handle->isEvacuated) {
            absence.cause = std::max(absence.cause, TargetAbsence::Cause::Evacuated);
        } else if (!handle->standing->mayReceive(now)) {
            absence.cause = std::max(absence.cause, TargetAbsence::Cause::Paused);
            absence.endsAt = std::min(absence.endsAt.value_or(Clock::time_point::max()),
                                      handle->standing->opensAt());
        } else if (call.leavesOutEjected && handle->load.isEjected()) {
            absence.cause = std::max(absence.cause, TargetAbsence::Cause::Failing);
        } else if (!handle->info.isDraining) {
            (now < handle->returnsAt ? returning : found.handles).push_back(handle);
        } else if (now - handle->drainingSince < DrainingPickTime) {
            draining.push_back(handle);
        }
    }
    if (found.handles.empty())
        found.handles = std::move(returning);
    if (found.handles.empty())
        found.handles = std::move(draining);
    leaveOutSilent(found.handles, call.mayProbeDomain, now);
    const bool hasPermit = call.permit && !call.permit->isExpired(now);
    const auto isClosed = [&call, now](const TargetHandlePtr &handle) {
        const bool isPermitted =
            call.permit && call.permit->target == handle->limitKey && call.permit->isValid(now);
        return !isPermitted && !handle->standing->limit().allowsRequest(now);
    };
    std::copy_if(found.handles.begin(), found.handles.end(), std::back_inserter(found.limited),
                 isClosed);
    std::erase_if(found.handles, isClosed);
    if (found.limited.empty())
        return found;
    absence.cause = std::max(absence.cause, TargetAbsence::Cause::Limited);
    const bool mayGetPermit = call.requestsPermit && now < call.permitLimit;
    if (hasPermit || mayGetPermit)
        absence.endsAt = std::min(absence.endsAt.value_or(Clock::time_point::max()),
                                  hasPermit ? call.permit->validFrom : now);
    return found;
}

bool TargetDirectory::hasOpenTarget(const std::string &service, Clock::time_point now) const
{
    const auto it = m_byService.find(service);
    return it != m_byService.end()
        && std::any_of(it->second.begin(), it->second.end(), [now](const TargetHandlePtr &handle) {
               return isOpen(*handle, now) && !handle->load.isFailing()
                   && !handle->standing->limit().isLimited();
           });
}

bool TargetDirectory::isOpen(const TargetHandle &target, Clock::time_point now)
{
    return !target.isMisdirected && !target.info.isDraining && !target.isEvacuated
        && now >= target.returnsAt && target.standing->mayReceive(now);
}

void TargetDirectory::leaveOutSilent(std::vector<TargetHandlePtr> &handles, bool mayProbe,
                                     Clock::time_point now) const
{
    if (!m_policies.avoidsSilentDomains || m_domainReach.silentDomains(now).empty())
        return;
    const auto isSilent = [this, mayProbe, now](const TargetHandlePtr &handle) {
        const std::string &domain = handle->info.failureDomain;
        return m_domainReach.isSilent(domain, now)
            && !(mayProbe && m_domainReach.isProbeDue(domain, now));
    };
    // Targets that fail themselves are no better than those of a silent domain.
    const bool hasOthers =
        std::any_of(handles.begin(), handles.end(), [&isSilent](const TargetHandlePtr &handle) {
            return !isSilent(handle) && !handle->load.isFailing();
        });
    if (hasOthers)
        std::erase_if(handles, isSilent);
}

bool TargetDirectory::Candidates::areAllEjected() const
{
    return !handles.empty() && limited.empty()
        && std::all_of(handles.begin(), handles.end(),
                       [](const TargetHandlePtr &handle) { return handle->load.isEjected(); });
}

std::optional<TargetAbsence> TargetDirectory::absence(const std::string &service,
                                                      Clock::time_point waitLimit,
                                                      Clock::time_point now) const
{
    if (hasOpenTarget(service, now))
        return std::nullopt;
    ServiceCall call;
    call.service = service;
    call.leavesOutEjected = true;
    call.waitLimit = waitLimit;
    const Candidates found = candidates(call, now);
    if (!found.handles.empty() || !found.limited.empty() || mayWaitFor(found.absence, call))
        return std::nullopt;
    return found.absence;
}

void TargetDirectory::onNotice(const std::weak_ptr<TargetHandle> &target,
                               const HttpResponse &response,
                               std::optional<Clock::time_point> sentAt)
{
    const TargetHandlePtr handle = target.lock();
    // Another target has responded at the address.
    if (!handle || response.status == httpstatus::MisdirectedRequest)
        return;
    const TargetNotice notice = m_adapter.decodeNotice(response);
    const Clock::time_point now = Clock::now();
    onDomainResponse(*handle, now);
    // A response that is not the target's own does not end its limit.
    const bool isOwn = !isSpoilt(response, m_adapter.headers);
    if (notice.load && isOwn)
        handle->load.onStatedLoad(*notice.load, now);
    onLimitNotice(*handle, notice, isOwn ? sentAt : std::nullopt, now);
    onWarmupNotice(*handle, notice, isOwn ? sentAt : std::nullopt, now);
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    if (!handle->standing->onNotice(notice, draw(m_random), now))
        return;
    const bool isLeaving = handle->standing->isLeaving();
    m_metrics.targetNotices.Add({{"kind", isLeaving ? "leaving" : "pause"}}).Increment();
    logEvent(LogLevel::Info, isLeaving ? "target_leaving" : "target_pauses",
             {{"target", handle->info.id},
              {"service", handle->info.service},
              {"pause_ms", std::to_string(notice.pause.count())}});
    handle->channels.dropWaiting();
    if (isLeaving)
        handle->channels.retire();
    // The target may have little capacity when it returns.
    handle->load.resetLimit();
    // Posted, because calls of the target may still be ending.
    asio::post(m_io,
               [this, service = handle->info.service] { reviewWaiting(service, Clock::now()); });
}

TargetHandlePtr TargetDirectory::pick(const std::vector<TargetHandlePtr> &handles,
                                      Clock::time_point now)
{
    if (TargetHandlePtr due = dueLimitedTarget(handles, now))
        return due;
    std::vector<TargetHandlePtr> free;
    std::vector<const TargetLoad *> loads;
    for (const TargetHandlePtr &handle : handles)
        if (handle->load.hasCapacity()) {
            free.push_back(handle);
            loads.push_back(&handle->load);
        }
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    const auto picked = pickTarget(loads, now, draw(m_random));
    return picked ? free[*picked] : nullptr;
}

CallOutcome TargetDirectory::call(ServiceCall call, Clock::time_point now)
{
    const Candidates found = candidates(call, now);
    if (found.handles.empty() && !mayWaitFor(found.absence, call))
        return {CallState::NoTarget, found.absence};
    const std::vector<TargetHandlePtr> doubted = recordChoice(found, call, now);
    if (!doubted.empty()) {
        probeLimits(doubted, call.service, call.request, call.priority, now);
        call.probesUntil = now + MaxProbeWait;
        armLateTimer(call.waitingTerms().latestStart());
        m_waiting[call.service].push_back(std::move(call));
        armPermitTimer(now);
        return {CallState::Waiting, {}};
    }
    const TargetHandlePtr target = pick(found.handles, now);
    if (target && send(target, call))
        return {CallState::Sent, {}};
    if (!call.canWait)
        return {CallState::NoFreeSlot, {}};
    call.isStalled = found.areAllEjected();
    const CallOutcome outcome{CallState::Waiting, {}, call.isStalled};
    const std::string service = call.service;
    if (const auto refusal = enqueue(std::move(call), !found.handles.empty(), now))
        return {CallState::NoTarget, *refusal};
    if (!found.limited.empty())
        requestPermitsForWaiting(service, now);
    return outcome;
}

bool TargetDirectory::send(const TargetHandlePtr &target, ServiceCall &call)
{
    // The oldest permit is used first, whichever call it was granted for.
    if (call.permit)
        addSparePermit(*std::exchange(call.permit, std::nullopt));
    TargetLimit &limit = target->standing->limit();
    const Clock::time_point now = Clock::now();
    // The permit may have expired since the target was picked.
    if (!limit.allowsRequest(now))
        return false;
    const auto number = target->channels.call(
        call.request,
        [this, target, expected = call.expectedLatency,
         onEnded = call.onEnded](TargetCallResult reply) {
            onCallEnded(target, expected, reply);
            onEnded(target, std::move(reply));
            sendWaiting(target->info.service, Clock::now());
        },
        call.onFirstByte, limit.permitEnd(now));
    if (!number)
        return false;
    m_domainReach.onSent(target->info.failureDomain, now);
    limit.onSent(now);
    target->limitShare.onSent();
    target->load.onSent();
    call.onSent(target, *number);
    return true;
}

void TargetDirectory::sweep(Clock::time_point now)
{
    for (const auto &[id, handle] : m_byId)
        handle->channels.sweep(now);
    for (const TargetHandlePtr &handle : m_retired)
        handle->channels.sweep(now);
    m_permits.sweep(now);
    endWarmups(now);
    std::vector<std::string> services;
    for (const auto &[service, waiting] : m_waiting)
        services.push_back(service);
    for (const std::string &service : services) {
        reviewWaiting(service, now);
        requestPermitsForWaiting(service, now);
    }
    requestSharesOfLimits(now);
    updateLimitMetrics(now);
    reportCapacity(now);
    reviewCapacities(now);
    std::erase_if(m_retired,
                  [](const TargetHandlePtr &handle) { return handle->channels.isIdle(); });
}

std::size_t TargetDirectory::countReachableServices(const std::vector<std::string> &services) const
{
    const auto isReachable = [](const TargetHandlePtr &handle) {
        return !handle->isMisdirected && !handle->info.isDraining && !handle->isEvacuated
            && !handle->standing->isLeaving() && !handle->load.isUnresponsive();
    };
    return static_cast<std::size_t>(
        std::count_if(services.begin(), services.end(), [&](const std::string &service) {
            const auto it = m_byService.find(service);
            return it != m_byService.end()
                && std::any_of(it->second.begin(), it->second.end(), isReachable);
        }));
}

std::size_t TargetDirectory::openConnections() const
{
    std::size_t open = 0;
    for (const auto &[id, handle] : m_byId)
        open += handle->channels.openConnections();
    return open;
}

} // namespace mangoshift
