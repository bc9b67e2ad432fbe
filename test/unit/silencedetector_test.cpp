#include <catch2/catch.hpp>

#include "mangoshift/silencedetector.h"

using namespace mangoshift;
using Advice = SilenceDetector::Advice;

TEST_CASE("A connection that has gone silent is detected")
{
    const Clock::time_point start{std::chrono::hours(1)};
    SilenceDetector detector;
    const auto checkAt = [&](int afterMs) {
        return detector.check(start + std::chrono::milliseconds(afterMs));
    };

    GIVEN("a connection on which nothing was sent")
    {
        SECTION("it is never pinged")
        {
            for (int at = 0; at < 5000; at += 100)
                CHECK(checkAt(at) == Advice::Nothing);
        }
    }

    GIVEN("a frame that was sent without a reply")
    {
        detector.onSent(start);
        CHECK(checkAt(50) == Advice::Nothing);

        SECTION("the other end is pinged once, then given up")
        {
            CHECK(checkAt(100) == Advice::Ping);
            CHECK(checkAt(200) == Advice::Nothing);
            CHECK(checkAt(400) == Advice::Nothing);
            CHECK(checkAt(500) == Advice::GiveUp);
        }

        SECTION("any receipt ends the suspicion")
        {
            CHECK(checkAt(100) == Advice::Ping);
            detector.onReceived();
            CHECK(checkAt(200) == Advice::Nothing);
            CHECK(checkAt(400) == Advice::Nothing);
            CHECK(checkAt(600) == Advice::Nothing);
        }

        SECTION("the wait starts over after a pause of this process")
        {
            CHECK(checkAt(100) == Advice::Ping);
            CHECK(checkAt(60'000) == Advice::Nothing);
            CHECK(checkAt(60'100) == Advice::Ping);
            CHECK(checkAt(60'300) == Advice::Nothing);
            CHECK(checkAt(60'500) == Advice::GiveUp);
        }
    }
}
