// The part of the target directory that keeps to the limits which targets name.

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include <asio/post.hpp>

#include "base/log.h"
#include "entry/targetdirectory.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// Permits are requested for this many waiting calls to a service at a time.
constexpr std::size_t MaxAsksAtOnce = 8;
/// The longest wait for a permit that is asked for.
constexpr Clock::duration MaxPermitWait = std::chrono::hours(1);
constexpr milliseconds MetricsInterval{1000};

/// Returns whether a target has named no limit.
bool hasUnlimited(const std::vector<TargetHandlePtr> &handles)
{
    return std::any_of(handles.begin(), handles.end(),
                       [](const auto &handle) { return !handle->standing->limit().isLimited(); });
}

HeardLimit heardLimit(const TargetHandle &target, Clock::time_point now)
{
    const TargetLimit &limit = target.standing->limit();
    return {target.limitKey, limit.value(),
            std::chrono::duration_cast<milliseconds>(limit.age(now))};
}

std::vector<HeardLimit> limitedPart(const std::vector<TargetHandlePtr> &targets,
                                    Clock::time_point now)
{
    std::vector<HeardLimit> part;
    part.reserve(targets.size());
    for (const TargetHandlePtr &target : targets)
        part.push_back(heardLimit(*target, now));
    return part;
}

} // namespace

std::optional<PermitAsk> TargetDirectory::neededPermits(const std::vector<std::string> &services,
                                                        std::size_t minParts,
                                                        std::uint32_t priority,
                                                        Clock::time_point now) const
{
    PermitAsk ask;
    ask.priority = priority;
    std::size_t openParts = 0;
    for (const std::string &service : services) {
        if (hasOpenTarget(service, now)) {
            ++openParts;
            continue;
        }
        ServiceCall call;
        call.service = service;
        const Candidates found = candidates(call, now);
        if (!found.handles.empty())
            ++openParts;
        else if (!found.limited.empty())
            ask.parts.push_back(limitedPart(found.limited, now));
    }
    ask.neededParts = ask.parts.size();
    ask.required = minParts > openParts ? minParts - openParts : 0;
    return ask.parts.empty() ? std::nullopt : std::optional(std::move(ask));
}

bool TargetDirectory::isClosedByLimits(const std::string &service, Clock::time_point now) const
{
    ServiceCall call;
    call.service = service;
    const Candidates found = candidates(call, now);
    return found.handles.empty() && !found.limited.empty();
}

void TargetDirectory::requestPermits(PermitAsk ask, OnPermits onPermits, Clock::time_point now)
{
    // A cold target takes little. What is granted ahead of its time to the requests that are not
    // urgent, which are more, would leave the urgent ones without permits.
    const auto isCold = [this](const HeardLimit &heard) {
        const auto target = m_byLimitKey.find(heard.target);
        return target != m_byLimitKey.end() && target->second->standing->limit().isCold();
    };
    if (ask.priority > 0
        && std::any_of(ask.parts.begin(), ask.parts.end(), [&isCold](const auto &part) {
               return std::any_of(part.begin(), part.end(), isCold);
           }))
        ask.maxWait = milliseconds(0);
    m_permits.request(
        std::move(ask),
        [this, onPermits = std::move(onPermits)](const PermitOutcome &outcome) {
            const Clock::time_point grantedAt = Clock::now();
            std::vector<HeldPermit> permits;
            for (const Permit &permit : outcome.permits)
                permits.push_back({permit.target, grantedAt + permit.validIn});
            m_metrics.permitAsks.Add({{"outcome", outcome.isGranted ? "granted" : "denied"}})
                .Increment();
            onPermits(outcome, permits);
            armPermitTimer(grantedAt);
        },
        now);
}

void TargetDirectory::addSparePermit(const HeldPermit &permit)
{
    if (const auto target = m_byLimitKey.find(permit.target); target != m_byLimitKey.end())
        target->second->standing->limit().addPermit(permit.validFrom, Clock::now());
}

std::string TargetDirectory::serviceOf(const HeldPermit &permit) const
{
    const auto target = m_byLimitKey.find(permit.target);
    return target == m_byLimitKey.end() ? std::string() : target->second->info.service;
}

void TargetDirectory::requestPermitsForWaiting(const std::string &service, Clock::time_point now)
{
    const auto waiting = m_waiting.find(service);
    if (waiting == m_waiting.end() || m_servicesAwaitingPermits.contains(service))
        return;
    std::vector<std::pair<ForwardedRequestPtr, PermitAsk>> asks;
    for (const ServiceCall &call : waiting->second) {
        const bool hasPermit = call.permit && !call.permit->isExpired(now);
        if (hasPermit || !call.requestsPermit || now < call.probesUntil || now >= call.permitLimit
            || now < call.permitRetryAt || asks.size() == MaxAsksAtOnce)
            continue;
        const Candidates found = candidates(call, now);
        if (found.limited.empty())
            continue;
        const auto maxWait = std::chrono::duration_cast<milliseconds>(
            std::min<Clock::duration>(call.permitLimit - now, MaxPermitWait));
        asks.emplace_back(
            call.request,
            PermitAsk{call.priority, 1, 1, maxWait, {limitedPart(found.limited, now)}});
    }
    if (asks.empty())
        return;
    m_servicesAwaitingPermits.insert(service);
    const ForwardedRequestPtr last = asks.back().first;
    for (auto &[request, ask] : asks)
        requestPermits(
            std::move(ask),
            [this, service, request = request, isLast = request == last](
                const PermitOutcome &outcome, const std::vector<HeldPermit> &permits) {
                onPermitOutcome(service, request, outcome, permits);
                if (!isLast)
                    return;
                m_servicesAwaitingPermits.erase(service);
                const Clock::time_point repliedAt = Clock::now();
                reviewWaiting(service, repliedAt);
                // Without a reply the rest asks at the next sweep.
                if (outcome.isGranted || outcome.opensIn)
                    requestPermitsForWaiting(service, repliedAt);
            },
            now);
}

