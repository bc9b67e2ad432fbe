#include <catch2/catch.hpp>

#include "mangoshift/targetregistry.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

RegisteredTarget targetOf(const TargetId &id, std::uint64_t startedAt, std::uint64_t sequence)
{
    RegisteredTarget target;
    target.id = id;
    target.service = "orders";
    target.address = "127.0.0.1:9000";
    target.startedAt = startedAt;
    target.sequence = sequence;
    return target;
}

std::string textOf(const std::vector<RegistryChange> &changes)
{
    std::string text;
    for (const RegistryChange &change : changes) {
        if (const auto *listed = std::get_if<TargetListed>(&change))
            text += "+" + listed->target.id + (listed->target.isDraining ? "(draining)" : "");
        else
            text += "-" + std::get<TargetDelisted>(change).id;
    }
    return text;
}

} // namespace

TEST_CASE("The registry of targets")
{
    TargetRegistry registry(2300ms);
    const Clock::time_point now = Clock::time_point(1h);
    REQUIRE(textOf(registry.put(targetOf("a", 100, 5))) == "+a");

    SECTION("reports no change if only the sequence number changes")
    {
        CHECK(textOf(registry.put(targetOf("a", 100, 6))).empty());
    }
    SECTION("reports that a target is draining")
    {
        RegisteredTarget draining = targetOf("a", 100, 6);
        draining.isDraining = true;
        CHECK(textOf(registry.put(draining)) == "+a(draining)");

        AND_WHEN("an older report of the same incarnation arrives late")
        {
            THEN("it changes nothing")
            {
                CHECK(textOf(registry.put(targetOf("a", 100, 5))).empty());
            }
        }
        AND_WHEN("the target restarts under the same id")
        {
            THEN("its sequence numbers start over")
            {
                CHECK(textOf(registry.put(targetOf("a", 200, 1))) == "+a");
                CHECK(textOf(registry.put(draining)).empty());
            }
        }
    }
    SECTION("removes a target at once when its entry is removed")
    {
        CHECK(textOf(registry.remove("a", now)) == "-a");
        CHECK(textOf(registry.remove("a", now)).empty());
    }
    SECTION("replaces all targets by a new list")
    {
        CHECK(textOf(registry.replaceAll({targetOf("b", 1, 1)}, now)) == "+b-a");
    }
    GIVEN("a store that has just recovered from an outage")
    {
        registry.onStoreRecovered(now);
        SECTION("the removal of an entry is held back")
        {
            CHECK(textOf(registry.remove("a", now + 100ms)).empty());
            CHECK(textOf(registry.expire(now + 2299ms)).empty());
            REQUIRE(registry.nextExpiry() == now + 2300ms);

            AND_WHEN("the target writes its entry again in time")
            {
                registry.put(targetOf("a", 100, 9));
                THEN("it is not removed")
                {
                    CHECK(textOf(registry.expire(now + 2300ms)).empty());
                }
            }
            AND_WHEN("the target does not write its entry again")
            {
                THEN("it is removed")
                {
                    CHECK(textOf(registry.expire(now + 2300ms)) == "-a");
                }
            }
        }
        SECTION("the removal of a target missing from the first list is held back too")
        {
            CHECK(textOf(registry.replaceAll({}, now + 1ms)).empty());
            CHECK(textOf(registry.expire(now + 2300ms)) == "-a");
        }
        SECTION("a removal after the grace period takes effect at once")
        {
            CHECK(textOf(registry.remove("a", now + 2300ms)) == "-a");
        }
    }
}

TEST_CASE("Changes of targets that were not taken yet are merged")
{
    std::vector<RegistryChange> changes;
    mergeChanges(changes, {TargetListed{targetOf("a", 1, 1)}, TargetListed{targetOf("b", 1, 1)}});
    REQUIRE(textOf(changes) == "+a+b");

    SECTION("changes of other targets are kept")
    {
        mergeChanges(changes, {TargetListed{targetOf("c", 1, 1)}, TargetDelisted{"d"}});
        CHECK(textOf(changes) == "+a+b+c-d");
    }
    SECTION("of several changes of a target the last one is kept")
    {
        mergeChanges(changes,
                     {TargetDelisted{"a"}, TargetListed{targetOf("c", 1, 1)},
                      TargetListed{targetOf("a", 2, 1)}, TargetDelisted{"b"}});
        CHECK(textOf(changes) == "+a-b+c");
        CHECK(std::get<TargetListed>(changes.front()).target.startedAt == 2);
    }
}
