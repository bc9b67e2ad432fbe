#include "mangoshift/querymachine.h"

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

namespace mangoshift {

namespace {

/// A shard's homes beyond this number are not used, so that one word tells which were tried.
constexpr std::size_t MaxHomes = 64;
/// A home counts as silent after this many hedge delays: before, one late shard is likelier.
constexpr int SilentDelays = 2;
/// Homes that do not know of a shard are asked again after this, then after twice as long, and so
/// on.
constexpr std::chrono::milliseconds FirstAskAgain{5};

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
    , m_nextAsk(m_plan.deadline)
{
}

QueryActions QueryMachine::start(Clock::time_point now)
{
    m_startedAt = now;
    Indices all(m_states.size());
    std::iota(all.begin(), all.end(), 0);
    return settle(now, send(all, ExtraCopy::Retry, now));
}

QueryActions QueryMachine::onOutcome(ExchangeId exchange, ShardOutcome outcome,
                                     Clock::time_point now)
{
    const auto index = m_plan.service->indexOf(outcome.shard);
    if (m_isFinished || !index)
        return {};
    ShardState &state = m_states[*index];
    Copy *copy = copyOf(state, exchange);
    if (copy == nullptr)
        return {};
    close(*copy);
    if (outcome.verdict.reason == Reason::UnknownShard)
        noteUnknowing(*index, copy->home);
    m_extraRequests += outcome.extraRequests;

    QueryActions actions;
    const bool isOfPin = m_plan.snapshot == 0 || outcome.snapshot == m_plan.snapshot;
    if (outcome.verdict.isOk() && isOfPin) {
        m_answered += state.answers.empty() ? 1 : 0;
        if (!m_bulkTime && 10 * m_answered >= 9 * m_states.size())
            m_bulkTime = now - m_startedAt;
        state.answers.push_back({outcome.snapshot, std::move(outcome.rows)});
        cancelCopies({*index}, actions);
        --m_waiting;
        return settle(now, std::move(actions));
    }
    noteFailure(state,
                outcome.verdict.isOk() ? Verdict{Execution::Ran, Reason::SnapshotGone}
                                       : outcome.verdict);
    // What the home itself refused has put no load on any target.
    const Reason reason = state.failure->reason;
    const bool isHomeRefusal = reason == Reason::NotReady || reason == Reason::UnknownShard;
    const auto kind = isHomeRefusal ? std::nullopt : std::optional(ExtraCopy::Retry);
    return settle(now, failCopies({*index}, kind, now));
}

QueryActions QueryMachine::onHomeLost(const VmId &home, Clock::time_point now)
{
    if (m_isFinished)
        return {};
    Indices lost;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        ShardState &state = m_states[i];
        bool hasLost = false;
        for (Copy &copy : state.copies) {
            if (copy.exchange == 0 || m_plan.service->vms[copy.home.vm] != home)
                continue;
            close(copy);
            hasLost = true;
        }
        if (!hasLost)
            continue;
        noteFailure(state, {Execution::MayHaveRun, Reason::Lost});
        lost.push_back(i);
    }
    return lost.empty() ? QueryActions{}
                        : settle(now, failCopies(lost, ExtraCopy::SilentHome, now));
}

QueryActions QueryMachine::onUnsent(ExchangeId exchange, Clock::time_point now)
{
    if (m_isFinished)
        return {};
    Indices unsent;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        Copy *copy = copyOf(m_states[i], exchange);
        if (copy == nullptr)
            continue;
        close(*copy);
        noteFailure(m_states[i], {Execution::NotRun, Reason::Overloaded});
        unsent.push_back(i);
    }
    return unsent.empty() ? QueryActions{}
                          : settle(now, failCopies(unsent, ExtraCopy::SilentHome, now));
}

QueryActions QueryMachine::onTimer(Clock::time_point now)
{
    if (m_isFinished)
        return {};
    m_armedFor = {};
    if (now >= m_plan.deadline)
        return finish();
    QueryActions actions = now >= m_nextAsk ? askAgain(now) : QueryActions{};
    if (now >= m_nextHedge)
        append(actions, hedge(now));
    return settle(now, std::move(actions));
}

