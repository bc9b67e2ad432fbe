#include <catch2/catch.hpp>

#include "mangoshift/acceptpause.h"

using namespace mangoshift;
using namespace std::chrono_literals;

TEST_CASE("Failures to take a connection are counted, and logged once a second "
          "at most")
{
    PausedClock clock;
    AcceptPause pause;
    CHECK(pause.onFailed(Clock::now()) == 1);
    for (int i = 0; i < 9; ++i) {
        clock.advance(100ms);
        CHECK_FALSE(pause.onFailed(Clock::now()));
    }
    clock.advance(100ms);
    CHECK(pause.onFailed(Clock::now()) == 10);
    CHECK(pause.failures() == 11);
    clock.advance(1h);
    CHECK(pause.onFailed(Clock::now()) == 1);
}
