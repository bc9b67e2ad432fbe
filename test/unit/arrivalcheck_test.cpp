#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/arrivalcheck.h"

using namespace mangoshift;
using std::chrono::milliseconds;

TEST_CASE("A fan-out is refused at its arrival only where queues make it late")
{
    const milliseconds latency(20);
    const milliseconds left(140);
    std::vector<Clock::duration> waits(20, milliseconds(0));

    SECTION("without queues it is taken, however slow the targets are")
    {
        CHECK(canFinishInTime(waits, milliseconds(500), left, 18));
    }
    SECTION("as many parts may be late as the answer may lack")
    {
        waits[0] = waits[1] = milliseconds(121);
        CHECK(canFinishInTime(waits, latency, left, 18));
        waits[2] = milliseconds(121);
        CHECK_FALSE(canFinishInTime(waits, latency, left, 18));
    }
    SECTION("a queue that ends in time is no reason")
    {
        waits.assign(20, milliseconds(120));
        CHECK(canFinishInTime(waits, latency, left, 20));
    }
}