QueryMachine::Copy *QueryMachine::copyOf(ShardState &state, ExchangeId exchange)
{
    for (Copy &copy : state.copies)
        if (exchange != 0 && copy.exchange == exchange)
            return &copy;
    return nullptr;
}

void QueryMachine::close(Copy &copy)
{
    copy.exchange = 0;
}

void QueryMachine::noteUnknowing(std::size_t index, const PlannedHome &home)
{
    const auto &homes = m_plan.service->shards[index].homes;
    const std::size_t count = std::min(homes.size(), MaxHomes);
    for (std::size_t i = 0; i < count; ++i)
        if (homes[i].vm == home.vm && homes[i].failureDomain == home.failureDomain)
            m_states[index].unknowingHomes |= std::uint64_t(1) << i;
}

void QueryMachine::noteFailure(ShardState &state, const Verdict &verdict)
{
    // A shard is not run only if none of its copies may have run.
    const Execution before = state.failure ? state.failure->execution : Execution::NotRun;
    state.failure = verdict;
    state.failure->execution = std::max(before, verdict.execution);
}

/// Asks the next homes of shards that lost a copy, unless another copy of them is awaited.
QueryActions QueryMachine::failCopies(const Indices &indices, std::optional<ExtraCopy> kind,
                                      Clock::time_point now)
{
    Indices retries;
    for (const std::size_t index : indices) {
        ShardState &state = m_states[index];
        if (state.isWaiting())
            continue;
        if (mayRetry(state) && !hasUntriedHome(index) && state.unknowingHomes != 0) {
            postpone(state, now);
            continue;
        }
        --m_waiting;
        if (mayRetry(state))
            retries.push_back(index);
    }
    QueryActions actions = send(retries, kind, now);
    for (const std::size_t index : indices)
        if (!m_states[index].isWaiting() && m_states[index].failure->reason == Reason::SnapshotGone)
            m_isSnapshotGone = true;
    return actions;
}

/// Has the homes that did not know of a shard asked again after a while: the configuration that
/// this query was planned with may not have reached them yet.
void QueryMachine::postpone(ShardState &state, Clock::time_point now)
{
    state.triedHomes &= ~std::exchange(state.unknowingHomes, 0);
    state.askAgainDelay = std::max<Clock::duration>(state.askAgainDelay * 2, FirstAskAgain);
    state.askAgainAt = now + state.askAgainDelay;
    m_nextAsk = std::min(m_nextAsk, *state.askAgainAt);
}

QueryActions QueryMachine::askAgain(Clock::time_point now)
{
    m_nextAsk = m_plan.deadline;
    Indices due;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        ShardState &state = m_states[i];
        if (!state.askAgainAt)
            continue;
        if (now < *state.askAgainAt) {
            m_nextAsk = std::min(m_nextAsk, *state.askAgainAt);
            continue;
        }
        state.askAgainAt.reset();
        --m_waiting;
        due.push_back(i);
    }
    return send(due, std::nullopt, now);
}

bool QueryMachine::mayRetry(const ShardState &state) const
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
    const auto isOpen = [&](std::size_t i) {
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
    // Homes that are held to have the snapshot go first; a suspect home goes after all others.
    const std::size_t count = std::min(shard.homes.size(), MaxHomes);
    std::optional<std::size_t> fallback;
    for (const bool shouldLack : {false, true}) {
        for (std::size_t i = 0; i < count; ++i) {
            if (!isOpen(i) || lacksSnapshot(i) != shouldLack)
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

/// Sends the next copy of each shard. A first copy is free, another costs as `kind` says, or
/// nothing where it is paid for already.
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
        m_waiting += state.isWaiting() ? 0 : 1;
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

/// Withdraws all awaited copies of these shards.
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
            close(copy);
        }
    }
    for (auto &[exchange, batch] : batches)
        actions.emplace_back(std::move(batch));
}

