#include <catch2/catch.hpp>

#include "mangoshift/snapshottracker.h"

using namespace mangoshift;

namespace {

/// Three shards, each with replicas in both domains; domain `a` is preferred.
ServicePlanPtr threeShards()
{
    auto plan = std::make_shared<ServicePlan>();
    plan->service = "service";
    plan->vms = {"vm-a", "vm-b"};
    plan->failureDomains = {"a", "b"};
    for (const char *name : {"0", "1", "2"})
        plan->shards.push_back({shardKey("service", name), name, {{0, 0}, {1, 1}}});
    return plan;
}

} // namespace

TEST_CASE("The snapshot that a query is pinned to")
{
    const ServicePlanPtr plan = threeShards();
    const Clock::time_point now{std::chrono::seconds(1)};
    SnapshotTracker tracker;
    const auto all = [&](const std::string &domain, SnapshotRange range) {
        for (const PlannedShard &shard : plan->shards)
            tracker.onSnapshotRange(shard.key, domain, range, now);
    };

    SECTION("is none while nothing is known")
    {
        CHECK(tracker.choose(plan) == 0);
    }

    GIVEN("shards that advance one by one")
    {
        all("a", {4, 5});
        CHECK(tracker.choose(plan) == 5);

        SECTION("it stays the one that all serve until the last has the next")
        {
            tracker.onSnapshotRange(plan->shards[0].key, "a", {5, 6}, now);
            tracker.onSnapshotRange(plan->shards[1].key, "a", {5, 6}, now);
            CHECK(tracker.choose(plan) == 5);
            tracker.onSnapshotRange(plan->shards[2].key, "a", {5, 6}, now);
            CHECK(tracker.choose(plan) == 6);
        }

        SECTION("it covers the most shards where none is common")
        {
            tracker.onSnapshotRange(plan->shards[0].key, "a", {6, 6}, now);
            CHECK(tracker.choose(plan) == 5);
            CHECK(tracker.servingShardCount(*plan, 5) == 2);
        }

        SECTION("a shard of which nothing is known does not stand in the way")
        {
            SnapshotTracker other;
            other.onSnapshotRange(plan->shards[0].key, "a", {4, 5}, now);
            CHECK(other.choose(plan) == 5);
        }
    }

    GIVEN("replicas of one domain that are rolled before those of the other")
    {
        all("a", {5, 5});
        all("b", {5, 6});

        SECTION("it waits for the preferred domain, so that load does not move")
        {
            CHECK(tracker.choose(plan) == 5);
        }

        SECTION("a domain that lacks it is known for a while, then tried again")
        {
            const ShardKey shard = plan->shards[0].key;
            CHECK(tracker.lacksSnapshot(shard, "a", 6, now));
            CHECK_FALSE(tracker.lacksSnapshot(shard, "b", 6, now));
            CHECK_FALSE(tracker.lacksSnapshot(shard, "a", 6, now + SnapshotTracker::LackLifetime));
        }
    }
}
