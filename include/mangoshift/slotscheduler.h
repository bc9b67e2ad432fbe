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

/// Identifies a shard request; unique within the scheduler's owner.
using ShardRequestId = std::uint64_t;
/// Identifies one call, which is one copy of a request sent to a target.
using CallId = std::uint64_t;

/// A request for one shard, as a home receives it.
struct ShardRequest
{
    ShardRequestId id = 0;
    ShardKey shard;
    /// Only replicas in this failure domain are used; empty means all.
    std::string failureDomain;
    /// The snapshot that the rows must come from; zero means any.
    SnapshotId snapshot = 0;
    Clock::time_point deadline;
    std::shared_ptr<const RequestBody> body;
};

/// The outcome of one call to a target.
struct CallOutcome
{
    Verdict verdict;
    SnapshotId snapshot = 0;
    /// The snapshots that the target holds.
    SnapshotRange held;
    std::string rows;
    /// Whether any byte of the request was written to the target's connection.
    bool wasSent = true;
    /// Whether the target responded to other calls while this call got no response; then the
    /// connection is at fault, not the target.
    bool isTargetResponsive = false;
};

/// Action: sends the request to a target over one of its connections.
struct SendToTarget
{
    CallId call = 0;
    /// Index into the document's targets.
    std::size_t target = 0;
    ShardRequest request;
};

/// Action: tells a target that the response to a call is no longer needed. The call holds its slot
/// until its outcome is reported, which must still happen, soon after.
struct CancelCall
{
    CallId call = 0;
};

/// Action: returns the outcome of a shard request to the requester.
struct ReplyShard
{
    ShardRequestId request = 0;
    ShardOutcome outcome;
};

/// Action: requests a call of `SlotScheduler::onTimer` at `at`; replaces the timer armed before.
struct ArmSchedulerTimer
{
    Clock::time_point at;
};

/// Informs operators that the condition of a target has changed; requires no action.
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

/// The scheduler's state of one target, for the state dump.
struct TargetStatus
{
    std::string name;
    std::string address;
    std::string failureDomain;
    std::uint32_t slots = 0;
    /// The current limit on concurrent calls to the target.
    std::uint32_t slotLimit = 0;
    std::uint32_t slotsInUse = 0;
    /// The calls that may have arrived at the target; see `SlotScheduler::onCallSent`.
    std::uint64_t callsSent = 0;
    TargetCondition condition = TargetCondition::Active;
    std::chrono::microseconds typicalLatency{0};
};

/// Counts the requests that the scheduler has sent or refused since its start.
struct SchedulerCounters
{
    std::uint64_t firstCopies = 0;
    std::uint64_t hedges = 0;
    std::uint64_t retries = 0;
    std::uint64_t probes = 0;
    /// Requests that the scheduler refused itself, such as those that could not be served in time.
    std::uint64_t refused = 0;

    /// Returns the number of requests that count against the budget of extra requests.
    std::uint64_t extra() const { return hedges + retries + probes; }
};

/// Options of a scheduler.
struct SchedulerOptions
{
    /// The maximum of hedges, retries and probes together, as a fraction of first copies.
    double extraRatio = 0.04;
    /// The maximum number of unused extra requests that are saved for later.
    std::uint32_t extraBurst = 10;
    /// The maximum number of requests that wait for the replicas of one shard.
    std::size_t maxWaitingPerShard = 256;
    /// Whether slow requests are hedged.
    bool hedges = true;
    /// Whether replicas that are much slower than their peers are ejected.
    bool ejectsSlow = true;
};

/// Decides, at a shard's home, which replica runs which request and when.
///
/// A request is bound to a replica only when the replica has a free slot. Guarantees that:
/// - the calls in flight from this VM to a target never exceed the target's slots;
/// - a reply says `NotRun` if and only if no target can have got the request, or each target that
/// got it has said that it did not run it;
/// - each request gets exactly one `ReplyShard`, by its deadline if `onTimer` is called in time,
/// and so much earlier that the reply is of use to the requester if no target can have got the
/// request;
/// - a request that is not idempotent is sent again only after its earlier call ended with
/// `NotRun`;
/// - hedges, retries and probes together never exceed a fraction of first copies.
///
/// A call that ended before any byte was sent put no load on the target, so the call that replaces
/// it does not count as an extra request. Reads no clock and sends nothing: the owner performs the
/// actions. Not thread safe.
class SlotScheduler
{
public:
    explicit SlotScheduler(SchedulerOptions options = {});
    ~SlotScheduler();
    SlotScheduler(const SlotScheduler &) = delete;
    SlotScheduler &operator=(const SlotScheduler &) = delete;

