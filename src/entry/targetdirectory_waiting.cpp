// The part of the target directory that holds calls until a target has a free slot, or until the
// pause that a target has asked for is over.

#include <algorithm>
#include <iterator>
#include <utility>

#include "entry/targetdirectory.h"

namespace mangoshift {

namespace {

/// How many calls that have no free target, because they have tried some of them, are passed over
/// to find one that has.
constexpr std::size_t MaxPassedOver = 8;

std::vector<WaitingTerms> termsOf(const std::vector<ServiceCall> &calls)
{
    std::vector<WaitingTerms> terms;
    terms.reserve(calls.size());
    for (const ServiceCall &call : calls)
        terms.push_back(call.waitingTerms());
    return terms;
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
    if (waiting == m_waiting.end() || countTurns(waiting->second) == 0)
        return Clock::duration::zero();
    const auto callsAhead =
        std::count_if(waiting->second.begin(), waiting->second.end(), [now](const auto &call) {
            return !call.isProbing() && call.waitingTerms().canBeInTime(now);
        });
    std::uint32_t capacity = 0;
    if (const auto it = m_byService.find(service); it != m_byService.end())
        for (const TargetHandlePtr &handle : it->second)
            if (isOpen(*handle, now) && !handle->load.isAvoided(now)
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

double TargetDirectory::leastSlowness(const std::string &service, Clock::time_point now) const
{
    const auto it = m_byService.find(service);
    if (it == m_byService.end() || it->second.empty())
        return 1.0;
    const auto fastest =
        std::min_element(it->second.begin(), it->second.end(), [now](const auto &a, const auto &b) {
            return a->load.slowness(now) < b->load.slowness(now);
        });
    return std::max(1.0, (*fastest)->load.slowness(now));
}

std::optional<TargetAbsence> TargetDirectory::enqueue(ServiceCall call, bool needsSlotOnly,
                                                      Clock::time_point now)
{
    const std::string service = call.service;
    std::vector<ServiceCall> &waiting = m_waiting[service];
    WaitingTurns &turns = m_turns[service];
    turns.onQueued(countTurns(waiting) == 0, now);
    waiting.push_back(std::move(call));
    const WaitingTurns::Plan plan = turns.plan(termsOf(waiting), now);
    const std::size_t last = waiting.size() - 1;
    const auto refused =
        std::find_if(plan.refused.begin(), plan.refused.end(),
                     [last](const WaitingTurns::Refused &each) { return each.call == last; });
    // The rate of turns does not tell when a pause ends or a permit is granted.
    if (refused != plan.refused.end()
        && (needsSlotOnly || refused->why == WaitingTurns::Refusal::NoTime)) {
        const TargetAbsence absence = refusalOf(refused->why, turns, countTurns(waiting), now);
        if (waiting.back().permit)
            addSparePermit(*waiting.back().permit);
        waiting.pop_back();
        if (waiting.empty())
            m_waiting.erase(service);
        return absence;
    }
    armLateTimer(waiting.back().waitingTerms().latestStart());
    return std::nullopt;
}

bool TargetDirectory::canGetTurn(const std::string &service, const WaitingTerms &call,
                                 Clock::time_point now) const
{
    const auto waiting = m_waiting.find(service);
    const auto turns = m_turns.find(service);
    if (waiting == m_waiting.end() || turns == m_turns.end())
        return true;
    std::vector<WaitingTerms> terms = termsOf(waiting->second);
    terms.push_back(call);
    const std::vector<WaitingTurns::Refused> refused = turns->second.plan(terms, now).refused;
    return std::none_of(refused.begin(), refused.end(),
                        [&terms](const auto &each) { return each.call + 1 == terms.size(); });
}

std::size_t TargetDirectory::countTurns(const std::vector<ServiceCall> &waiting)
{
    return static_cast<std::size_t>(std::count_if(
        waiting.begin(), waiting.end(), [](const ServiceCall &call) { return !call.isProbing(); }));
}

void TargetDirectory::queueProbed(std::vector<ServiceCall> &waiting, WaitingTurns &turns,
                                  Clock::time_point now)
{
    for (ServiceCall &call : waiting) {
        if (!call.isProbing() || now < call.probesUntil)
            continue;
        turns.onQueued(countTurns(waiting) == 0, now);
        call.probesUntil = Clock::time_point();
    }
}

TargetAbsence TargetDirectory::refusalOf(WaitingTurns::Refusal why, const WaitingTurns &turns,
                                         std::size_t waiting, Clock::time_point now)
{
    TargetAbsence absence;
    absence.cause = why == WaitingTurns::Refusal::NoTime ? TargetAbsence::Cause::NoTime
                                                         : TargetAbsence::Cause::NoTurn;
    if (const auto wait = turns.timeForTurns(waiting))
        absence.endsAt = now + *wait;
    return absence;
}

void TargetDirectory::armLateTimer(Clock::time_point at)
{
    if (at >= m_lateTimerAt)
        return;
    m_lateTimerAt = at;
    m_lateTimer.expires_at(at);
    m_lateTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        m_lateTimerAt = Clock::time_point::max();
        refuseLate(Clock::now());
    });
}

void TargetDirectory::refuseLate(Clock::time_point now)
{
    Clock::time_point next = Clock::time_point::max();
    std::vector<std::pair<ServiceCall, TargetAbsence>> ended;
    for (auto service = m_waiting.begin(); service != m_waiting.end();) {
        std::vector<ServiceCall> &waiting = service->second;
        const auto firstLate =
            std::stable_partition(waiting.begin(), waiting.end(), [now](const ServiceCall &call) {
                return call.waitingTerms().latestStart() > now;
            });
        const std::size_t turnsNeeded = countTurns(waiting);
        for (auto call = firstLate; call != waiting.end(); ++call)
            ended.emplace_back(std::move(*call),
                               refusalOf(WaitingTurns::Refusal::NoTime, m_turns[service->first],
                                         turnsNeeded, now));
        waiting.erase(firstLate, waiting.end());
        for (const ServiceCall &call : waiting)
            next = std::min(next, call.waitingTerms().latestStart());
        service = waiting.empty() ? m_waiting.erase(service) : std::next(service);
    }
    if (next != Clock::time_point::max())
        armLateTimer(next);
    endWaiting(ended);
}

void TargetDirectory::endWaiting(const std::vector<std::pair<ServiceCall, TargetAbsence>> &ended)
{
    for (const auto &[call, absence] : ended) {
        if (call.permit)
            addSparePermit(*call.permit);
        call.onNoTarget(absence);
    }
}

void TargetDirectory::sendWaiting(const std::string &service, Clock::time_point now)
{
    const auto it = m_waiting.find(service);
    if (it == m_waiting.end())
        return;
    std::vector<ServiceCall> &waiting = it->second;
    WaitingTurns &turns = m_turns[service];
    const auto targets = m_byService.find(service);
    const auto hasCapacity = [&] {
        return targets != m_byService.end()
            && std::any_of(targets->second.begin(), targets->second.end(),
                           [](const TargetHandlePtr &each) { return each->load.hasCapacity(); });
    };
    std::vector<bool> isSent(waiting.size(), false);
    std::size_t passedOver = 0;
    for (const std::size_t index : turns.plan(termsOf(waiting), now).turns) {
        if (passedOver == MaxPassedOver || !hasCapacity())
            break;
        ServiceCall &call = waiting[index];
        const TargetHandlePtr target = pick(candidates(call, now).handles, now);
        if (!target) {
            ++passedOver;
            continue;
        }
        if (!send(target, call))
            break;
        turns.onSent(call.waitingTerms(), now);
        isSent[index] = true;
    }
    std::size_t index = 0;
    std::erase_if(waiting, [&](const ServiceCall &) { return isSent[index++]; });
    queueProbed(waiting, turns, now);
    if (waiting.empty())
        m_waiting.erase(service);
}

void TargetDirectory::reviewWaiting(const std::string &service, Clock::time_point now)
{
    const auto it = m_waiting.find(service);
    if (it == m_waiting.end())
        return;
    std::vector<ServiceCall> waiting = std::move(it->second);
    m_waiting.erase(it);
    WaitingTurns &turns = m_turns[service];
    const std::size_t turnsNeeded = countTurns(waiting);
    std::vector<ServiceCall> left;
    std::vector<std::pair<ServiceCall, TargetAbsence>> ended;
    std::vector<std::pair<std::function<void(bool)>, bool>> stallChanges;
    bool hasFreeSlot = true;
    const auto review = [&](ServiceCall &call, std::optional<WaitingTurns::Refusal> refusal) {
        const Candidates found = candidates(call, now);
        if (found.handles.empty() && !mayWaitFor(found.absence, call)) {
            ended.emplace_back(std::move(call), found.absence);
            return;
        }
        if (refusal == WaitingTurns::Refusal::NoTime) {
            ended.emplace_back(std::move(call), refusalOf(*refusal, turns, turnsNeeded, now));
            return;
        }
        const TargetHandlePtr target = hasFreeSlot ? pick(found.handles, now) : nullptr;
        hasFreeSlot = hasFreeSlot && (target || found.handles.empty());
        if (target && send(target, call)) {
            turns.onSent(call.waitingTerms(), now);
            return;
        }
        // The rate of turns does not tell when a pause ends or a permit is granted.
        if (refusal && !found.handles.empty()) {
            ended.emplace_back(std::move(call), refusalOf(*refusal, turns, turnsNeeded, now));
            return;
        }
        if (call.endsAtPermitLimit && !found.limited.empty() && now >= call.permitLimit) {
            TargetAbsence absence{TargetAbsence::Cause::Limited, std::nullopt};
            if (call.permitRetryAt > now)
                absence.endsAt = call.permitRetryAt;
            ended.emplace_back(std::move(call), absence);
            return;
        }
        const bool isStalled = found.areAllEjected();
        if (std::exchange(call.isStalled, isStalled) != isStalled && call.onStalled)
            stallChanges.emplace_back(call.onStalled, isStalled);
        left.push_back(std::move(call));
    };
    const WaitingTurns::Plan plan = turns.plan(termsOf(waiting), now);
    for (const std::size_t index : plan.turns)
        review(waiting[index], std::nullopt);
    for (const auto &[index, why] : plan.refused)
        review(waiting[index], why);
    queueProbed(left, turns, now);
    if (!left.empty())
        std::move(left.begin(), left.end(), std::back_inserter(m_waiting[service]));
    endWaiting(ended);
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
