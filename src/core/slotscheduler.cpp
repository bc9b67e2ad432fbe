#include "mangoshift/slotscheduler.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "replicaset.h"

namespace mangoshift {

using internal::Replica;
using internal::ReplicaSet;
using internal::Selection;
using internal::TargetState;
using internal::WaitKey;

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Requests of one queue that are looked at for one that a free replica can take.
constexpr std::chrono::seconds LongestRetryAdvice{5};
constexpr int MaxSkipped = 4;
/// A hedge that found no free slot is tried again after this.
constexpr milliseconds HedgeRetryInterval{2};
/// How long a queue that had to drop requests serves the newest first.
constexpr milliseconds OverloadHold{100};
/// Tokens that probes leave in the budget, for hedges.
constexpr std::uint32_t TokensKeptForHedges = 2;

ReplyShard failureOf(const ShardRequest &request, Verdict verdict)
{
    ShardOutcome outcome;
    outcome.shard = request.shard;
    outcome.verdict = verdict;
    return ReplyShard{request.id, std::move(outcome)};
}

milliseconds roundUp(microseconds time)
{
    return std::chrono::ceil<milliseconds>(std::max(time, microseconds(0)));
}

} // namespace

SlotScheduler::SlotScheduler(SchedulerOptions options)
    : m_options(options)
    , m_budget(options.extraRatio, options.extraBurst)
{
}

SlotScheduler::~SlotScheduler() = default;

SchedulerActions SlotScheduler::onRequest(ShardRequest request, Clock::time_point now)
{
    if (!m_document || m_isSuspended)
        return {failureOf(request, {Execution::NotRun, Reason::NotReady})};
    if (m_document->find(request.shard).shard == nullptr)
        return {failureOf(request, {Execution::NotRun, Reason::UnknownShard})};
    const std::shared_ptr<ReplicaSet> set = setOf(request);
    const ShardRequestId id = request.id;
    const Clock::time_point deadline = request.deadline;
    Pending &pending = m_pending[id];
    pending.request = std::move(request);
    pending.set = set;
    // Without a call under way the request is tried all the same: nothing else would show that the
    // targets have become faster.
    const bool isHopeless = set->hasCallsUnderWay() && now + set->typicalLatency(now) >= deadline;
    if (now >= deadline || isHopeless) {
        refuse(pending, Reason::DeadlineExceeded, microseconds(0), now);
        return takeActions();
    }
    enqueue(pending, now);
    dispatch(*set, now);
    return takeActions();
}

SchedulerActions SlotScheduler::onCancel(ShardRequestId request, Clock::time_point now)
{
    const auto it = m_pending.find(request);
    if (it == m_pending.end())
        return {};
    CallOutcome outcome;
    outcome.verdict = {Execution::NotRun, Reason::Cancelled};
    answer(it->second, std::move(outcome), now);
    return takeActions();
}

SchedulerActions SlotScheduler::onCallEnded(CallId call, CallOutcome outcome, Clock::time_point now)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end())
        return {};
    const Call ended = std::move(it->second);
    m_calls.erase(it);
    --ended.target->slotsInUse;
    std::vector<Clock::time_point> &sendTimes = ended.target->sendTimes;
    sendTimes.erase(std::find(sendTimes.begin(), sendTimes.end(), ended.sentAt));
    learn(ended, outcome, now);
    settle(ended, call, std::move(outcome), now);
    dispatch(*ended.set, now);
    dispatchOthers(*ended.target, *ended.set, now);
    return takeActions();
}

SchedulerActions SlotScheduler::onTimer(Clock::time_point now)
{
    m_armedAt = Clock::time_point::max();
    while (!m_due.empty() && m_due.top().at <= now) {
        const Due due = m_due.top();
        m_due.pop();
        onDue(due, now);
    }
    return takeActions();
}

void SlotScheduler::onDue(const Due &due, Clock::time_point now)
{
    if (due.set) {
        due.set->wakeAt = {};
        dispatch(*due.set, now);
        return;
    }
    const auto it = m_pending.find(due.request);
    if (it != m_pending.end())
        onRequestDue(it->second, now);
}

