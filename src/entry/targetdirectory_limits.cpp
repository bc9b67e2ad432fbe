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

HeardLimit heardLimit(const TargetHandle &target, Clock::time_point now)
{
    const TargetLimit &limit = target.standing->limit();
    return {target.limitKey, limit.value(),
            std::chrono::duration_cast<milliseconds>(now - limit.heardAt())};
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
    std::vector<std::vector<HeardLimit>> usefulParts;
    std::size_t openParts = 0;
    for (const std::string &service : services) {
        ServiceCall call;
        call.service = service;
        const Candidates found = candidates(call, now);
        const bool isUnlimited =
            std::any_of(found.handles.begin(), found.handles.end(),
                        [](const auto &handle) { return !handle->standing->limit().isLimited(); });
        const bool hasPermit = !isUnlimited && !found.handles.empty();
        if (isUnlimited || hasPermit)
            ++openParts;
        if (hasPermit)
            continue;
        if (!found.limited.empty())
            (isUnlimited ? usefulParts : ask.parts).push_back(limitedPart(found.limited, now));
    }
    ask.neededParts = ask.parts.size();
    ask.required = minParts > openParts ? minParts - openParts : 0;
    std::move(usefulParts.begin(), usefulParts.end(), std::back_inserter(ask.parts));
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
        if (hasPermit || !call.requestsPermit || now >= call.permitLimit || now < call.permitRetryAt
            || asks.size() == MaxAsksAtOnce)
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
        for (const ServiceCall &call : waiting)
            if (call.permit && call.permit->validFrom > now)
                next = std::min(next, call.permit->validFrom);
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

void TargetDirectory::onLimitNotice(TargetHandle &target, std::optional<double> limit,
                                    std::optional<Clock::time_point> sentAt, Clock::time_point now)
{
    using Change = TargetLimit::Change;
    const Change change = target.standing->limit().onResponse(limit, sentAt, now);
    if (change == Change::None)
        return;
    const char *event = change == Change::Ended ? "target_limit_ended"
        : change == Change::Named               ? "target_limit_named"
                                                : "target_limit_changed";
    logEvent(LogLevel::Info, event,
             {{"target", target.info.id},
              {"service", target.info.service},
              {"limit_per_s", limit ? std::to_string(*limit) : ""}});
    if (change != Change::Ended) {
        m_metrics.targetNotices.Add({{"kind", "limit"}}).Increment();
        return;
    }
    // The load comes back as to a target that returns, one request at a time at first.
    target.load.resetLimit();
    reportLimitEnd(target, now);
    // Posted, because calls of the target may still be ending.
    asio::post(m_io,
               [this, service = target.info.service] { reviewWaiting(service, Clock::now()); });
}

void TargetDirectory::reportLimitEnd(const TargetHandle &target, Clock::time_point now)
{
    requestPermits(
        {0, 0, 0, milliseconds(0), {{heardLimit(target, now)}}},
        [](const PermitOutcome &, const std::vector<HeldPermit> &) {}, now);
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
    }
    for (const auto &[id, sent] : m_reportedSends)
        if (!sends.contains(id)) {
            m_metrics.targetLimit.Remove(&m_metrics.targetLimit.Add({{"target", id}}));
            m_metrics.targetLimitUse.Remove(&m_metrics.targetLimitUse.Add({{"target", id}}));
        }
    m_reportedSends = std::move(sends);
}

} // namespace mangoshift
