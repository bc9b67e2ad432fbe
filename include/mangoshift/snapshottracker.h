#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/outcome.h"
#include "mangoshift/serviceplan.h"

namespace mangoshift {

/// Tracks the snapshots that each shard serves, as reported in replies, and chooses the snapshot
/// that a query is pinned to before its fan-out.
///
/// Ranges are kept by shard and failure domain, because the replicas of a shard roll over one after
/// the other. A shard counts as serving a snapshot if a replica in any of its domains does. Not
/// thread safe.
///
///     SnapshotTracker tracker;
///     tracker.onSnapshotRange(shard, "domain-a", {41, 42}, now);
///     const SnapshotId pin = tracker.choose(plan);
class SnapshotTracker
{
public:
    /// Records the range of snapshots that a replica of the shard in the failure domain reports.
    /// Ignores an unknown range.
    void onSnapshotRange(ShardKey shard, const std::string &failureDomain, SnapshotRange range,
                         Clock::time_point now);

    /// Returns the snapshot that the most shards of the plan are known to serve. Ties go to the
    /// snapshot that the most shards serve in their preferred domain, so that a rollover does not
    /// move all load to the replicas that rolled over first; further ties go to the newest
    /// snapshot. Shards without a known range count for no snapshot. Returns zero if no range is
    /// known.
    SnapshotId choose(const ServicePlanPtr &plan) const;
    /// Returns how many shards of the plan are known to serve the snapshot.
    std::size_t servingShardCount(const ServicePlan &plan, SnapshotId snapshot) const;
    /// Returns whether a replica of the shard in the failure domain reported within
    /// `MissingSnapshotLifetime` that it does not serve the snapshot.
    bool lacksSnapshot(ShardKey shard, const std::string &failureDomain, SnapshotId snapshot,
                       Clock::time_point now) const;

    /// Removes the shards that are not in the document.
    void keepOnly(const IndexedDocument &document);

    /// How long a domain counts as lacking a snapshot before it is tried again.
    static constexpr std::chrono::milliseconds MissingSnapshotLifetime{500};

private:
    struct KnownRange
    {
        std::string failureDomain;
        SnapshotRange range;
        Clock::time_point reportedAt;
    };
    struct CachedChoice
    {
        ServicePlanPtr plan;
        std::uint64_t generation = 0;
        SnapshotId snapshot = 0;
    };

    bool serves(ShardKey shard, SnapshotId snapshot) const;
    bool servesInPreferredDomain(const PlannedShard &shard, const ServicePlan &plan,
                                 SnapshotId snapshot) const;
    SnapshotId computeChoice(const ServicePlan &plan) const;

    std::unordered_map<std::uint64_t, std::vector<KnownRange>> m_knownRanges;
    std::uint64_t m_generation = 1; ///< Incremented with each change of a range.
    mutable std::unordered_map<std::string, CachedChoice> m_choices;
};

} // namespace mangoshift
