#include "replicaset.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace mangoshift::internal {

namespace {

using std::chrono::microseconds;

constexpr microseconds DefaultHedgeDelay{20000};
constexpr microseconds MinHedgeDelay{1000};

/// Replicas whose latency is at most this many times the fastest share the load with it.
constexpr double EqualLatencyFactor = 1.5;
/// A replica whose latency is at most this many times the fastest may be sent a hedge.
constexpr double HedgeLatencyFactor = 3;
/// A replica is an outlier if its latency exceeds the median of its peers by both this factor and
/// this margin.
constexpr double EjectLatencyFactor = 5;
constexpr microseconds EjectLatencyMargin{2000};
/// A target with fewer samples does not count as an outlier or as a peer to compare with.
constexpr std::uint64_t SamplesForEjection = 5;
/// A target is suspect only if a call goes unanswered for this many times its average latency.
constexpr double SuspectLatencyFactor = 1.5;
/// A slow replica has recovered if it responds within this many times the latency of the fastest,
/// or within the hedge delay.
constexpr int RecoveredLatencyFactor = 2;
/// A latency estimate older than this, of a replica too slow to be chosen, is checked by a probe.
constexpr std::chrono::milliseconds StaleAfter{1000};
/// How long a queue that had to refuse requests serves the newest first.
constexpr std::chrono::milliseconds OverloadDuration{100};
/// That probe is overdue after this many times `StaleAfter`.
constexpr int OverdueFactor = 3;

bool contains(const std::vector<const TargetState *> &targets, const TargetState *target)
{
    return std::find(targets.begin(), targets.end(), target) != targets.end();
}

/// Returns whether the replica is known to have dropped the snapshot.
bool hasDropped(const Replica &replica, SnapshotId snapshot)
{
    return snapshot != 0 && replica.held.isKnown() && replica.held.oldest > snapshot;
}

/// Returns whether the replica is known not to hold the snapshot yet.
bool isBehind(const Replica &replica, SnapshotId snapshot)
{
    return snapshot != 0 && replica.held.isKnown() && replica.held.newest < snapshot;
}

/// Returns whether the replica may run the request at all, regardless of its condition and load.
bool isEligible(const Replica &replica, const Selection &selection)
{
    return !hasDropped(replica, selection.snapshot)
        && !contains(selection.tried, replica.target.get());
}

double typicalLatencyOf(const TargetState &target, double fallback)
{
    return target.health.samples() == 0
        ? fallback
        : static_cast<double>(target.health.typicalLatency().count());
}

/// Returns the expected latency of a new request, taking the calls in flight into account.
double expectedLatency(const ReplicaSet &set, const TargetState &target, double fallback,
                       Clock::time_point now)
{
    const double typical = typicalLatencyOf(target, fallback);
    return set.isSuspect(target, now)
        ? std::max(typical, static_cast<double>(target.unansweredTime(now).count()))
        : typical;
}

bool isLessLoaded(const TargetState &a, const TargetState &b, Clock::time_point now)
{
    // Compares the shares of slots in use without a division.
    const std::uint64_t busyA = std::uint64_t{a.slotsInUse} * b.slots;
    const std::uint64_t busyB = std::uint64_t{b.slotsInUse} * a.slots;
    if (busyA != busyB)
        return busyA < busyB;
    // The target with the older unanswered call is more likely to have become slow.
    const microseconds unansweredA = a.unansweredTime(now);
    const microseconds unansweredB = b.unansweredTime(now);
    return unansweredA != unansweredB ? unansweredA < unansweredB : a.lastUsed < b.lastUsed;
}

/// The latency of the fastest replica that takes requests, free or not, and the number of slots of
/// all replicas that are about as fast.
struct Fastest
{
    bool exists = false;
    double latency = 0;
    std::uint32_t slots = 0;
};

template <typename Accept>
Fastest findFastest(const ReplicaSet &set, Clock::time_point now, Accept accept)
{
    Fastest fastest;
    double best = std::numeric_limits<double>::max();
    for (const Replica &replica : set.replicas) {
        if (!replica.target->health.takesRequests(now) || !accept(replica))
            continue;
        fastest.exists = true;
        if (replica.target->health.samples() != 0)
            best = std::min(best, expectedLatency(set, *replica.target, 0, now));
    }
    fastest.latency = best == std::numeric_limits<double>::max() ? 0 : best;
    for (const Replica &replica : set.replicas)
        if (replica.target->health.takesRequests(now) && accept(replica)
            && expectedLatency(set, *replica.target, fastest.latency, now)
                <= fastest.latency * EqualLatencyFactor)
            fastest.slots += std::min(replica.target->limit.limit(), replica.target->slots);
    return fastest;
}

/// Returns true if the queue is so long that a replica of this latency should be used.
bool isWorthUsing(const ReplicaSet &set, const Fastest &fastest, double latency)
{
    const double queue =
        static_cast<double>(set.waiting.size()) / std::max<std::uint32_t>(fastest.slots, 1);
    return latency <= fastest.latency * std::max(EqualLatencyFactor, 1 + queue);
}

/// Returns whether the target is in use but too slow to be chosen, so that its latency estimate has
/// become older than `age`.
bool isStale(const TargetState &target, double fastest, std::chrono::milliseconds age,
             Clock::time_point now)
{
    return target.health.takesRequests(now) && target.health.samples() != 0
        && now >= target.health.lastSample() + age
        && typicalLatencyOf(target, 0) > fastest * EqualLatencyFactor;
}

/// Returns whether a replica that was ejected as slow may be used, for lack of better ones.
bool canUseSlow(const TargetHealth &health, const Selection &selection, bool hasNoTrustedReplica)
{
    if (health.condition() != TargetCondition::Slow)
        return false;
    // A slow replica shortens a long queue, but is worth a hedge only if no replica is trusted.
    return hasNoTrustedReplica || (!selection.isHedgeOrProbe && health.isLatencyKnown());
}

} // namespace

