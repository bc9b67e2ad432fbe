#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/document.h"
#include "mangoshift/hedgebudget.h"
#include "mangoshift/outcome.h"
#include "mangoshift/targethealth.h"

namespace mangoshift {

namespace internal {
struct Replica;
struct ReplicaSet;
struct TargetState;
} // namespace internal

/// Names a shard request within the scheduler's owner.
using ShardRequestId = std::uint64_t;
/// Names one sending of a request to a target.
using CallId = std::uint64_t;

/// A request for one shard, as a home receives it.
struct ShardRequest
{
    ShardRequestId id = 0;
    ShardKey shard;
    /// Only replicas in this failure domain are used; empty stands for all.
    std::string failureDomain;
    /// The snapshot that the answer must come from; zero stands for any.
    SnapshotId snapshot = 0;
    Clock::time_point deadline;
    std::shared_ptr<const RequestBody> body;
};

/// What came of one call to a target.
struct CallOutcome
{
    Verdict verdict;
    SnapshotId snapshot = 0;
    SnapshotRange held;
    std::string rows;
    /// Whether any byte of the request was given to the target's connection.
    bool wasSent = true;
    /// Whether the target answered others while this call went without an answer: then its
    /// connection is at fault, not the target.
    bool isTargetResponsive = false;
};

/// Sends the request to a target over one of its connections.
struct SendToTarget
{
    CallId call = 0;
    /// Index into the document's targets.
    std::size_t target = 0;
    ShardRequest request;
};

/// Tells a target that the answer to a call is no longer needed. The call's outcome still follows,
/// soon after; until then the call holds its slot.
struct CancelCall
{
    CallId call = 0;
};

/// Gives the outcome of a shard request to the one that asked.
struct ReplyShard
{
    ShardRequestId request = 0;
    ShardOutcome outcome;
};

/// Asks for `SlotScheduler::onTimer` at that instant; replaces the timer armed before.
struct ArmSchedulerTimer
{
    Clock::time_point at;
};

/// Tells operators that a target was taken out of use or came back; asks for nothing.
struct TargetChanged
{
    std::string target;
    std::string failureDomain;
    TargetCondition condition = TargetCondition::Active;
    std::uint32_t slotsInUse = 0;
    std::chrono::microseconds typicalLatency{0};
};

using SchedulerAction =
    std::variant<SendToTarget, CancelCall, ReplyShard, ArmSchedulerTimer, TargetChanged>;
using SchedulerActions = std::vector<SchedulerAction>;

/// What the scheduler knows of one target, for the state dump.
struct TargetStatus
{
    std::string name;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 0;
    /// How many calls the target is given at once at present.
    std::uint32_t slotLimit = 0;
    std::uint32_t slotsInUse = 0;
    std::uint64_t callsSent = 0;
    TargetCondition condition = TargetCondition::Active;
    std::chrono::microseconds typicalLatency{0};
};

/// How many requests the scheduler sent, and why, since its start.
struct SchedulerCounters
{
    std::uint64_t firstCopies = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
    /// Requests refused before they were sent, because they could not be served in time.
    std::uint64_t refused = 0;

    /// Returns the requests sent that count against the budget.
    std::uint64_t extra() const { return hedges + retries + probes; }
};

/// What an embedder may set.
struct SchedulerOptions
{
    /// Hedges, retries and probes together, as a fraction of first copies.
    double extraRatio = 0.04;
    /// How many unused extra requests are kept for later.
    std::uint32_t extraBurst = 10;
    /// The most requests that wait for the replicas of one shard.
    std::size_t maxWaitingPerShard = 256;
    /// Whether slow answers are hedged.
    bool hedges = true;
    /// Whether replicas that are much slower than their peers are taken out of use.
    bool ejectsSlow = true;
};

/// Decides, at a shard's home, which replica runs which request and when.
///
/// A request is bound to a replica only when one of its slots is free. Guarantees that no target
/// ever has more calls in flight from this VM than its slots; that each request gets exactly one
/// `ReplyShard`, by its deadline if `onTimer` is called in time; that a request which is not
/// idempotent is sent again only after an earlier call ended with `NotRun`; and that hedges,
/// retries and probes together stay within a fraction of first copies at every moment. A call that
/// ended before any of its bytes were sent put no load on a target: another in its place is not
/// counted. Reads no clock and sends nothing: the owner carries the actions out. Not thread safe.
class SlotScheduler
{
public:
    explicit SlotScheduler(SchedulerOptions options = {});
    ~SlotScheduler();
    SlotScheduler(const SlotScheduler &) = delete;
    SlotScheduler &operator=(const SlotScheduler &) = delete;

    /// Puts a configuration in force. Calls in flight go on; what the scheduler has learnt of
    /// targets that stay is kept.
    SchedulerActions applyDocument(DocumentPtr document, Clock::time_point now);
    /// Sets how many VMs share each target's slots; this one uses its part, at least one.
    SchedulerActions setSharingVms(std::size_t vms, Clock::time_point now);
    /// Sets the failure domains that have homes of their own for the same shards: their replicas
    /// are left to those, but for shards that have no others, and for requests that name the
    /// domain.
    SchedulerActions setForeignDomains(std::set<std::string> domains, Clock::time_point now);
    /// Stops sending, and refuses as `NotReady` what was never sent. For an owner that was paused:
    /// its document may be out of date, so that targets which have left would get requests. Calls
    /// in flight go on; until `resume`, new requests are refused and retries wait.
    SchedulerActions suspend(Clock::time_point now);
    /// Sends again. Does nothing where it was not suspended.
    SchedulerActions resume(Clock::time_point now);
    /// Takes in a request.
    SchedulerActions onRequest(ShardRequest request, Clock::time_point now);
    /// Takes in that the asker no longer needs the answer to a request.
    SchedulerActions onCancel(ShardRequestId request, Clock::time_point now);
    /// Takes in how a call ended. Each `SendToTarget` is followed by exactly one such outcome.
    SchedulerActions onCallEnded(CallId call, CallOutcome outcome, Clock::time_point now);
    /// Takes in that a target which said that it was draining says that it serves again, by its
    /// health endpoint: until then it is sent nothing.
    SchedulerActions onServing(const std::string &target, Clock::time_point now);
    /// Takes in that the armed instant has come.
    SchedulerActions onTimer(Clock::time_point now);

