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

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// A request that no target can have got ends this long before its deadline, so that the reply
/// arrives while the requester can still pass on that the request has not run. For short deadlines
/// the margin is a tenth of the time.
constexpr milliseconds UnsentReplyMargin{10};
/// A hedge for which there was no free slot or no budget is tried again after this time.
constexpr milliseconds HedgeRetryInterval{2};
/// The number of tokens that probes leave in the budget for hedges.
constexpr std::uint32_t TokensKeptForHedges = 2;

ReplyShard failureReply(const ShardRequest &request, Verdict verdict)
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
        return {failureReply(request, {Execution::NotRun, Reason::NotReady})};
    if (m_document->find(request.shard).shard == nullptr)
        return {failureReply(request, {Execution::NotRun, Reason::UnknownShard})};
    const std::shared_ptr<ReplicaSet> set = findOrCreateSet(request);
    const ShardRequestId id = request.id;
    const Clock::time_point deadline = request.deadline;
    Pending &pending = m_pending[id];
    pending.request = std::move(request);
    pending.set = set;
    const Clock::duration timeLeft = std::max(deadline - now, Clock::duration::zero());
    pending.unsentLimit = deadline - std::min<Clock::duration>(UnsentReplyMargin, timeLeft / 10);
    // If no call is in flight, the request is sent even if it seems too late: no other call would
    // show that the targets have become faster.
    const bool cannotMeetDeadline =
        set->hasCallsInFlight() && now + set->typicalLatency(now) >= deadline;
    if (now >= deadline || cannotMeetDeadline) {
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
    replyTo(it->second, std::move(outcome), now);
    return takeActions();
}

void SlotScheduler::onCallSent(CallId call)
{
    const auto it = m_calls.find(call);
    if (it == m_calls.end() || std::exchange(it->second.hasBeenSent, true))
        return;
    ++it->second.target->callsSent;
}

bool SlotScheduler::mayHaveArrived(const Pending &pending) const
{
    return pending.mayHaveRun
        || std::any_of(pending.calls.begin(), pending.calls.end(), [this](CallId call) {
               // The owner has not performed the latest actions yet.
               return call > m_lastTakenCall || m_calls.at(call).hasBeenSent;
           });
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
    recordOutcome(ended, outcome, now);
    finishCall(ended, call, std::move(outcome), now);
    dispatch(*ended.set, now);
    dispatchOtherSets(*ended.target, *ended.set, now);
    return takeActions();
}

SchedulerActions SlotScheduler::onTimer(Clock::time_point now)
{
    m_armedAt = Clock::time_point::max();
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const TimerEntry entry = m_timers.top();
        m_timers.pop();
        onTimerEntry(entry, now);
    }
    return takeActions();
}

void SlotScheduler::onTimerEntry(const TimerEntry &entry, Clock::time_point now)
{
    if (entry.set) {
        entry.set->wakeAt = {};
        dispatch(*entry.set, now);
        return;
    }
    const auto it = m_pending.find(entry.request);
    if (it != m_pending.end())
        onRequestTimer(it->second, now);
}

void SlotScheduler::onRequestTimer(Pending &pending, Clock::time_point now)
{
    const Clock::time_point deadline = pending.request.deadline;
    if (now >= pending.unsentLimit && !mayHaveArrived(pending)) {
        refuseLate(pending, now);
        return;
    }
    if (pending.isWaiting && pending.calls.empty()) {
        const Clock::time_point latestStart = deadline - pending.set->typicalLatency(now);
        if (now >= latestStart)
            refuseLate(pending, now);
        else
            schedule(now < pending.unsentLimit ? std::min(latestStart, pending.unsentLimit)
                                               : latestStart,
                     pending.request.id);
        return;
    }
    if (now >= deadline) {
        CallOutcome outcome;
        outcome.verdict = {Execution::NotRun, Reason::DeadlineExceeded};
        replyTo(pending, std::move(outcome), now);
        return;
    }
    if (!pending.isDeadlineScheduled && now >= pending.unsentLimit) {
        pending.isDeadlineScheduled = true;
        schedule(deadline, pending.request.id);
    }
    if (now < pending.hedgeAt || pending.isWaiting)
        return;
    // The late call may have made its replica suspect; waiting requests may now use slower ones.
    dispatch(*pending.set, now);
    tryHedge(pending, now);
}