microseconds TargetState::unansweredTime(Clock::time_point now) const
{
    const auto oldest = std::min_element(sendTimes.begin(), sendTimes.end());
    if (oldest == sendTimes.end() || *oldest < lastAnsweredSend)
        return microseconds(0);
    return std::chrono::duration_cast<microseconds>(now - *oldest);
}

void ReplicaSet::onOverload(Clock::time_point now)
{
    overloadedUntil = now + OverloadDuration;
}

std::map<QueueKey, QueuedRequest>::iterator ReplicaSet::nextToServe(Clock::time_point now)
{
    const auto oldest = waiting.begin();
    if (now >= overloadedUntil)
        return oldest;
    const QueueKey end{oldest->first.priority, std::numeric_limits<std::uint64_t>::max()};
    return std::prev(waiting.upper_bound(end));
}

std::map<QueueKey, QueuedRequest>::iterator ReplicaSet::nextToDrop()
{
    return waiting.lower_bound(QueueKey{waiting.rbegin()->first.priority, 0});
}

bool ReplicaSet::takesRequests(Clock::time_point now) const
{
    return std::any_of(replicas.begin(), replicas.end(),
                       [&](const Replica &each) { return each.target->health.takesRequests(now); });
}

bool ReplicaSet::hasCallsInFlight() const
{
    return std::any_of(replicas.begin(), replicas.end(),
                       [](const Replica &each) { return each.target->slotsInUse != 0; });
}

microseconds ReplicaSet::typicalLatency(Clock::time_point now) const
{
    microseconds shortest(0);
    for (const Replica &replica : replicas) {
        const TargetHealth &health = replica.target->health;
        const bool isShorter = shortest == microseconds(0) || health.typicalLatency() < shortest;
        if (health.takesRequests(now) && health.samples() != 0 && isShorter)
            shortest = health.typicalLatency();
    }
    return shortest;
}

std::uint32_t ReplicaSet::usableSlots(Clock::time_point now) const
{
    std::uint32_t slots = 0;
    for (const Replica &replica : replicas)
        if (replica.target->health.takesRequests(now))
            slots += std::min(replica.target->limit.limit(), replica.target->slots);
    return std::max<std::uint32_t>(slots, 1);
}

microseconds ReplicaSet::expectedWait(Clock::time_point now) const
{
    return typicalLatency(now) * waiting.size() / usableSlots(now);
}

microseconds ReplicaSet::hedgeDelay() const
{
    std::optional<microseconds> shortest;
    for (const Replica &replica : replicas) {
        const microseconds delay = replica.target->health.slowLatency();
        const bool isUsable = replica.target->health.condition() == TargetCondition::Active
            && delay != microseconds(0);
        if (isUsable && (!shortest || delay < *shortest))
            shortest = delay;
    }
    return std::max(shortest.value_or(DefaultHedgeDelay), MinHedgeDelay);
}

microseconds ReplicaSet::suspectTimeout(const TargetState &target) const
{
    const microseconds own(static_cast<std::int64_t>(
        static_cast<double>(target.health.typicalLatency().count()) * SuspectLatencyFactor));
    return std::max(hedgeDelay(), own);
}

bool ReplicaSet::isSuspect(const TargetState &target, Clock::time_point now) const
{
    const microseconds unanswered = target.unansweredTime(now);
    return unanswered != microseconds(0) && unanswered >= suspectTimeout(target);
}

Replica *ReplicaSet::find(const TargetState &target)
{
    const auto it = std::find_if(replicas.begin(), replicas.end(),
                                 [&](const Replica &each) { return each.target.get() == &target; });
    return it == replicas.end() ? nullptr : &*it;
}

bool ReplicaSet::canSpare(const TargetState &target) const
{
    std::size_t inUse = 0;
    for (const Replica &replica : replicas)
        if (replica.target.get() != &target
            && replica.target->health.condition() == TargetCondition::Active)
            ++inUse;
    return inUse >= 1 && inUse * 2 >= replicas.size();
}

