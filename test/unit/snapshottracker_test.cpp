#include <catch2/catch.hpp>

#include "mangoshift/snapshottracker.h"

using namespace mangoshift;

namespace {

/// Returns a plan of three shards, each with homes in both domains. Domain `a` is preferred.
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
    const auto reportAll = [&](const std::string &domain, SnapshotRange range) {
        for (const PlannedShard &shard : plan->shards)
            tracker.onSnapshotRange(shard.key, domain, range, now);
    };

    SECTION("is zero while no range is known")
    {
        CHECK(tracker.choose(plan) == 0);
    }

    GIVEN("shards that roll over one after the other")
    {
        reportAll("a", {4, 5});
        CHECK(tracker.choose(plan) == 5);

        SECTION("the snapshot that all shards serve is kept until all serve the next one")
        {
            tracker.onSnapshotRange(plan->shards[0].key, "a", {5, 6}, now);
            tracker.onSnapshotRange(plan->shards[1].key, "a", {5, 6}, now);
            CHECK(tracker.choose(plan) == 5);
            tracker.onSnapshotRange(plan->shards[2].key, "a", {5, 6}, now);
            CHECK(tracker.choose(plan) == 6);
        }

        SECTION("the snapshot that the most shards serve is chosen if none is common to all")
        {
            tracker.onSnapshotRange(plan->shards[0].key, "a", {6, 6}, now);
            CHECK(tracker.choose(plan) == 5);
            CHECK(tracker.servingShardCount(*plan, 5) == 2);
        }

        SECTION("a shard without a known range is ignored")
        {
            SnapshotTracker other;
            other.onSnapshotRange(plan->shards[0].key, "a", {4, 5}, now);
            CHECK(other.choose(plan) == 5);
        }
    }

    GIVEN("replicas of one domain that roll over before those of the other")
    {
        reportAll("a", {5, 5});
        reportAll("b", {5, 6});

        SECTION("the snapshot of the preferred domain is kept, so that load does not move")
        {
            CHECK(tracker.choose(plan) == 5);
        }

        SECTION("a domain counts as lacking the snapshot for a while, then is tried again")
        {
            const ShardKey shard = plan->shards[0].key;
            CHECK(tracker.lacksSnapshot(shard, "a", 6, now));
            CHECK_FALSE(tracker.lacksSnapshot(shard, "b", 6, now));
            CHECK_FALSE(tracker.lacksSnapshot(shard, "a", 6,
                                              now + SnapshotTracker::MissingSnapshotLifetime));
        }
    }
}
