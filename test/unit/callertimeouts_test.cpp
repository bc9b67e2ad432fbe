#include <random>

#include <catch2/catch.hpp>

#include "mangoshift/callertimeouts.h"

using namespace mangoshift;
using namespace std::chrono_literals;
using Due = CallerTimeouts::Due;

namespace {

constexpr int Sequences = 2000;
constexpr int StepsOfSequence = 60;

CallerLimits limitsOf(std::chrono::milliseconds idle, std::chrono::milliseconds header,
                      std::size_t body)
{
    CallerLimits limits;
    limits.idleTimeout = idle;
    limits.headerTimeout = header;
    limits.bodyBytes = body;
    return limits;
}

} // namespace

TEST_CASE("The timeouts of a caller's connection")
{
    PausedClock clock;
    CallerTimeouts timeouts(limitsOf(15s, 3s, 1000), Clock::now());
    const auto dueAfter = [&](Clock::duration time) {
        clock.advance(time);
        return timeouts.check(Clock::now());
    };

    SECTION("close an idle connection a margin after the idle limit")
    {
        CHECK(dueAfter(15s) == Due::Nothing);
        CHECK(dueAfter(1s) == Due::CloseIdle);
    }
    SECTION("reject a request whose headers are overdue")
    {
        timeouts.enter(CallerPhase::Receiving, Clock::now());
        CHECK(dueAfter(2999ms) == Due::Nothing);
        CHECK(dueAfter(1ms) == Due::RejectOverdue);
    }
    SECTION("leave a request whose headers are complete more time for its body")
    {
        timeouts.enter(CallerPhase::Receiving, Clock::now());
        timeouts.onHeaders();
        CHECK(dueAfter(9s) == Due::Nothing);
        CHECK(dueAfter(1s) == Due::RejectOverdue);
    }
    SECTION("never end a connection whose request is being processed")
    {
        timeouts.enter(CallerPhase::Working, Clock::now());
        CHECK(dueAfter(1h) == Due::Nothing);
    }
    SECTION("end a connection whose response is not read")
    {
        timeouts.enter(CallerPhase::Answering, Clock::now());
        CHECK(dueAfter(10s) == Due::Abort);
    }
    SECTION("end a connection that has been closing for a second")
    {
        timeouts.enter(CallerPhase::Closing, Clock::now());
        CHECK(dueAfter(1s) == Due::Abort);
    }
    SECTION("count an idle connection as settled once its last response has surely arrived")
    {
        CHECK_FALSE(timeouts.isSettled(Clock::now()));
        clock.advance(1s);
        CHECK(timeouts.isSettled(Clock::now()));
        timeouts.enter(CallerPhase::Receiving, Clock::now());
        clock.advance(1s);
        CHECK_FALSE(timeouts.isSettled(Clock::now()));
    }
    SECTION("keep the longest idle limit that was in force since the connection became idle")
    {
        timeouts.setLimits(limitsOf(2s, 3s, 1000));
        CHECK(dueAfter(15s) == Due::Nothing);
        timeouts.enter(CallerPhase::Working, Clock::now());
        timeouts.enter(CallerPhase::Idle, Clock::now());
        CHECK(dueAfter(3s) == Due::CloseIdle);
    }
    SECTION("apply smaller sizes to the next request, not to the one that is arriving")
    {
        timeouts.enter(CallerPhase::Receiving, Clock::now());
        timeouts.setLimits(limitsOf(15s, 1s, 10));
        CHECK(timeouts.limits().bodyBytes == 1000);
        CHECK(dueAfter(2s) == Due::Nothing);
        timeouts.enter(CallerPhase::Working, Clock::now());
        timeouts.enter(CallerPhase::Idle, Clock::now());
        CHECK(timeouts.limits().bodyBytes == 10);
    }
}

TEST_CASE("Whatever limits come in force, a connection is closed neither too early nor never")
{
    int idleCloses = 0;
    int headRejections = 0;
    int bodyRejections = 0;
    for (unsigned seed = 1; seed <= Sequences; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        const auto draw = [&random](int from, int to) {
            return std::uniform_int_distribution<int>(from, to)(random);
        };
        const auto drawLimits = [&] {
            return limitsOf(std::chrono::milliseconds(draw(100, 20000)),
                            std::chrono::milliseconds(draw(100, 5000)),
                            static_cast<std::size_t>(draw(1, 1000)));
        };
        PausedClock clock;
        CallerLimits inForce = drawLimits();
        CallerTimeouts timeouts(inForce, Clock::now());
        Clock::time_point phaseSince = Clock::now();
        bool isReceiving = false;
        bool hasHeaders = false;
        // The longest times and the greatest size that were in force within the phase.
        CallerLimits widest = inForce;
        for (int step = 0; step < StepsOfSequence; ++step) {
            clock.advance(std::chrono::milliseconds(draw(0, 3000)));
            const Clock::time_point now = Clock::now();
            if (draw(0, 3) == 0) {
                inForce = drawLimits();
                timeouts.setLimits(inForce);
                widest.idleTimeout = std::max(widest.idleTimeout, inForce.idleTimeout);
                // Before a request begins, nothing counts on its limits.
                widest.headerTimeout = isReceiving
                    ? std::max(widest.headerTimeout, inForce.headerTimeout)
                    : inForce.headerTimeout;
                widest.bodyBytes =
                    isReceiving ? std::max(widest.bodyBytes, inForce.bodyBytes) : inForce.bodyBytes;
            }
            if (!isReceiving && draw(0, 9) == 0) {
                timeouts.enter(CallerPhase::Receiving, now);
                isReceiving = true;
                hasHeaders = false;
                phaseSince = now;
            } else if (isReceiving && !hasHeaders && draw(0, 4) == 0) {
                timeouts.onHeaders();
                hasHeaders = true;
            } else if (isReceiving && draw(0, 9) == 0) {
                timeouts.enter(CallerPhase::Working, now);
                timeouts.enter(CallerPhase::Idle, now);
                isReceiving = false;
                phaseSince = now;
                widest = inForce;
            }
            const Clock::duration age = now - phaseSince;
            Due expected = Due::Nothing;
            if (!isReceiving && age >= widest.idleTimeout + 1s)
                expected = Due::CloseIdle;
            else if (isReceiving
                     && age >= (hasHeaders ? Clock::duration(10s) : widest.headerTimeout))
                expected = Due::RejectOverdue;
            REQUIRE(timeouts.check(now) == expected);
            REQUIRE(timeouts.limits().bodyBytes == widest.bodyBytes);
            idleCloses += expected == Due::CloseIdle ? 1 : 0;
            headRejections += expected == Due::RejectOverdue && !hasHeaders ? 1 : 0;
            bodyRejections += expected == Due::RejectOverdue && hasHeaders ? 1 : 0;
        }
    }
    CHECK(idleCloses > 0);
    CHECK(headRejections > 0);
    CHECK(bodyRejections > 0);
}