    /// Puts a configuration in force. Calls in flight continue; the state of targets that are also
    /// in the new configuration is kept.
    SchedulerActions applyDocument(DocumentPtr document, Clock::time_point now);
    /// Sets the number of VMs that share each target's slots. This VM uses its share of them, at
    /// least one slot.
    SchedulerActions setSharingVms(std::size_t vms, Clock::time_point now);
    /// Sets the failure domains that have their own homes for the same shards. Their replicas are
    /// used only for shards that have no other replicas and for requests that name the domain.
    SchedulerActions setForeignDomains(std::set<std::string> domains, Clock::time_point now);
    /// Stops sending, and refuses with `NotReady` the requests that have not been sent to any
    /// target. Used after the process was paused: its document may be stale, and requests would go
    /// to targets that have been removed. Calls in flight continue; until `resume`, new requests
    /// are refused and retries wait.
    SchedulerActions suspend(Clock::time_point now);
    /// Resumes sending; has no effect if the scheduler is not suspended.
    SchedulerActions resume(Clock::time_point now);
    /// Handles a new request.
    SchedulerActions onRequest(ShardRequest request, Clock::time_point now);
    /// Handles the cancellation of a request by its requester.
    SchedulerActions onCancel(ShardRequestId request, Clock::time_point now);
    /// Handles that a call may arrive at its target from now on; until then it waits for a
    /// connection. A call that is cancelled before must never be sent.
    void onCallSent(CallId call);
    /// Handles the end of a call. The owner must report exactly one outcome for each
    /// `SendToTarget`.
    SchedulerActions onCallEnded(CallId call, CallOutcome outcome, Clock::time_point now);
    /// Brings a draining target back into use, because its health endpoint says that it serves
    /// again. Until this call a draining target gets no requests.
    SchedulerActions onServing(const std::string &target, Clock::time_point now);
    /// Handles the expiry of the armed timer.
    SchedulerActions onTimer(Clock::time_point now);

    /// Returns the state of each known target, sorted by name.
    std::vector<TargetStatus> targetStatus() const;
    const SchedulerCounters &counters() const { return m_counters; }
    std::size_t waitingRequests() const { return m_waitingCount; }
    std::size_t callsInFlight() const { return m_calls.size(); }

private:
    enum class CopyKind : std::uint8_t { First, Hedge, Retry, Replacement, Probe };

    /// A request that has not been replied to.
    struct Pending
    {
        ShardRequest request;
        std::shared_ptr<internal::ReplicaSet> set;
        std::uint64_t sequence = 0;
        bool isWaiting = false; ///< Whether the next copy waits in the queue of `set`.
        bool hasHedge = false;
        /// The kind of the copy that is sent next.
        CopyKind nextCopy = CopyKind::First;
        std::vector<CallId> calls; ///< The calls in flight.
        std::vector<const internal::TargetState *> tried;
        Clock::time_point hedgeAt{};
        std::uint32_t extraRequests = 0;
        /// When the request ends if no target can have got it.
        Clock::time_point unsentLimit{};
        /// Whether the request is checked at its deadline too.
        bool isDeadlineScheduled = false;
        /// Whether any failed copy may have run.
        bool mayHaveRun = false;
    };
    /// A call in flight; its request may have been replied to already.
    struct Call
    {
        ShardRequestId request = 0;
        std::shared_ptr<internal::ReplicaSet> set;
        std::shared_ptr<internal::TargetState> target;
        Clock::time_point sentAt;
        CopyKind kind = CopyKind::First;
        /// Whether the call may have arrived at its target.
        bool hasBeenSent = false;
        bool isCancelled = false;
        Clock::time_point cancelledAt{};
    };
    /// A time at which a request, or the queue of `set` if that is not null, must be checked.
    struct TimerEntry
    {
        Clock::time_point at;
        ShardRequestId request = 0;
        std::shared_ptr<internal::ReplicaSet> set;
        bool operator>(const TimerEntry &other) const { return at > other.at; }
    };
    using PendingMap = std::unordered_map<ShardRequestId, Pending>;