void SlotScheduler::onRequestDue(Pending &pending, Clock::time_point now)
{
    const Clock::time_point deadline = pending.request.deadline;
    if (pending.isWaiting && pending.calls.empty()) {
        const Clock::time_point latest = deadline - pending.set->typicalLatency(now);
        if (now >= latest) {
            pending.set->overloadedUntil = now + OverloadHold;
            refuse(pending, Reason::DeadlineExceeded, pending.set->expectedWait(now), now);
        } else {
            schedule(latest, pending.request.id);
        }
        return;
    }
    if (now >= deadline) {
        CallOutcome outcome;
        outcome.verdict = {Execution::MayHaveRun, Reason::DeadlineExceeded};
        answer(pending, std::move(outcome), now);
        return;
    }
    if (now < pending.hedgeAt || pending.isWaiting)
        return;
    // This late call may have put its replica in doubt: those that wait for it go elsewhere.
    dispatch(*pending.set, now);
    tryHedge(pending, now);
}

void SlotScheduler::enqueue(Pending &pending, Clock::time_point now)
{
    ReplicaSet &set = *pending.set;
    // A late hedge takes the place of its first copy: it has waited since then.
    if (pending.nextCopy != CopyKind::Hedge)
        pending.sequence = ++m_lastSequence;
    pending.isWaiting = true;
    set.waiting.emplace(WaitKey{pending.request.body->priority, pending.sequence},
                        internal::Waiter{pending.request.id, pending.request.deadline});
    ++m_waitingCount;
    schedule(pending.request.deadline - set.typicalLatency(now), pending.request.id);
}

void SlotScheduler::unqueue(Pending &pending)
{
    if (!pending.isWaiting)
        return;
    pending.isWaiting = false;
    --m_waitingCount;
    pending.set->waiting.erase(WaitKey{pending.request.body->priority, pending.sequence});
}

void SlotScheduler::dispatch(ReplicaSet &set, Clock::time_point now)
{
    if (m_isSuspended)
        return;
    while (!set.waiting.empty() && sendNext(set, now)) {
    }
    if (set.waiting.empty())
        return;
    trimQueue(set, now);
    refuseUnlessServable(set, now);
    scheduleWake(set, now);
}

bool SlotScheduler::sendNext(ReplicaSet &set, Clock::time_point now)
{
    auto place = set.next(now);
    for (int skipped = 0; skipped < MaxSkipped && place != set.waiting.end(); ++skipped, ++place) {
        Pending &pending = m_pending.at(place->second.request);
        if (isSnapshotGone(set, pending.request.snapshot)) {
            CallOutcome outcome;
            outcome.verdict = {Execution::NotRun, Reason::SnapshotGone};
            outcome.held = set.replicas.front().held;
            answer(pending, std::move(outcome), now);
            return true;
        }
        const bool isHedge = pending.nextCopy == CopyKind::Hedge;
        const Selection selection{pending.request.snapshot, pending.tried, isHedge};
        Replica *replica = nullptr;
        if (!pending.request.body->isIdempotent)
            replica = chooseProbe(set, selection, internal::ProbeUrgency::Overdue, now);
        if (replica == nullptr)
            replica = chooseReplica(set, selection, now);
        if (replica == nullptr && !set.isInUse(now))
            replica = chooseProbe(set, selection, internal::ProbeUrgency::Due, now);
        if (replica == nullptr)
            continue;
        if (isHedge && !m_budget.trySpend()) {
            dropWaitingHedge(pending, now);
            return true;
        }
        unqueue(pending);
        send(pending, *replica, pending.nextCopy, now);
        tryProbe(pending, now);
        return true;
    }
    return false;
}

void SlotScheduler::dispatchOthers(const TargetState &target, const ReplicaSet &done,
                                   Clock::time_point now)
{
    for (ReplicaSet *set : target.sets)
        if (set != &done && !set->waiting.empty())
            dispatch(*set, now);
}

void SlotScheduler::trimQueue(ReplicaSet &set, Clock::time_point now)
{
    while (!set.waiting.empty()) {
        const auto place = set.leastUseful();
        const microseconds wait = set.expectedWait(now);
        const bool isFull = set.waiting.size() > m_options.maxWaitingPerShard;
        const bool isLate = now + wait + set.typicalLatency(now) > place->second.deadline;
        if (!isFull && !isLate)
            return;
        set.overloadedUntil = now + OverloadHold;
        Pending &pending = m_pending.at(place->second.request);
        if (pending.nextCopy == CopyKind::Hedge)
            dropWaitingHedge(pending, now); // Its first copy may still be answered.
        else
            refuse(pending, Reason::Overloaded, wait, now);
    }
}