void TargetDirectory::onPermitOutcome(const std::string &service,
                                      const ForwardedRequestPtr &request,
                                      const PermitOutcome &outcome,
                                      const std::vector<HeldPermit> &permits)
{
    std::vector<ServiceCall> &waiting = m_waiting[service];
    const auto call =
        std::find_if(waiting.begin(), waiting.end(),
                     [&request](const ServiceCall &each) { return each.request == request; });
    if (call == waiting.end()) {
        for (const HeldPermit &permit : permits)
            addSparePermit(permit);
    } else if (!permits.empty()) {
        call->permit = permits.front();
    } else if (outcome.opensIn) {
        const Clock::time_point now = Clock::now();
        call->permitRetryAt = now + *outcome.opensIn;
        if (!candidates(*call, now).handles.empty())
            return;
        const ServiceCall ended = std::move(*call);
        waiting.erase(call);
        ended.onNoTarget({TargetAbsence::Cause::Limited, now + *outcome.opensIn});
    }
}

void TargetDirectory::armPermitTimer(Clock::time_point now)
{
    Clock::time_point next = Clock::time_point::max();
    for (const auto &[service, waiting] : m_waiting)
        for (const ServiceCall &call : waiting) {
            if (call.permit && call.permit->validFrom > now)
                next = std::min(next, call.permit->validFrom);
            if (call.probesUntil > now)
                next = std::min(next, call.probesUntil);
        }
    if (next == Clock::time_point::max())
        return;
    m_permitTimer.expires_at(next);
    m_permitTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        const Clock::time_point at = Clock::now();
        std::vector<std::string> services;
        for (const auto &[service, waiting] : m_waiting)
            services.push_back(service);
        for (const std::string &service : services)
            sendWaiting(service, at);
        armPermitTimer(at);
    });
}

void TargetDirectory::onLimitNotice(TargetHandle &target, const TargetNotice &notice,
                                    std::optional<Clock::time_point> sentAt, Clock::time_point now)
{
    using Change = TargetLimit::Change;
    const bool wasInDoubt = LimitShare::isInDoubt(target.standing->limit(), now);
    const std::optional<double> limit = notice.limit;
    const std::optional<double> before = target.standing->limit().value();
    const Change change = notice.isLimitUnreadable
        ? target.standing->limit().onUnreadable(sentAt, now)
        : target.standing->limit().onResponse(limit, sentAt, now);
    if (change == Change::Unreadable) {
        logEvent(LogLevel::Warning, "target_limit_unreadable",
                 {{"target", target.info.id},
                  {"service", target.info.service},
                  {"limit_per_s", std::to_string(*target.standing->limit().named())}});
        return;
    }
    if (change == Change::None) {
        // No other VM needs to ask the target meanwhile.
        if (wasInDoubt && limit)
            reportLimit(target, now);
        return;
    }
    const char *event = change == Change::Ended ? "target_limit_ended"
        : change == Change::Named               ? "target_limit_named"
                                                : "target_limit_changed";
    logEvent(LogLevel::Info, event,
             {{"target", target.info.id},
              {"service", target.info.service},
              {"limit_per_s", limit ? std::to_string(*limit) : ""}});
    if (change != Change::Ended) {
        m_metrics.targetNotices.Add({{"kind", "limit"}}).Increment();
        // No permit for this limit was used for the calls that wait for a connection.
        if (!before || limit < before)
            target.channels.dropWaiting();
        reportLimit(target, now);
        return;
    }
    // The load comes back as to a target that returns, one request at a time at first.
    target.load.resetLimit();
    reportLimit(target, now);
    // Posted, because calls of the target may still be ending.
    asio::post(m_io,
               [this, service = target.info.service] { reviewWaiting(service, Clock::now()); });
}

void TargetDirectory::reportLimit(const TargetHandle &target, Clock::time_point now)
{
    requestSparePermits({{heardLimit(target, now)}}, now);
}

void TargetDirectory::requestSparePermits(std::vector<std::vector<HeardLimit>> parts,
                                          Clock::time_point now)
{
    m_permits.request(
        {SparePriority, 0, 0, milliseconds(0), std::move(parts)},
        [this](const PermitOutcome &outcome) {
            const Clock::time_point grantedAt = Clock::now();
            for (const Permit &permit : outcome.permits)
                addSparePermit({permit.target, grantedAt + permit.validIn});
        },
        now);
}

