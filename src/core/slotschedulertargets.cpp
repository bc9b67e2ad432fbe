// The part of `SlotScheduler` that keeps the state of the targets: applies documents, records the
// outcomes of calls, and suspends and resumes sending.

#include <algorithm>
#include <utility>

#include "mangoshift/slotscheduler.h"
#include "replicaset.h"

namespace mangoshift {

using internal::Replica;
using internal::ReplicaSet;
using internal::TargetState;

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

/// A success within this many times the target's average latency lets its slot limit grow.
constexpr int NormalLatencyFactor = 2;
/// A target counts as unreachable if no connection to it could be opened for this long.
constexpr std::chrono::milliseconds ConnectTimeout{50};

} // namespace

SchedulerActions SlotScheduler::applyDocument(DocumentPtr document, Clock::time_point now)
{
    m_document = std::move(document);
    for (auto &[key, target] : m_targets)
        target->sets.clear();
    std::vector<ShardRequestId> orphans;
    for (auto it = m_sets.begin(); it != m_sets.end();) {
        ReplicaSet &set = *it->second;
        fillReplicas(set);
        if (set.replicas.empty())
            for (const auto &[key, queued] : set.waiting)
                orphans.push_back(queued.request);
        it = set.replicas.empty() ? m_sets.erase(it) : std::next(it);
    }
    for (const ShardRequestId id : orphans)
        refuse(m_pending.at(id), Reason::UnknownShard, microseconds(0), now);
    dropUnusedTargets();
    for (auto &[key, set] : m_sets)
        dispatch(*set, now);
    return takeActions();
}

SchedulerActions SlotScheduler::suspend(Clock::time_point now)
{
    m_isSuspended = true;
    std::vector<ShardRequestId> unsent;
    for (const auto &[id, pending] : m_pending)
        if (pending.tried.empty())
            unsent.push_back(id);
    for (const ShardRequestId id : unsent)
        refuse(m_pending.at(id), Reason::NotReady, microseconds(0), now);
    return takeActions();
}

SchedulerActions SlotScheduler::resume(Clock::time_point now)
{
    m_isSuspended = false;
    for (auto &[key, set] : m_sets)
        dispatch(*set, now);
    return takeActions();
}

SchedulerActions SlotScheduler::setSharingVms(std::size_t vms, Clock::time_point now)
{
    if (std::exchange(m_sharingVms, std::max<std::size_t>(vms, 1)) == m_sharingVms || !m_document)
        return {};
    return applyDocument(m_document, now);
}

SchedulerActions SlotScheduler::setForeignDomains(std::set<std::string> domains,
                                                  Clock::time_point now)
{
    if (domains == m_foreignDomains)
        return {};
    m_foreignDomains = std::move(domains);
    if (!m_document)
        return {};
    return applyDocument(m_document, now);
}

void SlotScheduler::dropUnusedTargets()
{
    std::erase_if(m_targets, [](const auto &entry) {
        return entry.second->sets.empty() && entry.second->slotsInUse == 0;
    });
}

std::shared_ptr<ReplicaSet> SlotScheduler::findOrCreateSet(const ShardRequest &request)
{
    std::shared_ptr<ReplicaSet> &set = m_sets[{request.shard.value, request.failureDomain}];
    if (!set) {
        set = std::make_shared<ReplicaSet>();
        set->shard = request.shard;
        set->failureDomain = request.failureDomain;
        fillReplicas(*set);
    }
    return set;
}

void SlotScheduler::fillReplicas(ReplicaSet &set)
{
    const std::vector<Replica> before = std::exchange(set.replicas, {});
    for (const std::size_t index : replicasFor(set)) {
        Replica replica{index, findOrCreateTarget(m_document->document().targets[index]), {}};
        replica.target->sets.push_back(&set);
        for (const Replica &old : before)
            if (old.target == replica.target)
                replica.held = old.held;
        set.replicas.push_back(std::move(replica));
    }
}

std::vector<std::size_t> SlotScheduler::replicasFor(const ReplicaSet &set) const
{
    const Shard *shard = m_document->find(set.shard).shard;
    if (shard == nullptr)
        return {};
    std::vector<std::size_t> chosen;
    for (const std::size_t index : shard->replicas) {
        const std::string &domain = m_document->document().targets[index].failureDomain;
        const bool isChosen = set.failureDomain.empty() ? !m_foreignDomains.contains(domain)
                                                        : domain == set.failureDomain;
        if (isChosen)
            chosen.push_back(index);
    }
    return chosen.empty() && set.failureDomain.empty() ? shard->replicas : chosen;
}

std::shared_ptr<TargetState> SlotScheduler::findOrCreateTarget(const Target &target)
{
    // A target with the same name at another address is another process.
    std::shared_ptr<TargetState> &state = m_targets[target.name + '@' + target.address];
    if (!state) {
        state = std::make_shared<TargetState>();
        state->name = target.name;
        state->address = target.address;
    }
    state->failureDomain = target.failureDomain;
    state->slots = slotShareOf(target);
    state->limit.setSlots(state->slots);
    return state;
}

std::uint32_t SlotScheduler::slotShareOf(const Target &target) const
{
    return std::max<std::uint32_t>(static_cast<std::uint32_t>(target.slots / m_sharingVms), 1);
}

