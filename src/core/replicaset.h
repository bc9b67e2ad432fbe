#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "mangoshift/outcome.h"
#include "mangoshift/slotlimit.h"
#include "mangoshift/slotscheduler.h"
#include "mangoshift/targethealth.h"

namespace mangoshift::internal {

struct ReplicaSet;

/// The scheduler's state of a target. Shared by the replica sets that the target belongs to and by
/// the calls in flight to the target.
struct TargetState
{
    std::string name;
    std::string address;
    std::string failureDomain;
    /// This VM's share of the target's slots.
    std::uint32_t slots = 1;
    std::uint32_t slotsInUse = 0;
    std::uint64_t callsSent = 0; ///< The calls that may have arrived at the target.
    Clock::time_point lastUsed{};
    TargetHealth health;
    SlotLimit limit;
    /// The replica sets, under the document in force, that the target belongs to.
    std::vector<ReplicaSet *> sets;
    /// The send times of the calls in flight; one for each slot in use.
    std::vector<Clock::time_point> sendTimes;
    /// The latest send time of any call that was answered.
    Clock::time_point lastAnsweredSend{};

    bool hasFreeSlot() const { return slotsInUse < std::min(limit.limit(), slots); }
    /// Returns the age of the oldest call in flight, which is a lower bound of the target's current
    /// latency. Returns zero if no call is in flight or a call sent later was answered.
    std::chrono::microseconds unansweredTime(Clock::time_point now) const;
};

using TargetStatePtr = std::shared_ptr<TargetState>;

/// One replica of a shard.
struct Replica
{
    /// Index into the document's targets.
    std::size_t index = 0;
    TargetStatePtr target;
    /// The snapshots that the replica holds, as it last reported.
    SnapshotRange held;
};

/// The position of a waiting request: by priority, then by arrival.
struct QueueKey
{
    std::uint8_t priority = 0;
    std::uint64_t sequence = 0;
    bool operator<(const QueueKey &other) const
    {
        return priority != other.priority ? priority < other.priority : sequence < other.sequence;
    }
};

/// A request that waits for a replica.
struct QueuedRequest
{
    ShardRequestId request = 0;
    Clock::time_point deadline;
};

/// The replicas of one shard that requests may use, and the requests that wait for them.
struct ReplicaSet : std::enable_shared_from_this<ReplicaSet>
{
    ShardKey shard;
    std::string failureDomain;
    std::vector<Replica> replicas;
    std::map<QueueKey, QueuedRequest> waiting;
    /// Until this time the set counts as overloaded and serves the newest request of a priority
    /// first.
    Clock::time_point overloadedUntil{};
    /// When the next wake-up is scheduled, if this lies in the future.
    Clock::time_point wakeAt{};

    /// Called when a waiting request is refused because it cannot be served in its time.
    void onOverload(Clock::time_point now);
    /// Returns the position of the request to serve next; the queue must not be empty.
    std::map<QueueKey, QueuedRequest>::iterator nextToServe(Clock::time_point now);
    /// Returns the position of the request to refuse first, which is the oldest of the lowest
    /// priority; the queue must not be empty.
    std::map<QueueKey, QueuedRequest>::iterator nextToDrop();
    /// Returns true if any replica takes requests.
    bool takesRequests(Clock::time_point now) const;
    /// Returns true if any replica has a call in flight.
    bool hasCallsInFlight() const;
    /// Returns the average latency of the fastest replica that takes requests; zero if no latency
    /// is known.
    std::chrono::microseconds typicalLatency(Clock::time_point now) const;
    /// Returns the number of slots of the replicas that take requests, at least one.
    std::uint32_t usableSlots(Clock::time_point now) const;
    /// Returns the expected time that a request which arrives now waits for a slot.
    std::chrono::microseconds expectedWait(Clock::time_point now) const;
    /// Returns how long a call may go unanswered before it is hedged.
    std::chrono::microseconds hedgeDelay() const;
    /// Returns how long calls to `target` may go unanswered before the target is suspect; at least
    /// `hedgeDelay()`.
    std::chrono::microseconds suspectTimeout(const TargetState &target) const;
    /// Returns true if the calls in flight show that `target` is slower than expected.
    bool isSuspect(const TargetState &target, Clock::time_point now) const;
    /// Returns true if any replica takes requests and is not suspect.
    bool hasTrustedReplica(Clock::time_point now) const;
    /// Returns true if a replica other than `target` is active and not suspect, and its latency
    /// estimate is not too low because of an abandoned call.
    bool hasTrustedPeer(const TargetState &target, Clock::time_point now) const;
    /// Returns the replica on `target`, or a null pointer if there is none.
    Replica *find(const TargetState &target);
    /// Returns true if at least half of the replicas, and at least one, stay active without
    /// `target`.
    bool canSpare(const TargetState &target) const;
    /// Returns true if the average latency of `target` is far above that of its active peers.
    bool isOutlier(const TargetState &target) const;
    /// Returns true if a response of `target` after `latency` shows that it is about as fast as its
    /// fastest active peer, or if too few calls to its active peers were measured.
    bool isRecovery(const TargetState &target, std::chrono::microseconds latency) const;
};

/// The requirements of a request on a replica.
struct Selection
{
    SnapshotId snapshot = 0;
    /// The targets that the request has already been sent to.
    const std::vector<const TargetState *> &tried;
    bool isHedgeOrProbe = false;
};

/// Returns the replica that should run a request now, or a null pointer if the request should wait.
///
/// Chooses the least busy of the replicas whose latency is close to the fastest. A slower replica,
/// or one that was ejected as slow, is chosen only if so many requests wait that the last of them
/// would wait longer for a fast replica. A hedge goes to no ejected replica, and to a slower one
/// only within a fixed factor of the fastest, however many requests wait. A suspect replica counts
/// as at least as slow as the age of its oldest call in flight. If every replica that takes
/// requests is suspect, all of them are candidates whatever their latency, and so are replicas that
/// were ejected as slow.
Replica *chooseReplica(ReplicaSet &set, const Selection &selection, Clock::time_point now);

/// Whether a probe must be due, or overdue, for a request to be sent as the probe.
enum class ProbeUrgency : std::uint8_t { Due, Overdue };

/// Returns a replica that needs a probe to show whether it has recovered, or a null pointer.
Replica *chooseProbe(ReplicaSet &set, const Selection &selection, ProbeUrgency urgency,
                     Clock::time_point now);

/// Returns true if every replica is known to have dropped the snapshot.
bool isSnapshotGone(const ReplicaSet &set, SnapshotId snapshot);

} // namespace mangoshift::internal