void SlotScheduler::refuseUnlessServable(ReplicaSet &set, Clock::time_point now)
{
    if (set.waiting.empty())
        return;
    Clock::time_point chance = Clock::time_point::max();
    bool isDraining = false;
    for (const Replica &replica : set.replicas) {
        if (replica.target->health.takesRequests(now) || replica.target->slotsInUse != 0)
            return;
        chance = std::min(chance, replica.target->health.nextChance());
        isDraining |= replica.target->health.condition() == TargetCondition::Draining;
    }
    std::vector<ShardRequestId> hopeless;
    for (const auto &[key, waiter] : set.waiting)
        if (waiter.deadline <= chance)
            hopeless.push_back(waiter.request);
    const Clock::duration untilChance = set.replicas.empty()
        ? Clock::duration(0)
        : std::clamp<Clock::duration>(chance - now, Clock::duration(0), LongestRetryAdvice);
    const auto wait = duration_cast<microseconds>(untilChance);
    for (const ShardRequestId id : hopeless)
        refuse(m_pending.at(id), isDraining ? Reason::Draining : Reason::NoReplica, wait, now);
}

void SlotScheduler::scheduleWake(ReplicaSet &set, Clock::time_point now)
{
    if (set.waiting.empty() || set.wakeAt > now)
        return;
    Clock::time_point earliest = Clock::time_point::max();
    for (const Replica &replica : set.replicas)
        if (replica.target->health.nextChance() > now)
            earliest = std::min(earliest, replica.target->health.nextChance());
    if (earliest == Clock::time_point::max())
        return;
    set.wakeAt = earliest;
    m_due.push(Due{earliest, 0, set.shared_from_this()});
}

void SlotScheduler::send(Pending &pending, Replica &replica, CopyKind kind, Clock::time_point now)
{
    TargetState &target = *replica.target;
    ++target.slotsInUse;
    ++target.callsSent;
    target.lastUsed = now;
    target.sendTimes.push_back(now);
    if (target.health.condition() != TargetCondition::Active)
        target.health.onProbeSent(now);
    const CallId id = ++m_lastCall;
    m_calls.emplace(id,
                    Call{pending.request.id, pending.set, replica.target, now, kind, false, {}});
    pending.calls.push_back(id);
    pending.tried.push_back(&target);
    countCopy(pending, kind);
    m_actions.emplace_back(SendToTarget{id, replica.index, pending.request});
    if (kind == CopyKind::Probe)
        return;
    schedule(pending.request.deadline, pending.request.id);
    if (m_options.hedges && pending.request.body->isIdempotent && !pending.hasHedge) {
        pending.hedgeAt = now + pending.set->hedgeDelay();
        if (pending.hedgeAt < pending.request.deadline)
            schedule(pending.hedgeAt, pending.request.id);
    }
}

void SlotScheduler::countCopy(Pending &pending, CopyKind kind)
{
    switch (kind) {
    case CopyKind::First:
        ++m_counters.firstCopies;
        m_budget.onFirstCopy();
        break;
    case CopyKind::Hedge:
        ++m_counters.hedges;
        ++pending.extraRequests;
        break;
    case CopyKind::Retry:
        ++m_counters.retries;
        ++pending.extraRequests;
        break;
    case CopyKind::Probe:
        ++m_counters.probes;
        ++pending.extraRequests;
        break;
    case CopyKind::Replacement:
        break;
    }
}

void SlotScheduler::tryProbe(Pending &pending, Clock::time_point now)
{
    if (!pending.request.body->isIdempotent || m_budget.tokens() <= TokensKeptForHedges)
        return;
    const Selection selection{pending.request.snapshot, pending.tried, true};
    Replica *replica = chooseProbe(*pending.set, selection, internal::ProbeUrgency::Due, now);
    if (replica != nullptr && m_budget.trySpend())
        send(pending, *replica, CopyKind::Probe, now);
}

void SlotScheduler::tryHedge(Pending &pending, Clock::time_point now)
{
    if (!m_options.hedges || pending.hasHedge || pending.calls.empty() || pending.isWaiting
        || pending.tried.size() >= pending.set->replicas.size()
        || !pending.request.body->isIdempotent)
        return;
    if (m_budget.tokens() != 0 && isReplicaDoubted(pending, now)) {
        pending.hasHedge = true;
        pending.nextCopy = CopyKind::Hedge;
        enqueue(pending, now);
        dispatch(*pending.set, now);
        return;
    }
    const Selection selection{pending.request.snapshot, pending.tried, true};
    Replica *replica = nullptr;
    if (pending.set->waiting.empty())
        replica = chooseReplica(*pending.set, selection, now);
    if (replica != nullptr && m_budget.trySpend()) {
        pending.hasHedge = true;
        send(pending, *replica, CopyKind::Hedge, now);
        return;
    }
    pending.hedgeAt = now + HedgeRetryInterval;
    if (pending.hedgeAt < pending.request.deadline)
        schedule(pending.hedgeAt, pending.request.id);
}