QueryActions QueryMachine::settle(Clock::time_point now, QueryActions actions)
{
    if (shouldRestart(now))
        append(actions, restart(now));
    if (m_waiting == 0) {
        append(actions, finish());
        return actions;
    }
    const Clock::time_point at = std::min({m_nextHedge, m_nextAsk, m_plan.deadline});
    if (at != m_armedFor)
        actions.emplace_back(ArmTimer{at});
    m_armedFor = at;
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
    // A copy that found no budget is looked at again, in case that its home goes silent.
    for (const ShardState &state : m_states)
        if (const Copy *copy = onlyCopy(state))
            m_nextHedge =
                std::min(m_nextHedge,
                         std::max(copy->sentAt, now - m_plan.hedgeDelay / 2) + m_plan.hedgeDelay);
    return actions;
}

const QueryMachine::Copy *QueryMachine::onlyCopy(const ShardState &state)
{
    const bool hasFirst = state.copies[0].exchange != 0;
    const bool hasSecond = state.copies[1].exchange != 0;
    return hasFirst == hasSecond ? nullptr : &state.copies[hasFirst ? 0 : 1];
}

std::optional<ExtraCopy> QueryMachine::hedgeKind(const ShardState &state,
                                                 Clock::time_point now) const
{
    const Copy *copy = onlyCopy(state);
    if (copy == nullptr || !m_plan.isIdempotent || now - copy->sentAt < m_plan.hedgeDelay)
        return std::nullopt;
    const VmId &home = m_plan.service->vms[copy->home.vm];
    const bool isSilent = now - copy->sentAt >= SilentDelays * m_plan.hedgeDelay
        && m_root.homes().isSilentSince(home, copy->sentAt);
    if (!isSilent)
        return ExtraCopy::Straggler;
    m_root.homes().onUnreachable(home, now);
    return ExtraCopy::SilentHome;
}

/// Says whether another snapshot promises more shards than the present one can still give.
bool QueryMachine::shouldRestart(Clock::time_point now) const
{
    const bool isPinned = m_plan.snapshot != 0;
    if (m_hasRestarted || now + m_plan.typicalTime >= m_plan.deadline
        || (isPinned ? !m_isSnapshotGone : m_waiting != 0))
        return false;
    const SnapshotId best = bestSnapshot();
    std::size_t ofBest = 0;
    bool isMixed = false;
    for (const ShardState &state : m_states) {
        ofBest += hasAnswerOf(state, best) ? 1 : 0;
        isMixed = isMixed || (!state.answers.empty() && !hasAnswerOf(state, best));
    }
    if (!isPinned && !isMixed)
        return false;
    const SnapshotId chosen = m_root.snapshots().choose(m_plan.service);
    return chosen != 0 && chosen != m_plan.snapshot
        && m_root.snapshots().servingShardCount(*m_plan.service, chosen) > ofBest + m_waiting;
}

QueryActions QueryMachine::restart(Clock::time_point now)
{
    const SnapshotId chosen = m_root.snapshots().choose(m_plan.service);
    Indices again;
    for (std::size_t i = 0; i < m_states.size(); ++i)
        if (!hasAnswerOf(m_states[i], chosen))
            again.push_back(i);
    m_hasRestarted = true;
    if (!m_root.trySpendRestart(again.size()))
        return {};
    for (const std::size_t index : again) {
        ShardState &state = m_states[index];
        if (state.isWaiting())
            noteFailure(state, {Execution::MayHaveRun, Reason::Cancelled});
        state.triedHomes = 0;
        state.unknowingHomes = 0;
    }
    for (ShardState &state : m_states)
        state.askAgainAt.reset();
    QueryActions actions;
    cancelCopies(again, actions);
    m_waiting = 0;
    m_plan.snapshot = chosen;
    m_isSnapshotGone = false;
    append(actions, send(again, std::nullopt, now));
    return actions;
}

} // namespace mangoshift