std::vector<TargetHandlePtr> TargetDirectory::recordChoice(const Candidates &found,
                                                           const ServiceCall &call,
                                                           Clock::time_point now)
{
    std::vector<TargetHandlePtr> doubted;
    if (!hasUnlimited(found.handles))
        return doubted;
    const double part = 1.0 / static_cast<double>(found.handles.size() + found.limited.size());
    for (const TargetHandlePtr &handle : found.handles)
        if (handle->standing->limit().isLimited())
            handle->limitShare.onChoice(part, now);
    for (const TargetHandlePtr &handle : found.limited) {
        handle->limitShare.onChoice(part, now);
        if (call.canWait && !call.permit && handle->load.hasCapacity()
            && !handle->load.isAvoided(now)
            && handle->limitShare.startProbe(handle->standing->limit(), now))
            doubted.push_back(handle);
    }
    return doubted;
}

void TargetDirectory::probeLimits(const std::vector<TargetHandlePtr> &targets,
                                  const std::string &service, const ForwardedRequestPtr &request,
                                  std::uint32_t priority, Clock::time_point now)
{
    // Any one of the targets will do; the others are asked for by the requests after this one.
    m_permits.request(
        {std::min(priority, SparePriority - 1), 0, 0, milliseconds(0), {limitedPart(targets, now)}},
        [this, service, request](const PermitOutcome &outcome) {
            const Clock::time_point grantedAt = Clock::now();
            for (const Permit &permit : outcome.permits)
                addSparePermit({permit.target, grantedAt + permit.validIn});
            if (const auto waiting = m_waiting.find(service); waiting != m_waiting.end())
                for (ServiceCall &call : waiting->second)
                    if (call.request == request)
                        call.probesUntil = std::min(call.probesUntil, grantedAt);
            reviewWaiting(service, grantedAt);
        },
        now);
}

void TargetDirectory::requestSharesOfLimits(Clock::time_point now)
{
    // The nth ask has the targets of which at least n permits are wanted, as an ask gets at most
    // one permit of each target for the requests that do not depend on it.
    std::vector<std::vector<std::vector<HeardLimit>>> asks;
    for (const auto &[id, handle] : m_byId) {
        const std::size_t wanted = handle->limitShare.permitsToAsk(handle->standing->limit(), now);
        asks.resize(std::max(asks.size(), wanted));
        for (std::size_t i = 0; i < wanted; ++i)
            asks[i].push_back({heardLimit(*handle, now)});
    }
    for (auto &parts : asks)
        requestSparePermits(std::move(parts), now);
}

TargetHandlePtr TargetDirectory::dueLimitedTarget(const std::vector<TargetHandlePtr> &handles,
                                                  Clock::time_point now)
{
    if (!hasUnlimited(handles))
        return nullptr;
    const auto due = std::find_if(handles.begin(), handles.end(), [now](const auto &handle) {
        return handle->limitShare.isDue(handle->standing->limit(), now)
            && handle->load.hasCapacity() && !handle->load.isUnresponsive();
    });
    return due == handles.end() ? nullptr : *due;
}

void TargetDirectory::updateLimitMetrics(Clock::time_point now)
{
    if (now - m_limitsReportedAt < MetricsInterval)
        return;
    const double seconds = std::chrono::duration<double>(now - m_limitsReportedAt).count();
    m_limitsReportedAt = now;
    std::unordered_map<TargetId, std::uint64_t> sends;
    for (const auto &[id, handle] : m_byId) {
        const TargetLimit &limit = handle->standing->limit();
        if (!limit.isLimited())
            continue;
        sends[id] = limit.sent();
        const auto earlier = m_reportedSends.find(id);
        const std::uint64_t sent =
            limit.sent() - (earlier == m_reportedSends.end() ? limit.sent() : earlier->second);
        m_metrics.targetLimit.Add({{"target", id}}).Set(*limit.value());
        m_metrics.targetLimitUse.Add({{"target", id}}).Set(static_cast<double>(sent) / seconds);
        const Clock::duration unused = handle->limitShare.unusedFor();
        m_metrics.targetLimitUnused.Add({{"target", id}})
            .Set(std::chrono::duration<double>(unused).count());
        if (handle->limitShare.shouldReport())
            logEvent(LogLevel::Warning, "target_limit_unused",
                     {{"target", id},
                      {"service", handle->info.service},
                      {"limit_per_s", std::to_string(*limit.value())},
                      {"unused_ms",
                       std::to_string(std::chrono::duration_cast<milliseconds>(unused).count())}});
    }
    for (const auto &[id, sent] : m_reportedSends)
        if (!sends.contains(id)) {
            m_metrics.targetLimit.Remove(&m_metrics.targetLimit.Add({{"target", id}}));
            m_metrics.targetLimitUse.Remove(&m_metrics.targetLimitUse.Add({{"target", id}}));
            m_metrics.targetLimitUnused.Remove(&m_metrics.targetLimitUnused.Add({{"target", id}}));
        }
    m_reportedSends = std::move(sends);
}

} // namespace mangoshift
