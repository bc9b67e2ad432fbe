#include <catch2/catch.hpp>

#include "schedulerharness.h"

using namespace mangoshift;
using namespace mangoshift::testing;

TEST_CASE("Unanswered calls make a replica suspect before they end")
{
    SchedulerHarness harness(2, 2);
    harness.serve(400, {milliseconds(10), milliseconds(10)});
    harness.submit();
    const SendToTarget late = harness.sent.at(0);
    const std::size_t other = 1 - late.target;

    SECTION("a replica with a call unanswered for the hedge delay gets no new requests")
    {
        harness.advance(milliseconds(20));
        REQUIRE(harness.sent.size() == 1);
        CHECK(harness.sent[0].target == other);
        harness.submit();
        CHECK(harness.sent.at(0).target == other);
        harness.submit();
        CHECK(harness.sent.empty());
        CHECK(harness.scheduler.waitingRequests() == 1);
    }

    SECTION("a replica that answered a later call stays trusted: the late call is a straggler")
    {
        harness.submit();
        harness.submit();
        REQUIRE(harness.sent.at(0).target == late.target);
        const CallId later = harness.sent[0].call;
        harness.now += milliseconds(10);
        harness.endCall(later, Answered);
        harness.now += milliseconds(15);
        harness.submit();
        CHECK(harness.sent.at(0).target == late.target);
    }

    SECTION("a replica whose late call is abandoned is ejected until a probe succeeds")
    {
        harness.advance(milliseconds(20));
        const CallId hedge = harness.sent.at(0).call;
        harness.now += milliseconds(10);
        harness.endCall(hedge, Answered);
        REQUIRE(harness.cancelled == std::vector<CallId>{late.call});
        harness.endCall(late.call, Abandoned);
        REQUIRE(harness.status(late.target).condition == TargetCondition::Slow);
        harness.now += milliseconds(25);
        harness.submit();
        REQUIRE(harness.sent.size() == 2);
        CHECK(harness.sent[1].target == late.target);
        const CallId ordinary = harness.sent[0].call;
        const CallId probe = harness.sent[1].call;

        SECTION("a fast response brings it back with all its slots")
        {
            harness.now += milliseconds(10);
            harness.endCall(probe, Answered);
            CHECK(harness.status(late.target).condition == TargetCondition::Active);
            CHECK(harness.status(late.target).slotLimit == 2);
        }

        SECTION("a slow response does not bring it back")
        {
            harness.now += milliseconds(40);
            harness.endCall(probe, Answered);
            CHECK(harness.status(late.target).condition == TargetCondition::Slow);
        }

        SECTION("it gets requests and hedges when the other replica becomes suspect too")
        {
            harness.now += milliseconds(10);
            harness.endCall(ordinary, Answered);
            harness.now += milliseconds(30);
            harness.endCall(probe, Answered);
            harness.submit();
            CHECK(harness.sent.at(0).target == other);
            harness.submit();
            const ShardRequestId waiting = harness.submit();
            REQUIRE(harness.sent.empty());
            harness.advance(milliseconds(25));
            REQUIRE(harness.sent.size() == 2);
            CHECK(harness.sent[0].target == late.target);
            CHECK(harness.sent[0].request.id == waiting);
            CHECK(harness.sent[1].target == late.target);
            CHECK(harness.sent[1].request.id < waiting);
        }
    }
}

TEST_CASE("Replicas that are equally late stay in use")
{
    SchedulerHarness harness(2, 2);
    harness.serve(400, {milliseconds(10), milliseconds(10)});
    for (int round = 0; round < 5; ++round) {
        harness.submit();
        std::vector<CallId> calls{harness.sent.at(0).call};
        harness.advance(milliseconds(20));
        for (const SendToTarget &each : harness.sent)
            calls.push_back(each.call);
        harness.advance(milliseconds(80));
        CHECK(harness.replies.size() == 1);
        for (const CallId call : calls)
            harness.endCall(call, Abandoned);
        CHECK(harness.status(0).condition == TargetCondition::Active);
        CHECK(harness.status(1).condition == TargetCondition::Active);
    }
}

TEST_CASE("A hedge of a call to a suspect replica is served before requests that arrived later")
{
    SchedulerHarness harness(2, 1);
    harness.serve(400, {milliseconds(10), milliseconds(10)});
    const ShardRequestId first = harness.submit();
    const std::size_t slow = harness.sent.at(0).target;
    const CallId firstCall = harness.sent[0].call;
    harness.advance(milliseconds(9));
    harness.submit();
    const SendToTarget second = harness.sent.at(0);
    harness.submit();
    REQUIRE(harness.scheduler.waitingRequests() == 1);
    harness.advance(milliseconds(7));
    REQUIRE(harness.scheduler.waitingRequests() == 2);

    SECTION("it takes the next free slot")
    {
        harness.endCall(second.call, Answered);
        REQUIRE(harness.sent.size() == 1);
        CHECK(harness.sent[0].target != slow);
        CHECK(harness.sent[0].request.id == first);
        CHECK(harness.scheduler.counters().hedges == 1);
    }

    SECTION("if the call is lost meanwhile, it keeps waiting as a retry that the budget pays for")
    {
        harness.endCall(firstCall, LostAfterSending);
        CHECK(harness.replies.empty());
        CHECK(harness.scheduler.waitingRequests() + harness.sent.size() == 2);
        harness.endCall(second.call, Answered);
        CHECK(harness.scheduler.counters().hedges == 0);
        harness.advance(milliseconds(1));
        CHECK(harness.scheduler.callsInFlight() == 2);
        CHECK(harness.scheduler.counters().retries == 1);
    }
}

TEST_CASE("A suspended home sends nothing until it is resumed")
{
    SchedulerHarness harness(1, 1);
    const ShardRequestId sentBefore = harness.submit();
    const CallId inFlight = harness.sent.at(0).call;
    const ShardRequestId waiting = harness.submit();
    harness.record(harness.scheduler.suspend(harness.now));

    SECTION("waiting requests are refused as not run, calls in flight continue")
    {
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].request == waiting);
        CHECK(harness.replies[0].outcome.verdict.execution == Execution::NotRun);
        CHECK(harness.replies[0].outcome.verdict.reason == Reason::NotReady);
        harness.endCall(inFlight, Answered);
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].request == sentBefore);
        CHECK(harness.replies[0].outcome.verdict.isOk());
    }

    SECTION("new requests are refused as not run")
    {
        harness.submit();
        CHECK(harness.sent.empty());
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.verdict.reason == Reason::NotReady);
    }
}

TEST_CASE("A call that fails while its home is suspended is retried after the home is resumed")
{
    SchedulerHarness harness(2, 1);
    harness.submit();
    const SendToTarget first = harness.sent.at(0);
    harness.record(harness.scheduler.suspend(harness.now));
    harness.endCall(first.call, Unreachable);
    CHECK(harness.sent.empty());
    harness.record(harness.scheduler.resume(harness.now));
    REQUIRE(harness.sent.size() == 1);
    CHECK(harness.sent[0].target == 1 - first.target);
}
