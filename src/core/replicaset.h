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

/// A target as the scheduler knows it. Shared by the replica sets that it belongs to and by the
/// calls to it that are in flight.
struct TargetState
{
    std::string name;
    std::string address;
    std::string failureDomain;
    /// The document's slots, or this VM's share of them.
    std::uint32_t slots = 1;
    std::uint32_t slotsInUse = 0;
    std::uint64_t callsSent = 0;
    Clock::time_point lastUsed{};
    TargetHealth health;
    SlotLimit limit;
    /// The replica sets of the document in force that the target belongs to.
    std::vector<ReplicaSet *> sets;
    /// When the calls in flight were sent; as many as there are slots in use.
    std::vector<Clock::time_point> sendTimes;
    /// When the call sent last of those that were answered was sent.
    Clock::time_point lastAnsweredSend{};

    bool hasFreeSlot() const { return slotsInUse < std::min(limit.limit(), slots); }
    /// Returns the age of the oldest call in flight, if no call sent after it was answered: then
    /// the target takes that long at least. Else zero.
    std::chrono::microseconds unansweredTime(Clock::time_point now) const;
};

using TargetStatePtr = std::shared_ptr<TargetState>;

/// One replica of a shard.
struct Replica
{
    /// Index into the document's targets.
    std::size_t index = 0;
    TargetStatePtr target;
    /// The snapshots that it last said it holds.
    SnapshotRange held;
};

/// The place of a waiting request: by priority, then by arrival.
struct QueueKey
{
    std::uint8_t priority = 0;
    std::uint64_t sequence = 0;
    bool operator<(const QueueKey &other) const
    {
        return priority != other.priority ? priority < other.priority : sequence < other.sequence;
    }
};

struct QueuedRequest
{
    ShardRequestId request = 0;
    Clock::time_point deadline;
};

/// The replicas of one shard that requests may use, and the requests that wait for one of them.
struct ReplicaSet : std::enable_shared_from_this<ReplicaSet>
{
    ShardKey shard;
    std::string failureDomain;
    std::vector<Replica> replicas;
    std::map<QueueKey, QueuedRequest> waiting;
    /// While overloaded, the newest request of a priority is served first.
    Clock::time_point overloadedUntil{};
    /// The instant for which a wake-up is scheduled, if it lies ahead.
    Clock::time_point wakeAt{};

    /// Returns the place of the request to serve next; the queue must not be empty.
    std::map<QueueKey, QueuedRequest>::iterator nextToServe(Clock::time_point now);
    /// Returns the place of the request to give up first: the oldest of the lowest priority.
    std::map<QueueKey, QueuedRequest>::iterator nextToDrop();
    /// Returns true where some replica takes requests.
    bool isInUse(Clock::time_point now) const;
    bool hasCallsInFlight() const;
    /// Returns the latency of the fastest replica in use; zero where none is known.
    std::chrono::microseconds typicalLatency(Clock::time_point now) const;
    /// Returns the slots of the replicas in use, at least one.
    std::uint32_t usableSlots(Clock::time_point now) const;
    /// Returns how long a request that arrives now is expected to wait for a slot.
    std::chrono::microseconds expectedWait(Clock::time_point now) const;
    /// Returns how long an unanswered call is left alone before it is hedged.
    std::chrono::microseconds hedgeDelay() const;
    /// Returns for how long calls to `target` may go unanswered before it is doubted.
    std::chrono::microseconds suspectTimeout(const TargetState &target) const;
    /// Returns true where calls in flight show that `target` is slower than the set expects.
    bool isSuspect(const TargetState &target, Clock::time_point now) const;
    /// Returns true where some replica takes requests and is not in doubt.
    bool hasTrustedReplica(Clock::time_point now) const;
    /// Returns true where a replica other than `target` is in use and not in doubt, and answered
    /// its last call.
    bool hasTrustedPeer(const TargetState &target, Clock::time_point now) const;
    /// Returns the replica of that target, or a null pointer.
    Replica *find(const TargetState &target);
    /// Returns true where half of the replicas, at least one, stay in use without `target`.
    bool canSpare(const TargetState &target) const;
    /// Returns true where the latencies of `target` are far above those of its peers in use.
    bool isOutlier(const TargetState &target) const;
    /// Returns true where an answer of `target` after that time shows it to be as fast as its
    /// peers in use, if there are any.
    bool isRecovery(const TargetState &target, std::chrono::microseconds latency) const;
};

/// What is asked of a replica.
struct Selection
{
    SnapshotId snapshot = 0;
    /// Replicas that the request has already been sent to.
    const std::vector<const TargetState *> &tried;
    /// Whether the copy is an extra one, which waits for no slot.
    bool isExtra = false;
};

/// Returns the replica that should run a request now, or a null pointer where it should wait.
///
/// Among replicas of about the fastest latency the least busy is taken. A slower one is taken only
/// where so many requests wait that the last of them would wait longer for the fastest. A replica
/// in doubt counts as slow as its calls in flight are old; where each one in use is in doubt, all
/// are taken alike, also ejected ones that were slow.
Replica *chooseReplica(ReplicaSet &set, const Selection &selection, Clock::time_point now);

/// How long a probe must have been due for a request to be used as one.
enum class ProbeUrgency : std::uint8_t { Due, Overdue };

/// Returns a replica that needs a request to show whether it has recovered, or a null pointer.
Replica *chooseProbe(ReplicaSet &set, const Selection &selection, ProbeUrgency urgency,
                     Clock::time_point now);

/// Returns true where every replica is known to have dropped the snapshot.
bool isSnapshotGone(const ReplicaSet &set, SnapshotId snapshot);

} // namespace mangoshift::internal
