#include <catch2/catch.hpp>

#include "mangoshift/permitroute.h"

using namespace mangoshift;
using namespace std::chrono_literals;

TEST_CASE("The pool owner that a VM asks for permits")
{
    const Clock::time_point start{1000s};
    const Clock::time_point settled = start + PermitRoute::SettleTime;
    PermitRoute route;
    route.setOwners("a-0", "b-0", start);

    SECTION("is that of another domain until its own grants its whole part")
    {
        CHECK(route.own() == "a-0");
        CHECK(route.ownerToAsk(settled - 1ms) == "b-0");
        CHECK(route.ownerToAsk(settled) == "a-0");
    }
    SECTION("is its own if no other is known")
    {
        route.setOwners("a-0", std::nullopt, start + 1s);
        CHECK(route.ownerToAsk(start + 1s) == "a-0");
    }
    SECTION("is its own again in time although other domains change theirs")
    {
        route.setOwners("a-0", "c-0", start + 1s);
        CHECK(route.ownerToAsk(start + 1s) == "c-0");
        CHECK(route.ownerToAsk(settled) == "a-0");
    }
    SECTION("is another one again when its own is lost")
    {
        route.setOwners("a-1", "b-0", settled);
        CHECK(route.ownerToAsk(settled) == "b-0");
        CHECK(route.ownerToAsk(settled + PermitRoute::SettleTime) == "a-1");
    }
}
