#include "mangoshift/snapshottracker.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace mangoshift {

namespace {

/// How well a snapshot suits a service. Compared in the order of the fields.
struct Rank
{
    std::size_t servingShardCount = 0;
    std::size_t preferredCount = 0;
    SnapshotId snapshot = 0;
};

bool isLess(const Rank &a, const Rank &b)
{
    return std::tie(a.servingShardCount, a.preferredCount, a.snapshot)
        < std::tie(b.servingShardCount, b.preferredCount, b.snapshot);
}

} // namespace

void SnapshotTracker::onSnapshotRange(ShardKey shard, const std::string &failureDomain,
                                      SnapshotRange range, Clock::time_point now)
{
    if (!range.isKnown())
        return;
    std::vector<KnownRange> &ranges = m_knownRanges[shard.value];
    const auto it = std::find_if(ranges.begin(), ranges.end(), [&](const KnownRange &each) {
        return each.failureDomain == failureDomain;
    });
    if (it == ranges.end()) {
        ranges.push_back({failureDomain, range, now});
        ++m_generation;
        return;
    }
    it->reportedAt = now;
    if (it->range == range)
        return;
    it->range = range;
    ++m_generation;
}

SnapshotId SnapshotTracker::choose(const ServicePlanPtr &plan) const
{
    // The choice is cached until a range changes, which happens far less often than queries.
    CachedChoice &choice = m_choices[plan->service];
    if (choice.plan != plan || choice.generation != m_generation)
        choice = {plan, m_generation, computeChoice(*plan)};
    return choice.snapshot;
}

SnapshotId SnapshotTracker::computeChoice(const ServicePlan &plan) const
{
    // No snapshot is served by more shards than the best of the ranges' newest snapshots, so only
    // those are candidates.
    std::set<SnapshotId> candidates;
    for (const PlannedShard &shard : plan.shards)
        if (const auto it = m_knownRanges.find(shard.key.value); it != m_knownRanges.end())
            for (const KnownRange &each : it->second)
                candidates.insert(each.range.newest);
    Rank best;
    for (const SnapshotId candidate : candidates) {
        const auto preferredCount = static_cast<std::size_t>(
            std::count_if(plan.shards.begin(), plan.shards.end(), [&](const PlannedShard &shard) {
                return servesInPreferredDomain(shard, plan, candidate);
            }));
        best = std::max(best, Rank{servingShardCount(plan, candidate), preferredCount, candidate},
                        isLess);
    }
    return best.snapshot;
}

std::size_t SnapshotTracker::servingShardCount(const ServicePlan &plan, SnapshotId snapshot) const
{
    return static_cast<std::size_t>(
        std::count_if(plan.shards.begin(), plan.shards.end(),
                      [&](const PlannedShard &shard) { return serves(shard.key, snapshot); }));
}

bool SnapshotTracker::serves(ShardKey shard, SnapshotId snapshot) const
{
    const auto it = m_knownRanges.find(shard.value);
    return it != m_knownRanges.end()
        && std::any_of(it->second.begin(), it->second.end(),
                       [&](const KnownRange &each) { return each.range.contains(snapshot); });
}

bool SnapshotTracker::servesInPreferredDomain(const PlannedShard &shard, const ServicePlan &plan,
                                              SnapshotId snapshot) const
{
    const auto it = m_knownRanges.find(shard.key.value);
    if (shard.homes.empty() || it == m_knownRanges.end())
        return false;
    const std::string &domain = plan.failureDomains[shard.homes.front().failureDomain];
    return std::any_of(it->second.begin(), it->second.end(), [&](const KnownRange &each) {
        return each.failureDomain == domain && each.range.contains(snapshot);
    });
}

bool SnapshotTracker::lacksSnapshot(ShardKey shard, const std::string &failureDomain,
                                    SnapshotId snapshot, Clock::time_point now) const
{
    const auto it = m_knownRanges.find(shard.value);
    if (snapshot == 0 || it == m_knownRanges.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const KnownRange &each) {
        return each.failureDomain == failureDomain && !each.range.contains(snapshot)
            && now - each.reportedAt < MissingSnapshotLifetime;
    });
}

void SnapshotTracker::keepOnly(const IndexedDocument &document)
{
    std::erase_if(m_knownRanges, [&](const auto &each) {
        return document.find(ShardKey{each.first}).shard == nullptr;
    });
    m_choices.clear();
    ++m_generation;
}

} // namespace mangoshift
