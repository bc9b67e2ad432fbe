#include <catch2/catch.hpp>

#include "mangoshift/serviceplan.h"

using namespace mangoshift;

namespace {

DocumentPtr documentOf(ConfigVersion version)
{
    Document document;
    document.version = version;
    document.targets = {{"t-a", "127.0.0.1:1", "a", 2, 25}, {"t-b", "127.0.0.1:2", "b", 2, 25}};
    Service service;
    service.name = "search";
    service.shards = {{"0", shardKey("search", "0"), {0, 1}}, {"1", shardKey("search", "1"), {0}}};
    document.services = {service};
    return std::make_shared<IndexedDocument>(std::move(document));
}

MemberViewPtr viewOf(std::uint64_t generation)
{
    return std::make_shared<MemberView>(MemberView{generation,
                                                   {{"a1", "a", "r", "", 1, false},
                                                    {"a2", "a", "r", "", 1, false},
                                                    {"b1", "b", "r", "", 1, false}}});
}

} // namespace

TEST_CASE("The plan of a service")
{
    const DocumentPtr document = documentOf(1);
    const MemberViewPtr members = viewOf(1);
    PlanCache plans({"a1", "a", "r", "", 1, false}, RendezvousHomes{});
    const ServicePlanPtr plan = plans.planOf(document, document->document().services[0], members);

    SECTION("lists the home of each domain before the next VM of any domain")
    {
        REQUIRE(plan->shards.size() == 2);
        const PlannedShard &shard = plan->shards[0];
        REQUIRE(shard.homes.size() == 3);
        CHECK(plan->failureDomains[shard.homes[0].failureDomain] == "a");
        CHECK(plan->failureDomains[shard.homes[1].failureDomain] == "b");
        CHECK(plan->failureDomains[shard.homes[2].failureDomain] == "a");
        CHECK(plan->indexOf(shardKey("search", "1")) == 1U);
        CHECK_FALSE(plan->indexOf(shardKey("search", "2")));
    }

    SECTION("is computed once for a document and a set of members")
    {
        CHECK(plans.planOf(document, document->document().services[0], members) == plan);
        CHECK(plans.plansMade() == 1);
    }

    SECTION("is recomputed when the members or the document change")
    {
        CHECK(plans.planOf(document, document->document().services[0], viewOf(2)) != plan);
        const DocumentPtr next = documentOf(2);
        CHECK(plans.planOf(next, next->document().services[0], members) != plan);
        CHECK(plans.plansMade() == 3);
    }
}
