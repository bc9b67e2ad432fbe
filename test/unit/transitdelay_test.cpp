#include <catch2/catch.hpp>

#include "mangoshift/transitdelay.h"

using namespace mangoshift;
using std::chrono::milliseconds;

TEST_CASE("Delayed messages are detected without a common clock")
{
    TransitDelay delay;
    const Clock::time_point start{std::chrono::hours(5)};
    const milliseconds senderStart{77};
    const auto receive = [&](milliseconds sentAfter, milliseconds transitTime) {
        return delay.onMessage(senderStart + sentAfter, start + sentAfter + transitTime);
    };

    GIVEN("a round trip that took 1 ms, before a first message that was delayed")
    {
        CHECK_FALSE(delay.hasSample());
        delay.onRoundTrip(start, senderStart + milliseconds(1));

        SECTION("its delay is overestimated by at most the round trip")
        {
            CHECK(delay.hasSample());
            CHECK(receive(milliseconds(0), milliseconds(700)) == milliseconds(701));
        }
    }

    GIVEN("messages that took 2 to 3 ms")
    {
        CHECK(receive(milliseconds(0), milliseconds(3)) == milliseconds(0));
        CHECK(receive(milliseconds(10), milliseconds(2)) == milliseconds(0));
        CHECK(receive(milliseconds(20), milliseconds(3)) == milliseconds(1));

        SECTION("a delay of ten seconds is reported")
        {
            CHECK(receive(milliseconds(30), milliseconds(10'002)) == milliseconds(10'000));
        }

        SECTION("a delay longer than the window is reported")
        {
            CHECK(receive(milliseconds(30), milliseconds(90'002)) == milliseconds(90'000));
        }

        SECTION("clock drift is no longer reported as a delay after two windows")
        {
            receive(std::chrono::minutes(2), milliseconds(50));
            CHECK(receive(std::chrono::minutes(4), milliseconds(50)) == milliseconds(0));
        }
    }
}
