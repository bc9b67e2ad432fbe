// Composes the answer of a query: chooses its snapshot and lists the missing shards.

#include <algorithm>
#include <map>
#include <numeric>
#include <utility>

#include "mangoshift/querymachine.h"

namespace mangoshift {

Execution QueryAnswer::execution() const
{
    if (!rows.empty())
        return Execution::Ran;
    Execution most = Execution::NotRun;
    for (const MissingShard &each : missing)
        most = std::max(most, each.verdict.execution);
    return most;
}

Verdict QueryAnswer::failure() const
{
    Verdict verdict;
    for (const MissingShard &each : missing) {
        const bool isFirst = &each == &missing.front();
        if (isFirst || each.verdict.execution > verdict.execution) {
            verdict.execution = each.verdict.execution;
            verdict.reason = each.verdict.reason;
        }
        verdict.retryAfter = std::max(verdict.retryAfter, each.verdict.retryAfter);
    }
    verdict.execution = execution();
    if (verdict.execution != Execution::NotRun)
        verdict.retryAfter = std::chrono::milliseconds(0);
    return verdict;
}

bool QueryMachine::hasReplyFor(const ShardState &state, SnapshotId snapshot)
{
    return std::any_of(state.replies.begin(), state.replies.end(),
                       [&](const Reply &each) { return each.snapshot == snapshot; });
}

/// Returns the snapshot that covers the most shards; the newest of several.
SnapshotId QueryMachine::bestSnapshot() const
{
    std::map<SnapshotId, std::size_t> counts;
    for (const ShardState &state : m_states)
        for (const Reply &each : state.replies)
            ++counts[each.snapshot];
    SnapshotId best = m_plan.snapshot;
    std::size_t most = 0;
    for (const auto &[snapshot, count] : counts) {
        if (count < most)
            continue;
        best = snapshot;
        most = count;
    }
    return best;
}

MissingShard QueryMachine::missingShard(std::size_t index) const
{
    const PlannedShard &shard = m_plan.service->shards[index];
    const ShardState &state = m_states[index];
    if (!state.replies.empty())
        return {shard.name, {Execution::Ran, Reason::SnapshotGone}};
    if (state.isPending()) {
        const Execution before = state.failure ? state.failure->execution : Execution::NotRun;
        return {shard.name, {std::max(before, Execution::MayHaveRun), Reason::DeadlineExceeded}};
    }
    if (state.failure)
        return {shard.name, *state.failure};
    return {
        shard.name,
        {Execution::NotRun, shard.homes.empty() ? Reason::NoReplica : Reason::DeadlineExceeded}};
}

QueryActions QueryMachine::finish()
{
    m_isFinished = true;
    QueryAnswer answer;
    answer.snapshot = bestSnapshot();
    answer.shardsRequested = m_states.size();
    answer.extraRequests = m_extraRequests;
    answer.timeToMostShards = m_timeToMostShards;
    for (std::size_t i = 0; i < m_states.size(); ++i) {
        ShardState &state = m_states[i];
        const auto it =
            std::find_if(state.replies.begin(), state.replies.end(),
                         [&](const Reply &each) { return each.snapshot == answer.snapshot; });
        if (it != state.replies.end())
            answer.rows.push_back(std::move(it->rows));
        else
            answer.missing.push_back(missingShard(i));
    }
    QueryActions actions;
    Indices all(m_states.size());
    std::iota(all.begin(), all.end(), 0);
    cancelCopies(all, actions);
    actions.emplace_back(FinishQuery{std::move(answer)});
    return actions;
}

} // namespace mangoshift
