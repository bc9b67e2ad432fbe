#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"
#include "mangoshift/outcome.h"
#include "mangoshift/rootstate.h"
#include "mangoshift/serviceplan.h"

namespace mangoshift {

/// The plan of a query, made before its fan-out. The query keeps this plan until it finishes, even
/// if the configuration changes.
struct QueryPlan
{
    ServicePlanPtr service;
    Clock::time_point deadline;
    /// The snapshot that every shard is requested from; zero if none is known yet.
    SnapshotId snapshot = 0;
    /// Whether another copy may be sent after one that may have run.
    bool isIdempotent = true;
    /// How long a shard request may be pending before it is hedged; zero disables hedging.
    Clock::duration hedgeDelay{0};
    /// The typical time of a query; with less time left before its deadline a query is not
    /// restarted.
    Clock::duration typicalTime{0};
};

/// A shard that is missing from an answer, and the reason. The verdict covers all copies sent.
struct MissingShard
{
    std::string shard;
    Verdict verdict;
};

/// The answer to a query: rows of one snapshot, and which shards are missing.
struct QueryAnswer
{
    SnapshotId snapshot = 0;
    std::size_t shardsRequested = 0;
    /// The rows of each shard that replied, in the plan's order; each element is a JSON array.
    std::vector<std::string> rows;
    std::vector<MissingShard> missing;
    /// The number of requests sent to homes or targets beyond the first one for each shard.
    std::uint32_t extraRequests = 0;
    /// The time from the start until nine tenths of the shards had replied; empty if fewer did.
    std::optional<Clock::duration> timeToMostShards;

    bool isComplete() const { return missing.empty(); }
    /// Returns `NotRun` only if no copy of any shard request may have run.
    Execution execution() const;
    /// Returns the verdict on the whole query if it fails because shards are missing:
    /// `execution()`, the reason of a shard that made it so, and, if nothing has run, the longest
    /// time after which a shard may be requested again.
    Verdict failure() const;
};

/// Action: sends one frame that requests `shards` from `home`. The home uses only replicas in
/// `failureDomain`, or all replicas if the name is empty.
struct SendBatch
{
    ExchangeId exchange = 0;
    VmId home;
    std::string failureDomain;
    SnapshotId snapshot = 0;
    std::vector<ShardKey> shards;
};

/// Action: tells a home that the replies for these shards are no longer needed.
struct CancelBatch
{
    ExchangeId exchange = 0;
    VmId home;
    std::vector<ShardKey> shards;
};

/// Action: requests a call of `QueryMachine::onTimer` at `at`; replaces the timer armed before.
struct ArmTimer
{
    Clock::time_point at;
};

/// Action: ends the query with its only answer.
struct FinishQuery
{
    QueryAnswer answer;
};

using QueryAction = std::variant<SendBatch, CancelBatch, ArmTimer, FinishQuery>;
using QueryActions = std::vector<QueryAction>;

/// Drives one query at its root: chooses homes, hedges and retries shard requests, and composes the
/// answer.
///
/// Guarantees that:
/// - exactly one `FinishQuery` is returned, at the deadline at the latest;
/// - all rows of the answer are from one snapshot;
/// - the rows of a shard are used once, however many replies arrive;
/// - each requested shard is either among the rows or among the missing shards;
/// - copies beyond the first are paid for from the budgets of `RootState`, except those that
/// replace a copy that its home refused itself.
///
/// Reads no clock and sends nothing: the owner performs the actions. Not thread safe.
class QueryMachine
{
public:
    /// `root` must outlive the query.
    QueryMachine(QueryPlan plan, RootState &root);

