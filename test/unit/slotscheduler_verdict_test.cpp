#include <algorithm>

#include <catch2/catch.hpp>

#include "schedulerharness.h"

using namespace mangoshift;
using namespace mangoshift::testing;

namespace {

constexpr Verdict UnsentInTime{Execution::NotRun, Reason::DeadlineExceeded};

} // namespace

TEST_CASE("A home reports in time that no target can have got a request")
{
    SchedulerHarness harness(1, 1);
    harness.hasFreeConnections = false;

    SECTION("if it has waited for a connection")
    {
        harness.submit(0, true, milliseconds(200));
        const CallId call = harness.sent.at(0).call;
        harness.advance(milliseconds(189));
        CHECK(harness.replies.empty());
        harness.advance(milliseconds(1));
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.verdict == UnsentInTime);
        CHECK(harness.cancelled == std::vector<CallId>{call});
    }
    SECTION("also if its time is short")
    {
        harness.submit(0, true, milliseconds(50));
        harness.advance(milliseconds(45));
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.verdict == UnsentInTime);
    }
    SECTION("if it has waited for a slot of a target whose latency is not known")
    {
        harness.hasFreeConnections = true;
        const ShardRequestId first = harness.submit(0, false, milliseconds(400));
        const ShardRequestId waiting = harness.submit(0, false, milliseconds(200));
        REQUIRE(harness.scheduler.waitingRequests() == 1);
        harness.advance(milliseconds(190));
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].request == waiting);
        CHECK(harness.replies[0].outcome.verdict.execution == Execution::NotRun);
        AND_WHEN("the request that was sent is not answered")
        {
            harness.advance(milliseconds(209));
            CHECK(harness.replies.empty());
            harness.advance(milliseconds(1));
            THEN("it has its whole time, and may have run")
            {
                REQUIRE(harness.replies.size() == 1);
                CHECK(harness.replies[0].request == first);
                CHECK(harness.replies[0].outcome.verdict
                      == Verdict{Execution::MayHaveRun, Reason::DeadlineExceeded});
            }
        }
    }
    SECTION("if it could not be sent to one target, and its next copy waits for a connection")
    {
        SchedulerHarness two(2, 1);
        two.submit(0, true, milliseconds(200));
        const CallId first = two.sent.at(0).call;
        two.hasFreeConnections = false;
        two.endCall(first, Unreachable);
        REQUIRE(two.sent.size() == 1);
        two.advance(milliseconds(190));
        REQUIRE(two.replies.size() == 1);
        CHECK(two.replies[0].outcome.verdict == UnsentInTime);
    }
}

// Guards against a request that is sent and reported as not run by the same, late, timer event.
TEST_CASE("A request that a late timer sends counts as sent")
{
    SchedulerHarness harness(1, 1);
    harness.submit();
    harness.endCall(harness.sent.at(0).call, Unreachable);
    harness.submit(0, true, milliseconds(3000));
    REQUIRE(harness.sent.empty());
    REQUIRE(harness.replies.empty());
    REQUIRE(harness.timer > harness.now);
    // The target may be probed again before the request's time is up. Both are due by then.
    const auto delayMs = GENERATE(2995, 3005);
    INFO("after " << delayMs << " ms");
    harness.advance(milliseconds(delayMs));
    const bool isSent = !harness.sent.empty();
    const bool isNotRun =
        std::any_of(harness.replies.begin(), harness.replies.end(), [](const ReplyShard &each) {
            return each.outcome.verdict.execution == Execution::NotRun;
        });
    CHECK(isSent);
    CHECK_FALSE(isNotRun);
}
