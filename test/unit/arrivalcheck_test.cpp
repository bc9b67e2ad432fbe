#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/arrivalcheck.h"

using namespace mangoshift;
using std::chrono::milliseconds;

TEST_CASE("A fan-out is refused on arrival only if queues make it late")
{
    const milliseconds latency(20);
    const milliseconds left(140);
    std::vector<Clock::duration> waits(20, milliseconds(0));

    SECTION("without queues it is accepted, however slow the targets are")
    {
        CHECK(canFinishInTime(waits, milliseconds(500), left, 18));
    }
    SECTION("as many parts may be late as may be missing from the answer")
    {
        waits[0] = waits[1] = milliseconds(121);
        CHECK(canFinishInTime(waits, latency, left, 18));
        waits[2] = milliseconds(121);
        CHECK_FALSE(canFinishInTime(waits, latency, left, 18));
    }
    SECTION("a queue that is served in time does not matter")
    {
        waits.assign(20, milliseconds(120));
        CHECK(canFinishInTime(waits, latency, left, 20));
    }
}