void SlotScheduler::recordOutcome(const Call &call, const CallOutcome &outcome,
                                  Clock::time_point now)
{
    if (outcome.held.isKnown())
        if (Replica *replica = call.set->find(*call.target))
            replica->held = outcome.held;
    const TargetState &target = *call.target;
    const TargetCondition before = target.health.condition();
    if (outcome.verdict.isOk())
        recordSuccess(call, now);
    else
        recordRefusalOrFailure(call, outcome, now);
    if (target.health.condition() != before)
        m_actions.emplace_back(TargetChanged{target.name, target.failureDomain,
                                             target.health.condition(), target.slotsInUse,
                                             target.health.typicalLatency()});
}

void SlotScheduler::recordRefusalOrFailure(const Call &call, const CallOutcome &outcome,
                                           Clock::time_point now)
{
    switch (outcome.verdict.reason) {
    case Reason::Draining:
        call.target->health.onDraining(now);
        break;
    case Reason::Refused:
    case Reason::Overloaded:
        call.target->health.onShed(now);
        call.target->limit.onShed(now);
        break;
    case Reason::SnapshotGone:
    case Reason::BadRequest:
        break;
    default:
        recordFailure(call, outcome, now);
    }
}

void SlotScheduler::recordSuccess(const Call &call, Clock::time_point now)
{
    TargetState &target = *call.target;
    target.lastAnsweredSend = std::max(target.lastAnsweredSend, call.sentAt);
    const auto latency = duration_cast<microseconds>(now - call.sentAt);
    const microseconds typical = target.health.typicalLatency();
    target.health.onSuccess(latency, now);
    if (typical.count() == 0 || latency <= typical * NormalLatencyFactor)
        target.limit.onSuccess();
    if (target.health.condition() == TargetCondition::Draining)
        return; // It finishes what it had begun before it started to drain.
    if (target.health.condition() == TargetCondition::Active) {
        tryEject(call, TargetCondition::Slow, now);
    } else if (target.health.condition() != TargetCondition::Slow
               || call.set->isRecovery(target, latency)) {
        // A target that was slow kept responding, so it is not cold.
        if (target.health.condition() != TargetCondition::Slow)
            target.limit.reset();
        target.health.restore(now);
    }
}

void SlotScheduler::recordFailure(const Call &call, const CallOutcome &outcome,
                                  Clock::time_point now)
{
    TargetState &target = *call.target;
    if (outcome.isTargetResponsive && outcome.verdict.reason != Reason::Cancelled)
        return; // The connection is at fault, not the target.
    if (!outcome.wasSent) {
        const bool isConnectOverdue =
            call.isCancelled && call.cancelledAt - call.sentAt >= ConnectTimeout;
        if (isConnectOverdue || (!call.isCancelled && outcome.verdict.reason == Reason::Lost))
            target.health.onUnreachable(now);
        return;
    }
    const bool isTimeout = outcome.verdict.reason == Reason::DeadlineExceeded;
    if (call.isCancelled || isTimeout) {
        const Clock::time_point end = call.isCancelled ? call.cancelledAt : now;
        const auto unanswered = duration_cast<microseconds>(end - call.sentAt);
        const bool isOverdue = unanswered >= call.set->suspectTimeout(target)
            && call.sentAt >= target.lastAnsweredSend;
        if (isOverdue)
            tryEject(call, TargetCondition::Slow, now, true);
        target.health.onAbandoned(unanswered, now);
        tryEject(call, TargetCondition::Slow, now);
    }
    // A target that is merely slow is detected by its latencies.
    if (!isTimeout && outcome.verdict.reason != Reason::Cancelled && target.health.onFailure(now))
        tryEject(call, TargetCondition::Failing, now);
}

void SlotScheduler::tryEject(const Call &call, TargetCondition condition, Clock::time_point now,
                             bool isOverdue)
{
    TargetState &target = *call.target;
    if (target.health.condition() != TargetCondition::Active)
        return;
    if (condition == TargetCondition::Slow
        && (!m_options.ejectsSlow || (!isOverdue && !call.set->isOutlier(target))))
        return;
    const bool canEject =
        std::all_of(target.sets.begin(), target.sets.end(), [&](const ReplicaSet *set) {
            return set->canSpare(target) && (!isOverdue || set->hasTrustedPeer(target, now));
        });
    if (canEject)
        target.health.eject(condition, now);
}

SchedulerActions SlotScheduler::onServing(const std::string &target, Clock::time_point now)
{
    for (const auto &[key, state] : m_targets) {
        if (state->name != target || state->health.condition() != TargetCondition::Draining)
            continue;
        state->health.restore(now);
        state->limit.reset();
        m_actions.emplace_back(TargetChanged{state->name, state->failureDomain,
                                             state->health.condition(), state->slotsInUse,
                                             state->health.typicalLatency()});
    }
    return takeActions();
}

std::vector<TargetStatus> SlotScheduler::targetStatus() const
{
    std::vector<TargetStatus> all;
    for (const auto &[key, target] : m_targets)
        all.push_back({target->name, target->address, target->failureDomain, target->slots,
                       target->limit.limit(), target->slotsInUse, target->callsSent,
                       target->health.condition(), target->health.typicalLatency()});
    std::sort(all.begin(), all.end(),
              [](const TargetStatus &a, const TargetStatus &b) { return a.name < b.name; });
    return all;
}

} // namespace mangoshift
