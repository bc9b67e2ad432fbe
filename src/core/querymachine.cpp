#include "mangoshift/querymachine.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace mangoshift {

namespace {

/// Homes of a shard beyond this number are not used, because the tried homes are a 64-bit mask.
constexpr std::size_t MaxHomes = 64;
/// A home counts as silent after this many hedge delays; before that, a single late shard is more
/// likely.
constexpr int HedgeDelaysUntilSilent = 2;
/// The delay of the first retry at homes that do not know a shard; it doubles with each retry.
constexpr std::chrono::milliseconds FirstRetryDelay{5};

void append(QueryActions &actions, QueryActions more)
{
    for (QueryAction &action : more)
        actions.push_back(std::move(action));
}

} // namespace

QueryMachine::QueryMachine(QueryPlan plan, RootState &root)
    : m_plan(std::move(plan))
    , m_root(root)
    , m_states(m_plan.service->shards.size())
    , m_nextHedge(m_plan.deadline)
    , m_nextRetry(m_plan.deadline)
{
}

QueryActions QueryMachine::start(Clock::time_point now)
{
    m_startedAt = now;
    Indices all(m_states.size());
    std::iota(all.begin(), all.end(), 0);
    return finishOrArmTimer(now, send(all, ExtraCopy::Retry, now));
}

QueryActions QueryMachine::onOutcome(ExchangeId exchange, ShardOutcome outcome,
                                     Clock::time_point now)
{
    const auto index = m_plan.service->indexOf(outcome.shard);
    if (m_isFinished || !index)
        return {};
    ShardState &state = m_states[*index];
    Copy *copy = findCopy(state, exchange);
    if (copy == nullptr)
        return {};
    markEnded(*copy);
    if (outcome.verdict.reason == Reason::UnknownShard)
        recordUnknownShard(*index, copy->home);
    m_extraRequests += outcome.extraRequests;

    QueryActions actions;
    const bool isOfPinnedSnapshot = m_plan.snapshot == 0 || outcome.snapshot == m_plan.snapshot;
    if (outcome.verdict.isOk() && isOfPinnedSnapshot) {
        m_repliedShards += state.replies.empty() ? 1 : 0;
        if (!m_timeToMostShards && 10 * m_repliedShards >= 9 * m_states.size())
            m_timeToMostShards = now - m_startedAt;
        state.replies.push_back({outcome.snapshot, std::move(outcome.rows)});
        cancelCopies({*index}, actions);
        --m_pendingShards;
        return finishOrArmTimer(now, std::move(actions));
    }
    recordFailure(state,
                  outcome.verdict.isOk() ? Verdict{Execution::Ran, Reason::SnapshotGone}
                                         : outcome.verdict);
    // A refusal by the home itself put no load on any target, so its retry is free.
    const Reason reason = state.failure->reason;
    const bool isHomeRefusal = reason == Reason::NotReady || reason == Reason::UnknownShard;
    const auto kind = isHomeRefusal ? std::nullopt : std::optional(ExtraCopy::Retry);
    return finishOrArmTimer(now, retryOrFail({*index}, kind, now));
}

QueryActions QueryMachine::onHomeLost(const VmId &home, Clock::time_point now)
{
    if (m_isFinished)
        return {};
    Indices lost;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        ShardState &state = m_states[i];
        bool hasLostCopy = false;
        for (Copy &copy : state.copies) {
            if (copy.exchange == 0 || m_plan.service->vms[copy.home.vm] != home)
                continue;
            markEnded(copy);
            hasLostCopy = true;
        }
        if (!hasLostCopy)
            continue;
        recordFailure(state, {Execution::MayHaveRun, Reason::Lost});
        lost.push_back(i);
    }
    return lost.empty() ? QueryActions{}
                        : finishOrArmTimer(now, retryOrFail(lost, ExtraCopy::SilentHome, now));
}

QueryActions QueryMachine::onUnsent(ExchangeId exchange, Clock::time_point now)
{
    if (m_isFinished)
        return {};
    Indices unsent;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        Copy *copy = findCopy(m_states[i], exchange);
        if (copy == nullptr)
            continue;
        markEnded(*copy);
        recordFailure(m_states[i], {Execution::NotRun, Reason::Overloaded});
        unsent.push_back(i);
    }
    return unsent.empty() ? QueryActions{}
                          : finishOrArmTimer(now, retryOrFail(unsent, ExtraCopy::SilentHome, now));
}

