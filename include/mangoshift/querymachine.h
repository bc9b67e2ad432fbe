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

/// What a query is to do, as settled before its fan-out. The query finishes on this plan, whatever
/// becomes of the configuration meanwhile.
struct QueryPlan
{
    ServicePlanPtr service;
    Clock::time_point deadline;
    /// The snapshot that every shard is asked for; zero where none is known yet.
    SnapshotId snapshot = 0;
    /// Whether a copy that may have run may be followed by another.
    bool isIdempotent = true;
    /// After what time a shard that is not answered is asked for again elsewhere; zero for never.
    Clock::duration hedgeDelay{0};
    /// How long an answer commonly takes: with less time left a query is not started again.
    Clock::duration typicalTime{0};
};

/// A shard that is missing from an answer, and why. The verdict covers all copies that were sent.
struct MissingShard
{
    std::string shard;
    Verdict verdict;
};

/// The one answer to a query: rows of one snapshot, with their coverage.
struct QueryAnswer
{
    SnapshotId snapshot = 0;
    std::size_t shardsRequested = 0;
    /// The rows of each shard that answered, in the plan's order; each is a JSON array.
    std::vector<std::string> rows;
    std::vector<MissingShard> missing;
    /// Requests sent to homes or targets beyond the first for each shard.
    std::uint32_t extraRequests = 0;
    /// From the start until nine tenths of the shards had answered; nothing where they never did.
    std::optional<Clock::duration> timeToMostShards;

    bool isComplete() const { return missing.empty(); }
    /// Returns `NotRun` only where no copy for any shard may have run.
    Execution execution() const;
};

/// Sends one frame for `shards` to `home`, which uses their replicas in `failureDomain`; an empty
/// name stands for all replicas.
struct SendBatch
{
    ExchangeId exchange = 0;
    VmId home;
    std::string failureDomain;
    SnapshotId snapshot = 0;
    std::vector<ShardKey> shards;
};

/// Tells a home that the answers of these shards are no longer needed.
struct CancelBatch
{
    ExchangeId exchange = 0;
    VmId home;
    std::vector<ShardKey> shards;
};

/// Asks for `QueryMachine::onTimer` at that instant; replaces the timer armed before.
struct ArmTimer
{
    Clock::time_point at;
};

/// Ends the query with its one answer.
struct FinishQuery
{
    QueryAnswer answer;
};

using QueryAction = std::variant<SendBatch, CancelBatch, ArmTimer, FinishQuery>;
using QueryActions = std::vector<QueryAction>;

/// Decides one query at its root: whom to ask, when to ask again, when and what to answer.
///
/// Guarantees that exactly one `FinishQuery` comes out, at the deadline at the latest; that its
/// rows are of one snapshot; that a shard's rows are counted once however many replies come; that
/// each shard asked is either among the rows or among the missing; and that what it sends beyond
/// first copies comes out of the budgets of `RootState`. Reads no clock and sends nothing: the
/// owner carries the actions out. Not thread safe.
class QueryMachine
{
public:
    /// `root` must outlive the query.
    QueryMachine(QueryPlan plan, RootState &root);

    /// Begins the query; call once.
    QueryActions start(Clock::time_point now);
    /// Takes in what a home replied for one shard of an exchange. What the reply says of snapshots
    /// is to be given to `RootState` before.
    QueryActions onOutcome(ExchangeId exchange, ShardOutcome outcome, Clock::time_point now);
    /// Takes in that a home can no longer be reached.
    QueryActions onHomeLost(const VmId &home, Clock::time_point now);
    /// Takes in that an exchange could not be sent at all.
    QueryActions onUnsent(ExchangeId exchange, Clock::time_point now);
    /// Takes in that the armed instant has come.
    QueryActions onTimer(Clock::time_point now);

    bool isFinished() const { return m_isFinished; }
    const QueryPlan &plan() const { return m_plan; }

private:
    /// One copy of a shard request that is awaited.
    struct Copy
    {
        ExchangeId exchange = 0; ///< Zero for none.
        PlannedHome home;
        Clock::time_point sentAt;
    };
    struct Answer
    {
        SnapshotId snapshot = 0;
        std::string rows;
    };
    struct ShardState
    {
        std::array<Copy, 2> copies; ///< The awaited copies: the first and its hedge.
        std::uint64_t triedHomes = 0; ///< One bit for each of the shard's homes.
        /// Of those, the homes that do not have the shard in their configuration.
        std::uint64_t unknowingHomes = 0;
        bool hasBeenSent = false;
        std::vector<Answer> answers; ///< At most one for each snapshot.
        std::optional<Verdict> failure;
        /// When the homes that did not know of it are asked again.
        std::optional<Clock::time_point> askAgainAt;
        Clock::duration askAgainDelay{0};

        bool isWaiting() const { return copies[0].exchange != 0 || copies[1].exchange != 0; }
    };
    using Indices = std::vector<std::size_t>;

    static bool hasAnswerOf(const ShardState &state, SnapshotId snapshot);
    static Copy *copyOf(ShardState &state, ExchangeId exchange);
    static const Copy *onlyCopy(const ShardState &state);
    static void close(Copy &copy);
    void noteUnknowing(std::size_t index, const PlannedHome &home);
    static void noteFailure(ShardState &state, const Verdict &verdict);
    QueryActions failCopies(const Indices &indices, std::optional<ExtraCopy> kind,
                            Clock::time_point now);
    void postpone(ShardState &state, Clock::time_point now);
    QueryActions askAgain(Clock::time_point now);
    bool mayRetry(const ShardState &state) const;
    std::optional<PlannedHome> takeNextHome(std::size_t index, Clock::time_point now);
    bool hasUntriedHome(std::size_t index) const;
    QueryActions send(const Indices &indices, std::optional<ExtraCopy> kind, Clock::time_point now);
    void cancelCopies(const Indices &indices, QueryActions &actions);
    QueryActions settle(Clock::time_point now, QueryActions actions);
    QueryActions hedge(Clock::time_point now);
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
    std::size_t m_answered = 0; ///< Shards with rows of some snapshot.
    std::optional<Clock::duration> m_bulkTime;
    std::size_t m_waiting = 0; ///< Shards with an awaited copy, or to be asked for again.
    std::uint32_t m_extraRequests = 0;
    Clock::time_point m_nextHedge;
    Clock::time_point m_nextAsk;
    Clock::time_point m_armedFor;
    bool m_isSnapshotGone = false; ///< A shard has no home left that serves the pin.
    bool m_hasRestarted = false;
    bool m_isFinished = false;
};

} // namespace mangoshift