    /// Starts the query; must be called once.
    QueryActions start(Clock::time_point now);
    /// Handles a home's reply for one shard of an exchange. The owner must first pass the snapshots
    /// that the reply mentions to `RootState`.
    QueryActions onOutcome(ExchangeId exchange, ShardOutcome outcome, Clock::time_point now);
    /// Handles the loss of the connection to a home.
    QueryActions onHomeLost(const VmId &home, Clock::time_point now);
    /// Handles an exchange that could not be sent at all.
    QueryActions onUnsent(ExchangeId exchange, Clock::time_point now);
    /// Handles the expiry of the armed timer.
    QueryActions onTimer(Clock::time_point now);

    bool isFinished() const { return m_isFinished; }
    const QueryPlan &plan() const { return m_plan; }

private:
    /// A pending copy of a shard request.
    struct Copy
    {
        ExchangeId exchange = 0; ///< Zero if no copy is pending.
        PlannedHome home;
        Clock::time_point sentAt;
    };
    struct Reply
    {
        SnapshotId snapshot = 0;
        std::string rows;
    };
    struct ShardState
    {
        std::array<Copy, 2> copies; ///< The pending copies: the first and its hedge.
        std::uint64_t triedHomes = 0; ///< One bit for each of the shard's homes.
        /// The tried homes that do not have the shard in their configuration, one bit each.
        std::uint64_t homesWithoutShard = 0;
        bool hasBeenSent = false;
        std::vector<Reply> replies; ///< At most one for each snapshot.
        std::optional<Verdict> failure;
        /// When the request is sent again to the homes that did not know the shard.
        std::optional<Clock::time_point> retryAt;
        Clock::duration retryDelay{0};

        bool isPending() const { return copies[0].exchange != 0 || copies[1].exchange != 0; }
    };
    using Indices = std::vector<std::size_t>;

    static bool hasReplyFor(const ShardState &state, SnapshotId snapshot);
    static Copy *findCopy(ShardState &state, ExchangeId exchange);
    static const Copy *singlePendingCopy(const ShardState &state);
    static void markEnded(Copy &copy);
    void recordUnknownShard(std::size_t index, const PlannedHome &home);
    static void recordFailure(ShardState &state, const Verdict &verdict);
    QueryActions retryOrFail(const Indices &indices, std::optional<ExtraCopy> kind,
                             Clock::time_point now);
    void scheduleRetry(ShardState &state, Clock::time_point now);
    QueryActions sendDueRetries(Clock::time_point now);
    bool canRetry(const ShardState &state) const;
    std::optional<PlannedHome> takeNextHome(std::size_t index, Clock::time_point now);
    bool hasUntriedHome(std::size_t index) const;
    QueryActions send(const Indices &indices, std::optional<ExtraCopy> kind, Clock::time_point now);
    void cancelCopies(const Indices &indices, QueryActions &actions);
    QueryActions finishOrArmTimer(Clock::time_point now, QueryActions actions);
    QueryActions hedge(Clock::time_point now);
    /// Returns the budget that pays for the hedge of a shard, or no value if no hedge is due.
    /// Reports a home that has gone silent as unreachable.
    std::optional<ExtraCopy> hedgeKind(const ShardState &state, Clock::time_point now) const;
    bool shouldRestart(Clock::time_point now) const;
    QueryActions restart(Clock::time_point now);
    SnapshotId bestSnapshot() const;
    MissingShard missingShard(std::size_t index) const;
    QueryActions finish();

    QueryPlan m_plan;
    RootState &m_root;
    std::vector<ShardState> m_states;
    Clock::time_point m_startedAt;
    std::size_t m_repliedShards = 0; ///< Shards with rows of at least one snapshot.
    std::optional<Clock::duration> m_timeToMostShards;
    std::size_t m_pendingShards = 0; ///< Shards with a pending copy or a scheduled retry.
    std::uint32_t m_extraRequests = 0;
    Clock::time_point m_nextHedge;
    Clock::time_point m_nextRetry;
    Clock::time_point m_armedAt;
    bool m_isSnapshotGone = false; ///< Some shard has no home left for the pinned snapshot.
    bool m_hasRestarted = false;
    bool m_isFinished = false;
};

} // namespace mangoshift
