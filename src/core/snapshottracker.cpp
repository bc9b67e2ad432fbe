#include "mangoshift/snapshottracker.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace mangoshift {

namespace {

/// How well a snapshot suits a service.
struct Rank
{
    std::size_t servingShardCount = 0;
    std::size_t servedFirst = 0;
    SnapshotId snapshot = 0;
};

bool isLess(const Rank &a, const Rank &b)
{
    return std::tie(a.servingShardCount, a.servedFirst, a.snapshot)
        < std::tie(b.servingShardCount, b.servedFirst, b.snapshot);
}

} // namespace

void SnapshotTracker::onSnapshotRange(ShardKey shard, const std::string &failureDomain,
                                      SnapshotRange held, Clock::time_point now)
{
    if (!held.isKnown())
        return;
    std::vector<Held> &all = m_held[shard.value];
    const auto it = std::find_if(all.begin(), all.end(), [&](const Held &each) {
        return each.failureDomain == failureDomain;
    });
    if (it == all.end()) {
        all.push_back({failureDomain, held, now});
        ++m_generation;
        return;
    }
    it->heardAt = now;
    if (it->range == held)
        return;
    it->range = held;
    ++m_generation;
}

SnapshotId SnapshotTracker::choose(const ServicePlanPtr &plan) const
{
    // The choice stands until a range changes, which is rare next to queries.
    Choice &choice = m_choices[plan->service];
    if (choice.plan != plan || choice.generation != m_generation)
        choice = {plan, m_generation, chooseAnew(*plan)};
    return choice.snapshot;
}

SnapshotId SnapshotTracker::chooseAnew(const ServicePlan &plan) const
{
    // Coverage is greatest at the newer end of some range.
    std::set<SnapshotId> candidates;
    for (const PlannedShard &shard : plan.shards)
        if (const auto it = m_held.find(shard.key.value); it != m_held.end())
            for (const Held &each : it->second)
                candidates.insert(each.range.newest);
    Rank best;
    for (const SnapshotId candidate : candidates) {
        const auto first = static_cast<std::size_t>(
            std::count_if(plan.shards.begin(), plan.shards.end(), [&](const PlannedShard &shard) {
                return servesFirst(shard, plan, candidate);
            }));
        best = std::max(best, Rank{servingShardCount(plan, candidate), first, candidate}, isLess);
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
    const auto it = m_held.find(shard.value);
    return it != m_held.end()
        && std::any_of(it->second.begin(), it->second.end(),
                       [&](const Held &each) { return each.range.contains(snapshot); });
}

bool SnapshotTracker::servesFirst(const PlannedShard &shard, const ServicePlan &plan,
                                  SnapshotId snapshot) const
{
    const auto it = m_held.find(shard.key.value);
    if (shard.homes.empty() || it == m_held.end())
        return false;
    const std::string &domain = plan.failureDomains[shard.homes.front().failureDomain];
    return std::any_of(it->second.begin(), it->second.end(), [&](const Held &each) {
        return each.failureDomain == domain && each.range.contains(snapshot);
    });
}

bool SnapshotTracker::lacksSnapshot(ShardKey shard, const std::string &failureDomain,
                                    SnapshotId snapshot, Clock::time_point now) const
{
    const auto it = m_held.find(shard.value);
    if (snapshot == 0 || it == m_held.end())
        return false;
    return std::any_of(it->second.begin(), it->second.end(), [&](const Held &each) {
        return each.failureDomain == failureDomain && !each.range.contains(snapshot)
            && now - each.heardAt < LackLifetime;
    });
}

void SnapshotTracker::keepOnly(const IndexedDocument &document)
{
    std::erase_if(m_held, [&](const auto &each) {
        return document.find(ShardKey{each.first}).shard == nullptr;
    });
    m_choices.clear();
    ++m_generation;
}

} // namespace mangoshift
