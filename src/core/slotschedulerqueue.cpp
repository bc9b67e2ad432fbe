#include "mangoshift/slotscheduler.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "replicaset.h"

namespace mangoshift {

using internal::QueueKey;
using internal::Replica;
using internal::ReplicaSet;
using internal::Selection;
using internal::TargetState;

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// The maximum time after which a refused requester is told to retry.
constexpr std::chrono::seconds MaxRetryAfter{5};
/// How many requests of a queue are examined to find one that a free replica can run.
constexpr int MaxSkipped = 4;

} // namespace

void SlotScheduler::refuseLate(Pending &pending, Clock::time_point now)
{
    if (pending.isWaiting)
        pending.set->onOverload(now);
    refuse(pending, Reason::DeadlineExceeded, pending.set->expectedWait(now), now);
}

void SlotScheduler::enqueue(Pending &pending, Clock::time_point now)
{
    ReplicaSet &set = *pending.set;
    // A waiting hedge keeps the queue position of its first copy.
    if (pending.nextCopy != CopyKind::Hedge)
        pending.sequence = ++m_lastSequence;
    pending.isWaiting = true;
    set.waiting.emplace(QueueKey{pending.request.body->priority, pending.sequence},
                        internal::QueuedRequest{pending.request.id, pending.request.deadline});
    ++m_waitingCount;
    const Clock::time_point latestStart = pending.request.deadline - set.typicalLatency(now);
    schedule(std::min(latestStart, pending.unsentLimit), pending.request.id);
}

void SlotScheduler::dequeue(Pending &pending)
{
    if (!pending.isWaiting)
        return;
    pending.isWaiting = false;
    --m_waitingCount;
    pending.set->waiting.erase(QueueKey{pending.request.body->priority, pending.sequence});
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
    refuseUnservable(set, now);
    scheduleWakeUp(set, now);
}

bool SlotScheduler::sendNext(ReplicaSet &set, Clock::time_point now)
{
    auto position = set.nextToServe(now);
    for (int skipped = 0; skipped < MaxSkipped && position != set.waiting.end();
         ++skipped, ++position) {
        Pending &pending = m_pending.at(position->second.request);
        if (isSnapshotGone(set, pending.request.snapshot)) {
            CallOutcome outcome;
            outcome.verdict = {Execution::NotRun, Reason::SnapshotGone};
            outcome.held = set.replicas.front().held;
            replyTo(pending, std::move(outcome), now);
            return true;
        }
        const bool isHedge = pending.nextCopy == CopyKind::Hedge;
        const Selection selection{pending.request.snapshot, pending.tried, isHedge};
        Replica *replica = nullptr;
        if (!pending.request.body->isIdempotent)
            replica = chooseProbe(set, selection, internal::ProbeUrgency::Overdue, now);
        if (replica == nullptr)
            replica = chooseReplica(set, selection, now);
        if (replica == nullptr && !set.takesRequests(now))
            replica = chooseProbe(set, selection, internal::ProbeUrgency::Due, now);
        if (replica == nullptr)
            continue;
        if (isHedge && !m_budget.trySpend()) {
            dropWaitingHedge(pending, now);
            return true;
        }
        dequeue(pending);
        send(pending, *replica, pending.nextCopy, now);
        tryProbe(pending, now);
        return true;
    }
    return false;
}

void SlotScheduler::dispatchOtherSets(const TargetState &target, const ReplicaSet &dispatched,
                                      Clock::time_point now)
{
    for (ReplicaSet *set : target.sets)
        if (set != &dispatched && !set->waiting.empty())
            dispatch(*set, now);
}

void SlotScheduler::trimQueue(ReplicaSet &set, Clock::time_point now)
{
    while (!set.waiting.empty()) {
        const auto position = set.nextToDrop();
        const microseconds wait = set.expectedWait(now);
        const bool isFull = set.waiting.size() > m_options.maxWaitingPerShard;
        const bool isLate = now + wait + set.typicalLatency(now) > position->second.deadline;
        if (!isFull && !isLate)
            return;
        set.onOverload(now);
        Pending &pending = m_pending.at(position->second.request);
        if (pending.nextCopy == CopyKind::Hedge)
            dropWaitingHedge(pending, now); // The first copy may still be answered.
        else
            refuse(pending, Reason::Overloaded, wait, now);
    }
}

void SlotScheduler::refuseUnservable(ReplicaSet &set, Clock::time_point now)
{
    if (set.waiting.empty())
        return;
    Clock::time_point earliestUse = Clock::time_point::max();
    bool isDraining = false;
    for (const Replica &replica : set.replicas) {
        if (replica.target->health.takesRequests(now) || replica.target->slotsInUse != 0)
            return;
        earliestUse = std::min(earliestUse, replica.target->health.nextUsableAt());
        isDraining |= replica.target->health.condition() == TargetCondition::Draining;
    }
    std::vector<ShardRequestId> unservable;
    for (const auto &[key, queued] : set.waiting)
        if (queued.deadline <= earliestUse)
            unservable.push_back(queued.request);
    const Clock::duration untilUsable = set.replicas.empty()
        ? Clock::duration(0)
        : std::clamp<Clock::duration>(earliestUse - now, Clock::duration(0), MaxRetryAfter);
    const auto wait = duration_cast<microseconds>(untilUsable);
    for (const ShardRequestId id : unservable)
        refuse(m_pending.at(id), isDraining ? Reason::Draining : Reason::NoReplica, wait, now);
}

void SlotScheduler::scheduleWakeUp(ReplicaSet &set, Clock::time_point now)
{
    if (set.waiting.empty() || set.wakeAt > now)
        return;
    Clock::time_point earliest = Clock::time_point::max();
    for (const Replica &replica : set.replicas)
        if (replica.target->health.nextUsableAt() > now)
            earliest = std::min(earliest, replica.target->health.nextUsableAt());
    if (earliest == Clock::time_point::max())
        return;
    set.wakeAt = earliest;
    m_timers.push(TimerEntry{earliest, 0, set.shared_from_this()});
}

} // namespace mangoshift