    /// Returns what is known of each target that has been used.
    std::vector<TargetStatus> targetStatus() const;
    const SchedulerCounters &counters() const { return m_counters; }
    std::size_t waitingRequests() const { return m_waitingCount; }
    std::size_t callsInFlight() const { return m_calls.size(); }

private:
    enum class CopyKind : std::uint8_t { First, Hedge, Retry, Replacement, Probe };

    /// A request that has not been answered.
    struct Pending
    {
        ShardRequest request;
        std::shared_ptr<internal::ReplicaSet> set;
        std::uint64_t sequence = 0;
        bool isWaiting = false;
        bool hasHedge = false;
        CopyKind nextCopy = CopyKind::First;
        std::vector<CallId> calls;
        std::vector<const internal::TargetState *> tried;
        Clock::time_point hedgeAt{};
        std::uint32_t extraRequests = 0;
        /// Whether a copy that failed may have run.
        bool mayHaveRun = false;
    };
    /// A call in flight; its request may have been answered since.
    struct Call
    {
        ShardRequestId request = 0;
        std::shared_ptr<internal::ReplicaSet> set;
        std::shared_ptr<internal::TargetState> target;
        Clock::time_point sentAt;
        CopyKind kind = CopyKind::First;
        bool isCancelled = false;
        Clock::time_point cancelledAt{};
    };
    /// An instant at which a request, or the queue of a replica set, has to be looked at.
    struct Due
    {
        Clock::time_point at;
        ShardRequestId request = 0;
        std::shared_ptr<internal::ReplicaSet> set;
        bool operator>(const Due &other) const { return at > other.at; }
    };
    using PendingMap = std::unordered_map<ShardRequestId, Pending>;

    std::shared_ptr<internal::ReplicaSet> setOf(const ShardRequest &request);
    std::shared_ptr<internal::TargetState> targetOf(const Target &target);
    void fillReplicas(internal::ReplicaSet &set);
    std::vector<std::size_t> replicasFor(const internal::ReplicaSet &set) const;
    std::uint32_t shareOf(const Target &target) const;
    void dropUnusedTargets();

    void enqueue(Pending &pending, Clock::time_point now);
    void unqueue(Pending &pending);
    void dispatch(internal::ReplicaSet &set, Clock::time_point now);
    bool sendNext(internal::ReplicaSet &set, Clock::time_point now);
    void dispatchOthers(const internal::TargetState &target, const internal::ReplicaSet &done,
                        Clock::time_point now);
    void trimQueue(internal::ReplicaSet &set, Clock::time_point now);
    void scheduleWake(internal::ReplicaSet &set, Clock::time_point now);
    void send(Pending &pending, internal::Replica &replica, CopyKind kind, Clock::time_point now);
    void countCopy(Pending &pending, CopyKind kind);
    void tryProbe(Pending &pending, Clock::time_point now);
    void tryHedge(Pending &pending, Clock::time_point now);
    void dropWaitingHedge(Pending &pending, Clock::time_point now);
    bool isReplicaDoubted(const Pending &pending, Clock::time_point now) const;
    bool tryAgain(Pending &pending, const CallOutcome &outcome, Clock::time_point now);

    void learn(const Call &call, const CallOutcome &outcome, Clock::time_point now);
    void learnSuccess(const Call &call, Clock::time_point now);
    void learnRefusal(const Call &call, const CallOutcome &outcome, Clock::time_point now);
    void learnFailure(const Call &call, const CallOutcome &outcome, Clock::time_point now);
    void ejectIfSpare(const Call &call, TargetCondition condition, Clock::time_point now,
                      bool isOverdue = false);
    void settle(const Call &call, CallId id, CallOutcome outcome, Clock::time_point now);
    void onDue(const Due &due, Clock::time_point now);
    void onRequestDue(Pending &pending, Clock::time_point now);

    void refuse(Pending &pending, Reason reason, std::chrono::microseconds retryAfter,
                Clock::time_point now);
    void refuseUnlessServable(internal::ReplicaSet &set, Clock::time_point now);
    void answer(Pending &pending, CallOutcome outcome, Clock::time_point now);
    void cancelCalls(Pending &pending, Clock::time_point now);
    void schedule(Clock::time_point at, ShardRequestId request);
    SchedulerActions takeActions();

    SchedulerOptions m_options;
    HedgeBudget m_budget;
    SchedulerCounters m_counters;
    DocumentPtr m_document;
    bool m_isSuspended = false;
    std::size_t m_sharers = 1;
    std::set<std::string> m_foreignDomains;
    std::unordered_map<std::string, std::shared_ptr<internal::TargetState>> m_targets;
    std::map<std::pair<std::uint64_t, std::string>, std::shared_ptr<internal::ReplicaSet>> m_sets;
    PendingMap m_pending;
    std::unordered_map<CallId, Call> m_calls;
    std::priority_queue<Due, std::vector<Due>, std::greater<>> m_due;
    Clock::time_point m_armedAt = Clock::time_point::max();
    SchedulerActions m_actions;
    std::size_t m_waitingCount = 0;
    std::uint64_t m_lastSequence = 0;
    CallId m_lastCall = 0;
};

} // namespace mangoshift