bool SlotScheduler::isReplicaDoubted(const Pending &pending, Clock::time_point now) const
{
    return std::all_of(pending.calls.begin(), pending.calls.end(), [&](CallId id) {
        const TargetState &target = *m_calls.at(id).target;
        return !target.health.takesRequests(now) || pending.set->isDoubted(target, now);
    });
}

void SlotScheduler::dropWaitingHedge(Pending &pending, Clock::time_point now)
{
    unqueue(pending);
    pending.hasHedge = false;
    pending.hedgeAt = now + HedgeRetryInterval;
    schedule(pending.hedgeAt, pending.request.id);
}

bool SlotScheduler::tryAgain(Pending &pending, const CallOutcome &outcome, Clock::time_point now)
{
    if (pending.tried.size() >= pending.set->replicas.size() || now >= pending.request.deadline)
        return false;
    const bool isUnrun = outcome.verdict.execution == Execution::NotRun;
    if (!pending.request.body->isIdempotent && !isUnrun)
        return false;
    if (outcome.wasSent && !m_budget.trySpend())
        return false;
    pending.nextCopy = outcome.wasSent ? CopyKind::Retry : CopyKind::Replacement;
    enqueue(pending, now);
    return true;
}

void SlotScheduler::settle(const Call &call, CallId id, CallOutcome outcome, Clock::time_point now)
{
    const auto it = m_pending.find(call.request);
    if (it == m_pending.end())
        return;
    Pending &pending = it->second;
    std::erase(pending.calls, id);
    if (outcome.verdict.isOk()) {
        answer(pending, std::move(outcome), now);
        return;
    }
    pending.mayHaveRun |= outcome.verdict.execution != Execution::NotRun;
    const bool isAwaited =
        std::any_of(pending.calls.begin(), pending.calls.end(),
                    [&](CallId each) { return m_calls.at(each).kind != CopyKind::Probe; });
    if (isAwaited || (pending.isWaiting && pending.nextCopy != CopyKind::Hedge))
        return;
    // A hedge that still waits for a slot is a retry now.
    unqueue(pending);
    if (!tryAgain(pending, outcome, now) && pending.calls.empty())
        answer(pending, std::move(outcome), now);
}

void SlotScheduler::answer(Pending &pending, CallOutcome outcome, Clock::time_point now)
{
    unqueue(pending);
    if (outcome.verdict.execution == Execution::NotRun
        && (pending.mayHaveRun || !pending.calls.empty()))
        outcome.verdict.execution = Execution::MayHaveRun;
    cancelCalls(pending, now);
    ReplyShard reply{pending.request.id, {}};
    reply.outcome.shard = pending.request.shard;
    reply.outcome.verdict = outcome.verdict;
    reply.outcome.snapshot = outcome.snapshot;
    reply.outcome.held = outcome.held;
    reply.outcome.rows = std::move(outcome.rows);
    reply.outcome.extraRequests = pending.extraRequests;
    m_actions.emplace_back(std::move(reply));
    m_pending.erase(pending.request.id);
}

void SlotScheduler::refuse(Pending &pending, Reason reason, microseconds retryAfter,
                           Clock::time_point now)
{
    ++m_counters.refused;
    CallOutcome outcome;
    outcome.verdict = {Execution::NotRun, reason, roundUp(retryAfter)};
    answer(pending, std::move(outcome), now);
}

void SlotScheduler::cancelCalls(Pending &pending, Clock::time_point now)
{
    for (const CallId id : pending.calls) {
        Call &call = m_calls.at(id);
        // A probe runs to its end: its latency is what it was sent for.
        if (call.kind == CopyKind::Probe && now < pending.request.deadline)
            continue;
        call.isCancelled = true;
        call.cancelledAt = now;
        m_actions.emplace_back(CancelCall{id});
    }
}

void SlotScheduler::schedule(Clock::time_point at, ShardRequestId request)
{
    m_due.push(Due{at, request, nullptr});
}

SchedulerActions SlotScheduler::takeActions()
{
    while (!m_due.empty() && !m_due.top().set && !m_pending.contains(m_due.top().request))
        m_due.pop();
    if (!m_due.empty() && m_due.top().at < m_armedAt) {
        m_armedAt = m_due.top().at;
        m_actions.emplace_back(ArmSchedulerTimer{m_armedAt});
    }
    return std::exchange(m_actions, {});
}

} // namespace mangoshift
