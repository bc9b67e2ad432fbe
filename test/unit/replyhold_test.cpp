#include <catch2/catch.hpp>

#include "mangoshift/replyhold.h"

using namespace mangoshift;
using std::chrono::milliseconds;

TEST_CASE("A home holds back replies of a batch only if this delays no requester")
{
    const Clock::time_point now{milliseconds(1000)};
    const Clock::time_point far = now + milliseconds(100);
    const Verdict ok{Execution::Ran, Reason::Ok};
    SECTION("an early reply is held back")
    {
        CHECK(replyDueAt(ok, false, far, now) == now + MaxReplyHold);
    }
    SECTION("the last reply is sent at once, because it completes the batch")
    {
        CHECK(replyDueAt(ok, true, far, now) == now);
    }
    SECTION("a failure is sent at once, because the requester may retry elsewhere")
    {
        CHECK(replyDueAt({Execution::NotRun, Reason::Draining}, false, far, now) == now);
    }
    SECTION("no reply is held back close to the deadline")
    {
        const std::chrono::microseconds half = std::chrono::microseconds(MaxReplyHold) / 2;
        CHECK(replyDueAt(ok, false, now + ReplyHoldMargin + half, now) == now + half);
        CHECK(replyDueAt(ok, false, now + ReplyHoldMargin / 2, now) == now);
        CHECK(replyDueAt(ok, false, now - half, now) == now);
    }
}
