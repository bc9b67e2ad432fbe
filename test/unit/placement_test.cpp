#include <catch2/catch.hpp>

#include "mangoshift/placement.h"

using namespace mangoshift;

namespace {

Member vm(const std::string &name, const std::string &domain)
{
    return {name, domain, "bg", "127.0.0.1:1", 1, false};
}

Document documentWithTwoDomains()
{
    Document document;
    document.targets = {{"t-a", "127.0.0.1:1", "a", 2, 25}, {"t-b", "127.0.0.1:2", "b", 2, 25}};
    return document;
}

} // namespace

TEST_CASE("Homes are placed by rendezvous hash")
{
    const Document document = documentWithTwoDomains();
    const Shard shard{"s", shardKey("service", "s"), {0, 1}};

    GIVEN("live VMs in both failure domains")
    {
        MemberView view{1, {vm("a1", "a"), vm("a2", "a"), vm("b1", "b")}};
        const auto homes =
            homesOf(shard, document, view, view.members[2], PlacementPolicy(RendezvousHomes{}));

        SECTION("each domain's home is one of its own VMs, the root's domain first")
        {
            REQUIRE(homes.size() == 2);
            CHECK(homes[0].failureDomain == "b");
            CHECK(homes[0].vms == std::vector<VmId>{"b1"});
            CHECK(homes[1].failureDomain == "a");
            CHECK(homes[1].vms.size() == 2);
        }

        SECTION("a leaving VM is not a home")
        {
            view.members[2].isLeaving = true;
            const auto after =
                homesOf(shard, document, view, view.members[0], PlacementPolicy(RendezvousHomes{}));
            for (const HomeChoice &choice : after)
                for (const VmId &each : choice.vms)
                    CHECK(each != "b1");
        }

        SECTION("a VM without a configuration is not a home")
        {
            view.members[2].isStarting = true;
            for (const PlacementPolicy &policy :
                 {PlacementPolicy(RendezvousHomes{}), PlacementPolicy(RegionHomes{})})
                for (const HomeChoice &choice :
                     homesOf(shard, document, view, view.members[0], policy))
                    for (const VmId &each : choice.vms)
                        CHECK(each != "b1");
        }

        SECTION("the loss of a VM that is not the home does not change the home")
        {
            const VmId home = homes[1].vms.front();
            const VmId other = homes[1].vms.back();
            MemberView smaller = view;
            std::erase_if(smaller.members, [&](const Member &each) { return each.vm == other; });
            const auto after = homesOf(shard, document, smaller, view.members[2],
                                       PlacementPolicy(RendezvousHomes{}));
            CHECK(after[1].vms.front() == home);
        }
    }
}

TEST_CASE("Homes are placed by region or at every VM")
{
    const Document document = documentWithTwoDomains();
    const Shard shard{"s", shardKey("service", "s"), {0, 1}};
    MemberView view{1, {vm("a1", "a"), vm("a2", "a"), vm("b1", "b")}};

    GIVEN("one home for each region")
    {
        SECTION("the home uses all replicas, and all VMs choose the same home")
        {
            const auto homes = homesOf(shard, document, view, view.members[0], RegionHomes{});
            REQUIRE(homes.size() == 1);
            CHECK(homes[0].failureDomain.empty());
            CHECK(homes[0].vms.size() == 3);
            for (const Member &self : view.members)
                CHECK(homesOf(shard, document, view, self, RegionHomes{})[0].vms == homes[0].vms);
        }

        SECTION("the region of the root comes first")
        {
            view.members[2].region = "far";
            const auto homes = homesOf(shard, document, view, view.members[2], RegionHomes{});
            REQUIRE(homes.size() == 2);
            CHECK(homes[0].vms == std::vector<VmId>{"b1"});
            CHECK(homes[1].vms.size() == 2);
        }

        SECTION("replicas in failure domains without a live VM have a home too")
        {
            view.members = {vm("c1", "c")};
            const auto homes = homesOf(shard, document, view, view.members[0], RegionHomes{});
            REQUIRE(homes.size() == 1);
            CHECK(homes[0].vms == std::vector<VmId>{"c1"});
        }
    }

    GIVEN("every VM as the home of every shard")
    {
        const auto homes = homesOf(shard, document, view, view.members[1], LocalHomes{});
        REQUIRE(homes.size() == 1);
        CHECK(homes[0].vms == std::vector<VmId>{"a2"});
        CHECK(homes[0].failureDomain.empty());
    }
}