QueryActions QueryMachine::onTimer(Clock::time_point now)
{
    if (m_isFinished)
        return {};
    m_armedAt = {};
    if (now >= m_plan.deadline)
        return finish();
    QueryActions actions = now >= m_nextRetry ? sendDueRetries(now) : QueryActions{};
    if (now >= m_nextHedge)
        append(actions, hedge(now));
    return finishOrArmTimer(now, std::move(actions));
}

QueryMachine::Copy *QueryMachine::findCopy(ShardState &state, ExchangeId exchange)
{
    for (Copy &copy : state.copies)
        if (exchange != 0 && copy.exchange == exchange)
            return &copy;
    return nullptr;
}

void QueryMachine::markEnded(Copy &copy)
{
    copy.exchange = 0;
}

void QueryMachine::recordUnknownShard(std::size_t index, const PlannedHome &home)
{
    const auto &homes = m_plan.service->shards[index].homes;
    const std::size_t count = std::min(homes.size(), MaxHomes);
    for (std::size_t i = 0; i < count; ++i)
        if (homes[i].vm == home.vm && homes[i].failureDomain == home.failureDomain)
            m_states[index].homesWithoutShard |= std::uint64_t(1) << i;
}

void QueryMachine::recordFailure(ShardState &state, const Verdict &verdict)
{
    // A shard request has not run only if none of its copies may have run.
    const Execution before = state.failure ? state.failure->execution : Execution::NotRun;
    state.failure = verdict;
    state.failure->execution = std::max(before, verdict.execution);
}

/// Handles shards of which a copy has ended without a usable reply. A shard that has no other copy
/// pending is requested from its next home. If only homes that did not know the shard are left, its
/// retry is scheduled. Shards that cannot be retried are no longer pending.
QueryActions QueryMachine::retryOrFail(const Indices &indices, std::optional<ExtraCopy> kind,
                                       Clock::time_point now)
{
    Indices retries;
    for (const std::size_t index : indices) {
        ShardState &state = m_states[index];
        if (state.isPending())
            continue;
        if (canRetry(state) && !hasUntriedHome(index) && state.homesWithoutShard != 0) {
            scheduleRetry(state, now);
            continue;
        }
        --m_pendingShards;
        if (canRetry(state))
            retries.push_back(index);
    }
    QueryActions actions = send(retries, kind, now);
    for (const std::size_t index : indices)
        if (!m_states[index].isPending() && m_states[index].failure->reason == Reason::SnapshotGone)
            m_isSnapshotGone = true;
    return actions;
}

/// Schedules a retry at the homes that did not know the shard, because the configuration that this
/// query was planned with may not have reached them yet.
void QueryMachine::scheduleRetry(ShardState &state, Clock::time_point now)
{
    state.triedHomes &= ~std::exchange(state.homesWithoutShard, 0);
    state.retryDelay = std::max<Clock::duration>(state.retryDelay * 2, FirstRetryDelay);
    state.retryAt = now + state.retryDelay;
    m_nextRetry = std::min(m_nextRetry, *state.retryAt);
}

QueryActions QueryMachine::sendDueRetries(Clock::time_point now)
{
    m_nextRetry = m_plan.deadline;
    Indices due;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        ShardState &state = m_states[i];
        if (!state.retryAt)
            continue;
        if (now < *state.retryAt) {
            m_nextRetry = std::min(m_nextRetry, *state.retryAt);
            continue;
        }
        state.retryAt.reset();
        --m_pendingShards;
        due.push_back(i);
    }
    return send(due, std::nullopt, now);
}

bool QueryMachine::canRetry(const ShardState &state) const
{
    switch (state.failure->reason) {
    case Reason::BadRequest:
    case Reason::DeadlineExceeded:
        return false;
    default:
        return m_plan.isIdempotent || state.failure->execution == Execution::NotRun;
    }
}

