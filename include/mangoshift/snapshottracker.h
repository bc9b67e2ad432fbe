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

/// Learns from replies which snapshots each shard serves, and chooses the one that a query is
/// pinned to before its fan-out.
///
/// Knowledge is kept by shard and failure domain, since replicas of one shard roll over one by one.
/// A shard counts as serving a snapshot where any of its domains does. Not thread safe.
///
///     SnapshotTracker tracker;
///     tracker.onSnapshotRange(shard, "domain-a", {41, 42}, now);
///     const SnapshotId pin = tracker.choose(plan);
class SnapshotTracker
{
public:
    /// Takes in the range that a replica of the shard, in that failure domain, said it holds.
    void onSnapshotRange(ShardKey shard, const std::string &failureDomain, SnapshotRange held,
                         Clock::time_point now);

    /// Returns the snapshot that the most shards of the plan are known to serve; among equals the
    /// one that the most shards serve in their preferred domain, so that a roll-over does not move
    /// all load to the replicas that were rolled first; among equals the newest. Shards of which
    /// nothing is known count for none. Returns zero where nothing is known of any shard.
    SnapshotId choose(const ServicePlanPtr &plan) const;
    /// Returns how many shards of the plan are known to serve the snapshot.
    std::size_t servingShardCount(const ServicePlan &plan, SnapshotId snapshot) const;
    /// Returns true where the shard was heard lately not to serve the snapshot in that domain.
    bool lacksSnapshot(ShardKey shard, const std::string &failureDomain, SnapshotId snapshot,
                       Clock::time_point now) const;

    /// Forgets the shards that are not in the document.
    void keepOnly(const IndexedDocument &document);

    /// How long it is believed that a domain lacks a snapshot; then it is tried again.
    static constexpr std::chrono::milliseconds LackLifetime{500};

private:
    struct Held
    {
        std::string failureDomain;
        SnapshotRange range;
        Clock::time_point heardAt;
    };
    struct Choice
    {
        ServicePlanPtr plan;
        std::uint64_t generation = 0;
        SnapshotId snapshot = 0;
    };

    bool serves(ShardKey shard, SnapshotId snapshot) const;
    bool servesFirst(const PlannedShard &shard, const ServicePlan &plan, SnapshotId snapshot) const;
    SnapshotId chooseAnew(const ServicePlan &plan) const;

    std::unordered_map<std::uint64_t, std::vector<Held>> m_held;
    std::uint64_t m_generation = 1; ///< Grows with each change of a range.
    mutable std::unordered_map<std::string, Choice> m_choices;
};

} // namespace mangoshift
