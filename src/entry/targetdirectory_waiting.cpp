// The part of the target directory that holds calls until a target has a free slot, or until the
// pause that a target has asked for is over.

#include <algorithm>
#include <iterator>
#include <utility>

#include "entry/targetdirectory.h"

namespace mangoshift {

namespace {

/// Returns whether a call is sent before another. Calls that can still be in time go first; within
/// each group the call with the earliest `usefulUntil` goes first.
bool isDueBefore(const ServiceCall &a, const ServiceCall &b, Clock::time_point now)
{
    return std::pair(a.usefulUntil < now, a.usefulUntil)
        < std::pair(b.usefulUntil < now, b.usefulUntil);
}

} // namespace

bool TargetDirectory::mayWaitFor(const TargetAbsence &absence, const ServiceCall &call)
{
    return call.canWait && absence.endsAt && *absence.endsAt < call.waitLimit;
}

Clock::duration TargetDirectory::expectedWait(const std::string &service,
                                              Clock::duration callLatency,
                                              Clock::time_point now) const
{
    const auto waiting = m_waiting.find(service);
    if (waiting == m_waiting.end())
        return Clock::duration::zero();
    const auto callsAhead =
        std::count_if(waiting->second.begin(), waiting->second.end(),
                      [now](const ServiceCall &call) { return call.usefulUntil >= now; });
    std::uint32_t capacity = 0;
    if (const auto it = m_byService.find(service); it != m_byService.end())
        for (const TargetHandlePtr &handle : it->second)
            if (!handle->isMisdirected && !handle->info.isDraining && !handle->load.isAvoided(now)
                && handle->standing->mayReceive(now)
                && handle->standing->limit().allowsRequest(now))
                capacity += handle->load.limit();
    return callLatency * (callsAhead + 1) / std::max<std::uint32_t>(capacity, 1);
}

bool TargetDirectory::hasFreeSlot(const std::string &service, Clock::time_point now) const
{
    ServiceCall call;
    call.service = service;
    const Candidates found = candidates(call, now);
    return std::any_of(found.handles.begin(), found.handles.end(),
                       [](const TargetHandlePtr &handle) { return handle->load.hasCapacity(); });
}

double TargetDirectory::leastSlowness(const std::string &service) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end() || it->second.empty())
        return 1.0;
    const auto fastest =
        std::min_element(it->second.begin(), it->second.end(), [](const auto &a, const auto &b) {
            return a->load.slowness() < b->load.slowness();
        });
    return std::max(1.0, (*fastest)->load.slowness());
}

void TargetDirectory::sendWaiting(const std::string &service, Clock::time_point now)
{
    const auto it = m_waiting.find(service);
    if (it == m_waiting.end())
        return;
    std::vector<ServiceCall> &waiting = it->second;
    while (!waiting.empty()) {
        const auto next = std::min_element(
            waiting.begin(), waiting.end(),
            [now](const ServiceCall &a, const ServiceCall &b) { return isDueBefore(a, b, now); });
        const TargetHandlePtr target = pick(candidates(*next, now).handles, now);
        if (!target)
            return;
        ServiceCall call = std::move(*next);
        waiting.erase(next);
        if (!send(target, call)) {
            waiting.push_back(std::move(call));
            return;
        }
    }
    m_waiting.erase(service);
}

void TargetDirectory::reviewWaiting(const std::string &service, Clock::time_point now)
{
    const auto it = m_waiting.find(service);
    if (it == m_waiting.end())
        return;
    std::vector<ServiceCall> waiting = std::move(it->second);
    m_waiting.erase(it);
    std::stable_sort(
        waiting.begin(), waiting.end(),
        [now](const ServiceCall &a, const ServiceCall &b) { return isDueBefore(a, b, now); });
    std::vector<ServiceCall> left;
    std::vector<std::pair<ServiceCall, TargetAbsence>> ended;
    std::vector<std::pair<std::function<void(bool)>, bool>> stallChanges;
    bool hasFreeSlot = true;
    for (ServiceCall &call : waiting) {
        const Candidates found = candidates(call, now);
        if (found.handles.empty() && !mayWaitFor(found.absence, call)) {
            ended.emplace_back(std::move(call), found.absence);
            continue;
        }
        const TargetHandlePtr target = hasFreeSlot ? pick(found.handles, now) : nullptr;
        hasFreeSlot = hasFreeSlot && (target || found.handles.empty());
        if (target && send(target, call))
            continue;
        if (call.endsAtPermitLimit && !found.limited.empty() && now >= call.permitLimit) {
            TargetAbsence absence{TargetAbsence::Cause::Limited, std::nullopt};
            if (call.permitRetryAt > now)
                absence.endsAt = call.permitRetryAt;
            ended.emplace_back(std::move(call), absence);
            continue;
        }
        const bool isStalled = found.areAllEjected();
        if (std::exchange(call.isStalled, isStalled) != isStalled && call.onStalled)
            stallChanges.emplace_back(call.onStalled, isStalled);
        left.push_back(std::move(call));
    }
    if (!left.empty())
        std::move(left.begin(), left.end(), std::back_inserter(m_waiting[service]));
    for (auto &[call, absence] : ended)
        call.onNoTarget(absence);
    for (const auto &[onStalled, isStalled] : stallChanges)
        onStalled(isStalled);
}

void TargetDirectory::dropWaiting(const std::string &service, const ForwardedRequestPtr &request)
{
    const auto it = m_waiting.find(service);
    if (it == m_waiting.end())
        return;
    for (const ServiceCall &call : it->second)
        if (call.request == request && call.permit)
            addSparePermit(*call.permit);
    std::erase_if(it->second,
                  [&request](const ServiceCall &call) { return call.request == request; });
    if (it->second.empty())
        m_waiting.erase(it);
}

} // namespace mangoshift