std::optional<PlannedHome> QueryMachine::takeNextHome(std::size_t index, Clock::time_point now)
{
    const ServicePlan &service = *m_plan.service;
    const PlannedShard &shard = service.shards[index];
    ShardState &state = m_states[index];
    const auto isUntried = [&](std::size_t i) {
        if ((state.triedHomes >> i & 1U) != 0)
            return false;
        return std::none_of(state.copies.begin(), state.copies.end(), [&](const Copy &copy) {
            return copy.exchange != 0 && copy.home.vm == shard.homes[i].vm;
        });
    };
    const auto lacksSnapshot = [&](std::size_t i) {
        return m_root.snapshots().lacksSnapshot(
            shard.key, service.failureDomains[shard.homes[i].failureDomain], m_plan.snapshot, now);
    };
    // Homes that are not known to lack the snapshot are preferred; homes to be avoided come last.
    const std::size_t count = std::min(shard.homes.size(), MaxHomes);
    std::optional<std::size_t> fallback;
    for (const bool shouldLack : {false, true}) {
        for (std::size_t i = 0; i < count; ++i) {
            if (!isUntried(i) || lacksSnapshot(i) != shouldLack)
                continue;
            fallback = fallback.value_or(i);
            if (m_root.homes().shouldAvoid(service.vms[shard.homes[i].vm], now))
                continue;
            state.triedHomes |= std::uint64_t(1) << i;
            return shard.homes[i];
        }
    }
    if (!fallback)
        return std::nullopt;
    state.triedHomes |= std::uint64_t(1) << *fallback;
    return shard.homes[*fallback];
}

bool QueryMachine::hasUntriedHome(std::size_t index) const
{
    const std::size_t count = std::min(m_plan.service->shards[index].homes.size(), MaxHomes);
    const std::uint64_t all =
        count == MaxHomes ? ~std::uint64_t(0) : (std::uint64_t(1) << count) - 1;
    return (m_states[index].triedHomes & all) != all;
}

/// Sends the next copy of each shard request. First copies are free; further copies are paid for as
/// extra copies of `kind`, or are free if `kind` is empty.
QueryActions QueryMachine::send(const Indices &indices, std::optional<ExtraCopy> kind,
                                Clock::time_point now)
{
    std::map<std::pair<std::uint32_t, std::uint32_t>, SendBatch> batches;
    const ServicePlan &service = *m_plan.service;
    std::size_t firstCopies = 0;
    for (const std::size_t index : indices) {
        ShardState &state = m_states[index];
        if (now >= m_plan.deadline || !hasUntriedHome(index))
            continue;
        if (state.hasBeenSent && kind && !m_root.trySpend(*kind))
            continue;
        const auto home = takeNextHome(index, now);
        if (!home)
            continue;
        firstCopies += state.hasBeenSent ? 0 : 1;
        m_extraRequests += state.hasBeenSent ? 1 : 0;
        SendBatch &batch = batches[{home->vm, home->failureDomain}];
        if (batch.exchange == 0)
            batch = {m_root.nextExchange(),
                     service.vms[home->vm],
                     service.failureDomains[home->failureDomain],
                     m_plan.snapshot,
                     {}};
        batch.shards.push_back(service.shards[index].key);
        m_pendingShards += state.isPending() ? 0 : 1;
        Copy &copy = state.copies[state.copies[0].exchange == 0 ? 0 : 1];
        copy = {batch.exchange, *home, now};
        state.hasBeenSent = true;
    }
    m_root.onFirstCopies(firstCopies);
    if (!batches.empty() && m_plan.hedgeDelay > Clock::duration::zero())
        m_nextHedge = std::min(m_nextHedge, now + m_plan.hedgeDelay);
    QueryActions actions;
    for (auto &[home, batch] : batches)
        actions.emplace_back(std::move(batch));
    return actions;
}

/// Cancels all pending copies of the shards.
void QueryMachine::cancelCopies(const Indices &indices, QueryActions &actions)
{
    std::map<ExchangeId, CancelBatch> batches;
    for (const std::size_t index : indices) {
        for (Copy &copy : m_states[index].copies) {
            if (copy.exchange == 0)
                continue;
            CancelBatch &batch = batches[copy.exchange];
            batch.exchange = copy.exchange;
            batch.home = m_plan.service->vms[copy.home.vm];
            batch.shards.push_back(m_plan.service->shards[index].key);
            markEnded(copy);
        }
    }
    for (auto &[exchange, batch] : batches)
        actions.emplace_back(std::move(batch));
}

/// Restarts the query if another snapshot promises more shards, finishes it if no shard is pending,
/// or else arms the timer. Appends its actions to `actions`.
QueryActions QueryMachine::finishOrArmTimer(Clock::time_point now, QueryActions actions)
{
    if (shouldRestart(now))
        append(actions, restart(now));
    if (m_pendingShards == 0) {
        append(actions, finish());
        return actions;
    }
    const Clock::time_point at = std::min({m_nextHedge, m_nextRetry, m_plan.deadline});
    if (at != m_armedAt)
        actions.emplace_back(ArmTimer{at});
    m_armedAt = at;
    return actions;
}

