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

    SECTION("says nothing of a report that changes the sequence number only")
    {
        CHECK(textOf(registry.put(targetOf("a", 100, 6))).empty());
    }
    SECTION("says that a target is draining")
    {
        RegisteredTarget draining = targetOf("a", 100, 6);
        draining.isDraining = true;
        CHECK(textOf(registry.put(draining)) == "+a(draining)");

        AND_WHEN("an older report of the same life comes late")
        {
            THEN("it changes nothing")
            {
                CHECK(textOf(registry.put(targetOf("a", 100, 5))).empty());
            }
        }
        AND_WHEN("the target starts again under its name")
        {
            THEN("its count begins anew")
            {
                CHECK(textOf(registry.put(targetOf("a", 200, 1))) == "+a");
                CHECK(textOf(registry.put(draining)).empty());
            }
        }
    }
    SECTION("removes a target whose entry is gone at once")
    {
        CHECK(textOf(registry.remove("a", now)) == "-a");
        CHECK(textOf(registry.remove("a", now)).empty());
    }
    SECTION("removes what a whole list lacks, and adds what is new on it")
    {
        CHECK(textOf(registry.replaceAll({targetOf("b", 1, 1)}, now)) == "+b-a");
    }
    GIVEN("a store that has just come back from an outage")
    {
        registry.onStoreRecovered(now);
        SECTION("an entry that lapsed meanwhile is held")
        {
            CHECK(textOf(registry.remove("a", now + 100ms)).empty());
            CHECK(textOf(registry.expire(now + 2299ms)).empty());
            REQUIRE(registry.nextExpiry() == now + 2300ms);

            AND_WHEN("the target writes again in time")
            {
                registry.put(targetOf("a", 100, 9));
                THEN("it is not removed")
                {
                    CHECK(textOf(registry.expire(now + 2300ms)).empty());
                }
            }
            AND_WHEN("it does not")
            {
                THEN("it is gone")
                {
                    CHECK(textOf(registry.expire(now + 2300ms)) == "-a");
                }
            }
        }
        SECTION("what is missing on the first list is held too")
        {
            CHECK(textOf(registry.replaceAll({}, now + 1ms)).empty());
            CHECK(textOf(registry.expire(now + 2300ms)) == "-a");
        }
        SECTION("a removal after the grace is carried out at once")
        {
            CHECK(textOf(registry.remove("a", now + 2300ms)) == "-a");
        }
    }
}