void SlotScheduler::send(Pending &pending, Replica &replica, CopyKind kind, Clock::time_point now)
{
    TargetState &target = *replica.target;
    ++target.slotsInUse;
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
    schedule(pending.unsentLimit, pending.request.id);
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
    if (m_budget.tokens() != 0 && areAllCalledTargetsSuspect(pending, now)) {
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

bool SlotScheduler::areAllCalledTargetsSuspect(const Pending &pending, Clock::time_point now) const
{
    return std::all_of(pending.calls.begin(), pending.calls.end(), [&](CallId id) {
        const TargetState &target = *m_calls.at(id).target;
        return !target.health.takesRequests(now) || pending.set->isSuspect(target, now);
    });
}

void SlotScheduler::dropWaitingHedge(Pending &pending, Clock::time_point now)
{
    dequeue(pending);
    pending.hasHedge = false;
    pending.hedgeAt = now + HedgeRetryInterval;
    schedule(pending.hedgeAt, pending.request.id);
}

bool SlotScheduler::tryRetry(Pending &pending, const CallOutcome &outcome, Clock::time_point now)
{
    if (pending.tried.size() >= pending.set->replicas.size() || now >= pending.request.deadline)
        return false;
    const bool hasNotRun = outcome.verdict.execution == Execution::NotRun;
    if (!pending.request.body->isIdempotent && !hasNotRun)
        return false;
    if (outcome.wasSent && !m_budget.trySpend())
        return false;
    pending.nextCopy = outcome.wasSent ? CopyKind::Retry : CopyKind::Replacement;
    enqueue(pending, now);
    return true;
}

void SlotScheduler::finishCall(const Call &call, CallId id, CallOutcome outcome,
                               Clock::time_point now)
{
    const auto it = m_pending.find(call.request);
    if (it == m_pending.end())
        return;
    Pending &pending = it->second;
    std::erase(pending.calls, id);
    if (outcome.verdict.isOk()) {
        replyTo(pending, std::move(outcome), now);
        return;
    }
    pending.mayHaveRun |= outcome.verdict.execution != Execution::NotRun;
    const bool hasOtherCopy =
        std::any_of(pending.calls.begin(), pending.calls.end(),
                    [&](CallId each) { return m_calls.at(each).kind != CopyKind::Probe; });
    if (hasOtherCopy || (pending.isWaiting && pending.nextCopy != CopyKind::Hedge))
        return;
    // A hedge that still waits for a slot becomes a retry.
    dequeue(pending);
    if (!tryRetry(pending, outcome, now) && pending.calls.empty())
        replyTo(pending, std::move(outcome), now);
}

void SlotScheduler::replyTo(Pending &pending, CallOutcome outcome, Clock::time_point now)
{
    dequeue(pending);
    if (outcome.verdict.execution == Execution::NotRun && mayHaveArrived(pending))
        outcome.verdict.execution = Execution::MayHaveRun;
    cancelCalls(pending, outcome.verdict.execution == Execution::NotRun, now);
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
    replyTo(pending, std::move(outcome), now);
}

void SlotScheduler::cancelCalls(Pending &pending, bool isNotRun, Clock::time_point now)
{
    for (const CallId id : pending.calls) {
        Call &call = m_calls.at(id);
        // A probe is not cancelled, because it was sent to measure its latency.
        const bool mustNotBeSent = isNotRun && !call.hasBeenSent;
        if (call.kind == CopyKind::Probe && now < pending.request.deadline && !mustNotBeSent)
            continue;
        call.isCancelled = true;
        call.cancelledAt = now;
        m_actions.emplace_back(CancelCall{id});
    }
}

void SlotScheduler::schedule(Clock::time_point at, ShardRequestId request)
{
    m_timers.push(TimerEntry{at, request, nullptr});
}

SchedulerActions SlotScheduler::takeActions()
{
    while (!m_timers.empty() && !m_timers.top().set && !m_pending.contains(m_timers.top().request))
        m_timers.pop();
    if (!m_timers.empty() && m_timers.top().at < m_armedAt) {
        m_armedAt = m_timers.top().at;
        m_actions.emplace_back(ArmSchedulerTimer{m_armedAt});
    }
    m_lastTakenCall = m_lastCall;
    return std::exchange(m_actions, {});
}

} // namespace mangoshift
