#include <catch2/catch.hpp>

#include "mangoshift/retiredshards.h"

using namespace mangoshift;

namespace {

/// Returns a document with one service. Every target is a replica of every shard.
DocumentPtr documentOf(const std::vector<std::string> &shards,
                       const std::vector<std::string> &targets)
{
    Document document;
    for (const std::string &name : targets)
        document.targets.push_back({name, name + ":1", "a", 2, 25});
    Service service;
    service.name = "search";
    for (const std::string &name : shards) {
        service.shards.push_back({name, shardKey("search", name), {}});
        for (std::size_t i = 0; i < targets.size(); ++i)
            service.shards.back().replicas.push_back(i);
    }
    document.services = {service};
    return std::make_shared<IndexedDocument>(std::move(document));
}

std::vector<std::string> replicasOf(const DocumentPtr &document, const std::string &shard)
{
    std::vector<std::string> names;
    if (const Shard *found = document->find(shardKey("search", shard)).shard)
        for (const std::size_t index : found->replicas)
            names.push_back(document->document().targets.at(index).name);
    return names;
}

} // namespace

TEST_CASE("A shard that is removed from the configuration is served for a grace period")
{
    using Names = std::vector<std::string>;
    const Clock::time_point start{};
    RetiredShards retired;
    const DocumentPtr whole = documentOf({"0", "1"}, {"s", "t"});
    CHECK(retired.onDocument(whole, start) == whole);
    CHECK_FALSE(retired.nextExpiry());

    SECTION("by those of its targets that remain, besides the shards in force")
    {
        const DocumentPtr split = documentOf({"0x", "0y", "1"}, {"t", "u"});
        const DocumentPtr served = retired.onDocument(split, start);
        CHECK(replicasOf(served, "0") == Names{"t"});
        CHECK(replicasOf(served, "0x") == Names{"t", "u"});

        SECTION("also if another version follows immediately")
        {
            const DocumentPtr next = retired.onDocument(documentOf({"0x", "0y"}, {"t"}),
                                                        start + RetiredShards::GracePeriod / 2);
            CHECK(replicasOf(next, "0") == Names{"t"});
            CHECK(replicasOf(next, "1") == Names{"t"});
            const DocumentPtr later = retired.onTimer(start + RetiredShards::GracePeriod);
            CHECK(replicasOf(later, "0").empty());
            CHECK(replicasOf(later, "1") == Names{"t"});
        }
        SECTION("until its grace period ends")
        {
            REQUIRE(retired.nextExpiry() == start + RetiredShards::GracePeriod);
            CHECK(retired.onTimer(*retired.nextExpiry()) == split);
            CHECK_FALSE(retired.nextExpiry());
        }
        SECTION("until it is added again")
        {
            CHECK(replicasOf(retired.onDocument(whole, start), "0") == Names{"s", "t"});
            CHECK(replicasOf(retired.onTimer(start + RetiredShards::GracePeriod), "0")
                  == Names{"s", "t"});
        }
    }
    SECTION("but not if its service or all of its targets are removed")
    {
        CHECK(replicasOf(retired.onDocument(documentOf({"1"}, {"u"}), start), "0").empty());
        const auto none = std::make_shared<IndexedDocument>(Document{});
        CHECK(replicasOf(retired.onDocument(none, start), "1").empty());
    }
}