    std::shared_ptr<internal::ReplicaSet> findOrCreateSet(const ShardRequest &request);
    std::shared_ptr<internal::TargetState> findOrCreateTarget(const Target &target);
    void fillReplicas(internal::ReplicaSet &set);
    std::vector<std::size_t> replicasFor(const internal::ReplicaSet &set) const;
    std::uint32_t slotShareOf(const Target &target) const;
    void dropUnusedTargets();

    void enqueue(Pending &pending, Clock::time_point now);
    void dequeue(Pending &pending);
    void dispatch(internal::ReplicaSet &set, Clock::time_point now);
    bool sendNext(internal::ReplicaSet &set, Clock::time_point now);
    void dispatchOtherSets(const internal::TargetState &target,
                           const internal::ReplicaSet &dispatched, Clock::time_point now);
    void trimQueue(internal::ReplicaSet &set, Clock::time_point now);
    void scheduleWakeUp(internal::ReplicaSet &set, Clock::time_point now);
    void send(Pending &pending, internal::Replica &replica, CopyKind kind, Clock::time_point now);
    void countCopy(Pending &pending, CopyKind kind);
    void tryProbe(Pending &pending, Clock::time_point now);
    void tryHedge(Pending &pending, Clock::time_point now);
    void dropWaitingHedge(Pending &pending, Clock::time_point now);
    /// Returns whether a target may have got a copy of the request.
    bool mayHaveArrived(const Pending &pending) const;
    /// Returns true if each target that has a copy of the request in flight is suspect or takes no
    /// requests.
    bool areAllCalledTargetsSuspect(const Pending &pending, Clock::time_point now) const;
    bool tryRetry(Pending &pending, const CallOutcome &outcome, Clock::time_point now);

    void recordOutcome(const Call &call, const CallOutcome &outcome, Clock::time_point now);
    void recordSuccess(const Call &call, Clock::time_point now);
    /// Records any outcome other than a success.
    void recordRefusalOrFailure(const Call &call, const CallOutcome &outcome,
                                Clock::time_point now);
    void recordFailure(const Call &call, const CallOutcome &outcome, Clock::time_point now);
    /// Ejects the target of the call if its replica sets can spare it. A target is ejected as
    /// `Slow` only if it is an outlier, or if `isOverdue` is set and each set has a trusted peer.
    void tryEject(const Call &call, TargetCondition condition, Clock::time_point now,
                  bool isOverdue = false);
    void finishCall(const Call &call, CallId id, CallOutcome outcome, Clock::time_point now);
    void onTimerEntry(const TimerEntry &entry, Clock::time_point now);
    void onRequestTimer(Pending &pending, Clock::time_point now);
    /// Ends a request that can no longer be sent in time.
    void refuseLate(Pending &pending, Clock::time_point now);

    void refuse(Pending &pending, Reason reason, std::chrono::microseconds retryAfter,
                Clock::time_point now);
    void refuseUnservable(internal::ReplicaSet &set, Clock::time_point now);
    void replyTo(Pending &pending, CallOutcome outcome, Clock::time_point now);
    /// Cancels the calls in flight, those that were not sent in any case if `isNotRun`.
    void cancelCalls(Pending &pending, bool isNotRun, Clock::time_point now);
    void schedule(Clock::time_point at, ShardRequestId request);
    SchedulerActions takeActions();

    SchedulerOptions m_options;
    HedgeBudget m_budget;
    SchedulerCounters m_counters;
    DocumentPtr m_document;
    bool m_isSuspended = false;
    std::size_t m_sharingVms = 1;
    std::set<std::string> m_foreignDomains;
    std::unordered_map<std::string, std::shared_ptr<internal::TargetState>> m_targets;
    std::map<std::pair<std::uint64_t, std::string>, std::shared_ptr<internal::ReplicaSet>> m_sets;
    PendingMap m_pending;
    std::unordered_map<CallId, Call> m_calls;
    std::priority_queue<TimerEntry, std::vector<TimerEntry>, std::greater<>> m_timers;
    Clock::time_point m_armedAt = Clock::time_point::max();
    SchedulerActions m_actions;
    std::size_t m_waitingCount = 0;
    std::uint64_t m_lastSequence = 0;
    CallId m_lastCall = 0;
    /// The last call whose action was returned to the owner.
    CallId m_lastTakenCall = 0;
};

} // namespace mangoshift