QueryActions QueryMachine::hedge(Clock::time_point now)
{
    m_nextHedge = m_plan.deadline;
    QueryActions actions;
    for (const ExtraCopy kind : {ExtraCopy::SilentHome, ExtraCopy::Straggler}) {
        Indices late;
        for (std::size_t i = 0; i < m_states.size(); ++i)
            if (hedgeKind(m_states[i], now) == kind)
                late.push_back(i);
        append(actions, send(late, kind, now));
    }
    // Copies that were not hedged for lack of budget are checked again, in case their home goes
    // silent, for which there is a separate allowance.
    for (const ShardState &state : m_states)
        if (const Copy *copy = singlePendingCopy(state))
            m_nextHedge =
                std::min(m_nextHedge,
                         std::max(copy->sentAt, now - m_plan.hedgeDelay / 2) + m_plan.hedgeDelay);
    return actions;
}

const QueryMachine::Copy *QueryMachine::singlePendingCopy(const ShardState &state)
{
    const bool hasFirst = state.copies[0].exchange != 0;
    const bool hasSecond = state.copies[1].exchange != 0;
    return hasFirst == hasSecond ? nullptr : &state.copies[hasFirst ? 0 : 1];
}

std::optional<ExtraCopy> QueryMachine::hedgeKind(const ShardState &state,
                                                 Clock::time_point now) const
{
    const Copy *copy = singlePendingCopy(state);
    if (copy == nullptr || !m_plan.isIdempotent || now - copy->sentAt < m_plan.hedgeDelay)
        return std::nullopt;
    const VmId &home = m_plan.service->vms[copy->home.vm];
    const bool isSilent = now - copy->sentAt >= HedgeDelaysUntilSilent * m_plan.hedgeDelay
        && m_root.homes().isSilentSince(home, copy->sentAt);
    if (!isSilent)
        return ExtraCopy::Straggler;
    m_root.homes().onUnreachable(home, now);
    return ExtraCopy::SilentHome;
}

/// Returns whether another snapshot promises more shards than the current one can still cover.
bool QueryMachine::shouldRestart(Clock::time_point now) const
{
    const bool isPinned = m_plan.snapshot != 0;
    if (m_hasRestarted || now + m_plan.typicalTime >= m_plan.deadline
        || (isPinned ? !m_isSnapshotGone : m_pendingShards != 0))
        return false;
    const SnapshotId best = bestSnapshot();
    std::size_t bestCoverage = 0;
    bool isMixed = false;
    for (const ShardState &state : m_states) {
        bestCoverage += hasReplyFor(state, best) ? 1 : 0;
        isMixed = isMixed || (!state.replies.empty() && !hasReplyFor(state, best));
    }
    if (!isPinned && !isMixed)
        return false;
    const SnapshotId chosen = m_root.snapshots().choose(m_plan.service);
    return chosen != 0 && chosen != m_plan.snapshot
        && m_root.snapshots().servingShardCount(*m_plan.service, chosen)
        > bestCoverage + m_pendingShards;
}

QueryActions QueryMachine::restart(Clock::time_point now)
{
    const SnapshotId chosen = m_root.snapshots().choose(m_plan.service);
    Indices remaining;
    for (std::size_t i = 0; i < m_states.size(); ++i)
        if (!hasReplyFor(m_states[i], chosen))
            remaining.push_back(i);
    m_hasRestarted = true;
    if (!m_root.trySpendRestart(remaining.size()))
        return {};
    for (const std::size_t index : remaining) {
        ShardState &state = m_states[index];
        if (state.isPending())
            recordFailure(state, {Execution::MayHaveRun, Reason::Cancelled});
        state.triedHomes = 0;
        state.homesWithoutShard = 0;
    }
    for (ShardState &state : m_states)
        state.retryAt.reset();
    QueryActions actions;
    cancelCopies(remaining, actions);
    m_pendingShards = 0;
    m_plan.snapshot = chosen;
    m_isSnapshotGone = false;
    append(actions, send(remaining, std::nullopt, now));
    return actions;
}

} // namespace mangoshift