bool ReplicaSet::isOutlier(const TargetState &target) const
{
    if (target.health.samples() < SamplesForEjection)
        return false;
    std::vector<microseconds> peers;
    for (const Replica &replica : replicas)
        if (replica.target.get() != &target
            && replica.target->health.condition() == TargetCondition::Active
            && replica.target->health.samples() >= SamplesForEjection)
            peers.push_back(replica.target->health.typicalLatency());
    if (peers.empty())
        return false;
    const auto middle = peers.begin() + static_cast<std::ptrdiff_t>(peers.size() / 2);
    std::nth_element(peers.begin(), middle, peers.end());
    const auto peerMedian = static_cast<double>(middle->count());
    const auto own = static_cast<double>(target.health.typicalLatency().count());
    return own > peerMedian * EjectLatencyFactor
        && own > peerMedian + static_cast<double>(EjectLatencyMargin.count());
}

bool ReplicaSet::hasTrustedReplica(Clock::time_point now) const
{
    return std::any_of(replicas.begin(), replicas.end(), [&](const Replica &each) {
        return each.target->health.takesRequests(now) && !isSuspect(*each.target, now);
    });
}

bool ReplicaSet::hasTrustedPeer(const TargetState &target, Clock::time_point now) const
{
    return std::any_of(replicas.begin(), replicas.end(), [&](const Replica &each) {
        return each.target.get() != &target
            && each.target->health.condition() == TargetCondition::Active
            && each.target->health.isLatencyKnown() && !isSuspect(*each.target, now);
    });
}

bool ReplicaSet::isRecovery(const TargetState &target, microseconds latency) const
{
    std::optional<microseconds> fastest;
    for (const Replica &replica : replicas) {
        const TargetHealth &health = replica.target->health;
        const bool isPeer = replica.target.get() != &target
            && health.condition() == TargetCondition::Active
            && health.samples() >= SamplesForEjection;
        if (isPeer && (!fastest || health.typicalLatency() < *fastest))
            fastest = health.typicalLatency();
    }
    return !fastest || latency <= std::max(hedgeDelay(), *fastest * RecoveredLatencyFactor);
}

Replica *chooseReplica(ReplicaSet &set, const Selection &selection, Clock::time_point now)
{
    const auto isEligibleHere = [&](const Replica &each) { return isEligible(each, selection); };
    const bool isSnapshotHeld =
        std::any_of(set.replicas.begin(), set.replicas.end(), [&](const Replica &each) {
            return isEligibleHere(each) && each.target->health.takesRequests(now)
                && !isBehind(each, selection.snapshot);
        });
    const auto accept = [&](const Replica &each) {
        return isEligibleHere(each) && !(isSnapshotHeld && isBehind(each, selection.snapshot));
    };
    const Fastest fastest = findFastest(set, now, accept);
    const bool hasNoTrustedReplica = !set.hasTrustedReplica(now);
    Replica *best = nullptr;
    bool isBestFast = false;
    for (Replica &replica : set.replicas) {
        const TargetHealth &health = replica.target->health;
        const bool isUsable =
            health.takesRequests(now) || canUseSlow(health, selection, hasNoTrustedReplica);
        if (!accept(replica) || !isUsable || !replica.target->hasFreeSlot())
            continue;
        const double latency = expectedLatency(set, *replica.target, fastest.latency, now);
        const bool isFast = !fastest.exists || hasNoTrustedReplica
            || latency <= fastest.latency * EqualLatencyFactor;
        const bool isWorthwhile = selection.isHedgeOrProbe
            ? latency <= fastest.latency * HedgeLatencyFactor
            : isWorthUsing(set, fastest, latency);
        if (!isFast && !isWorthwhile)
            continue;
        const bool isPreferred = best == nullptr || (isFast && !isBestFast)
            || (isFast == isBestFast && isLessLoaded(*replica.target, *best->target, now));
        if (!isPreferred)
            continue;
        best = &replica;
        isBestFast = isFast;
    }
    return best;
}

Replica *chooseProbe(ReplicaSet &set, const Selection &selection, ProbeUrgency urgency,
                     Clock::time_point now)
{
    const double fastest = static_cast<double>(set.typicalLatency(now).count());
    for (Replica &replica : set.replicas) {
        const TargetState &target = *replica.target;
        if (!isEligible(replica, selection) || target.slotsInUse != 0)
            continue;
        if (urgency == ProbeUrgency::Due) {
            if (target.health.isProbeDue(now) || isStale(target, fastest, StaleAfter, now))
                return &replica;
        } else if (target.health.isProbeOverdue(now)
                   || isStale(target, fastest, StaleAfter * OverdueFactor, now)) {
            return &replica;
        }
    }
    return nullptr;
}

bool isSnapshotGone(const ReplicaSet &set, SnapshotId snapshot)
{
    return !set.replicas.empty()
        && std::all_of(set.replicas.begin(), set.replicas.end(),
                       [&](const Replica &each) { return hasDropped(each, snapshot); });
}

} // namespace mangoshift::internal
