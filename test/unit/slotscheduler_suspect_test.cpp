#include <catch2/catch.hpp>

#include "schedulerharness.h"

using namespace mangoshift;
using namespace mangoshift::testing;

TEST_CASE("Calls in flight put a replica in doubt before they end")
{
    Bench bench(2, 2);
    bench.serve(400, {milliseconds(10), milliseconds(10)});
    bench.ask();
    const SendToTarget late = bench.sent.at(0);
    const std::size_t other = 1 - late.target;

    SECTION("one that owes an answer for as long as a hedge waits gets nothing new")
    {
        bench.advance(milliseconds(20));
        REQUIRE(bench.sent.size() == 1);
        CHECK(bench.sent[0].target == other);
        bench.ask();
        CHECK(bench.sent.at(0).target == other);
        bench.ask();
        CHECK(bench.sent.empty());
        CHECK(bench.scheduler.waitingRequests() == 1);
    }

    SECTION("one that has answered a later call is trusted: the late call is a straggler")
    {
        bench.ask();
        bench.ask();
        REQUIRE(bench.sent.at(0).target == late.target);
        const CallId later = bench.sent[0].call;
        bench.now += milliseconds(10);
        bench.end(later, Answered);
        bench.now += milliseconds(15);
        bench.ask();
        CHECK(bench.sent.at(0).target == late.target);
    }

    SECTION("one whose late call is given up is ejected, and its probe decides")
    {
        bench.advance(milliseconds(20));
        const CallId hedge = bench.sent.at(0).call;
        bench.now += milliseconds(10);
        bench.end(hedge, Answered);
        REQUIRE(bench.cancelled == std::vector<CallId>{late.call});
        bench.end(late.call, GivenUp);
        REQUIRE(bench.status(late.target).condition == TargetCondition::Slow);
        bench.now += milliseconds(25);
        bench.ask();
        REQUIRE(bench.sent.size() == 2);
        CHECK(bench.sent[1].target == late.target);
        const CallId ordinary = bench.sent[0].call;
        const CallId probe = bench.sent[1].call;

        SECTION("a fast answer brings it back, with all its slots")
        {
            bench.now += milliseconds(10);
            bench.end(probe, Answered);
            CHECK(bench.status(late.target).condition == TargetCondition::Active);
            CHECK(bench.status(late.target).slotLimit == 2);
        }

        SECTION("a slow one does not")
        {
            bench.now += milliseconds(40);
            bench.end(probe, Answered);
            CHECK(bench.status(late.target).condition == TargetCondition::Slow);
        }

        SECTION("it takes requests and hedges when the other is in doubt in its turn")
        {
            bench.now += milliseconds(10);
            bench.end(ordinary, Answered);
            bench.now += milliseconds(30);
            bench.end(probe, Answered);
            bench.ask();
            CHECK(bench.sent.at(0).target == other);
            bench.ask();
            const ShardRequestId waiting = bench.ask();
            REQUIRE(bench.sent.empty());
            bench.advance(milliseconds(25));
            REQUIRE(bench.sent.size() == 2);
            CHECK(bench.sent[0].target == late.target);
            CHECK(bench.sent[0].request.id == waiting);
            CHECK(bench.sent[1].target == late.target);
            CHECK(bench.sent[1].request.id < waiting);
        }
    }
}

TEST_CASE("Replicas that are late alike stay in use")
{
    Bench bench(2, 2);
    bench.serve(400, {milliseconds(10), milliseconds(10)});
    for (int round = 0; round < 5; ++round) {
        bench.ask();
        std::vector<CallId> calls{bench.sent.at(0).call};
        bench.advance(milliseconds(20));
        for (const SendToTarget &each : bench.sent)
            calls.push_back(each.call);
        bench.advance(milliseconds(80));
        CHECK(bench.replies.size() == 1);
        for (const CallId call : calls)
            bench.end(call, GivenUp);
        CHECK(bench.status(0).condition == TargetCondition::Active);
        CHECK(bench.status(1).condition == TargetCondition::Active);
    }
}

TEST_CASE("A hedge of a call to a replica in doubt goes before requests that came later")
{
    Bench bench(2, 1);
    bench.serve(400, {milliseconds(10), milliseconds(10)});
    const ShardRequestId first = bench.ask();
    const std::size_t slow = bench.sent.at(0).target;
    const CallId firstCall = bench.sent[0].call;
    bench.advance(milliseconds(9));
    bench.ask();
    const SendToTarget second = bench.sent.at(0);
    bench.ask();
    REQUIRE(bench.scheduler.waitingRequests() == 1);
    bench.advance(milliseconds(7));
    REQUIRE(bench.scheduler.waitingRequests() == 2);

    SECTION("to the slot that comes free next")
    {
        bench.end(second.call, Answered);
        REQUIRE(bench.sent.size() == 1);
        CHECK(bench.sent[0].target != slow);
        CHECK(bench.sent[0].request.id == first);
        CHECK(bench.scheduler.counters().hedges == 1);
    }

    SECTION("but where the call is lost meanwhile, it waits on as a retry, out of the budget")
    {
        bench.end(firstCall, LostAfterSending);
        CHECK(bench.replies.empty());
        CHECK(bench.scheduler.waitingRequests() + bench.sent.size() == 2);
        bench.end(second.call, Answered);
        CHECK(bench.scheduler.counters().hedges == 0);
        bench.advance(milliseconds(1));
        CHECK(bench.scheduler.callsInFlight() == 2);
        CHECK(bench.scheduler.counters().retries == 1);
    }
}

TEST_CASE("A home whose process was paused sends nothing until it is resumed")
{
    Bench bench(1, 1);
    const ShardRequestId sentBefore = bench.ask();
    const CallId inFlight = bench.sent.at(0).call;
    const ShardRequestId waiting = bench.ask();
    bench.take(bench.scheduler.suspend(bench.now));

    SECTION("what waited for a slot is refused as not run, what was sent goes on")
    {
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].request == waiting);
        CHECK(bench.replies[0].outcome.verdict.execution == Execution::NotRun);
        CHECK(bench.replies[0].outcome.verdict.reason == Reason::NotReady);
        bench.end(inFlight, Answered);
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].request == sentBefore);
        CHECK(bench.replies[0].outcome.verdict.isOk());
    }

    SECTION("what comes is refused as not run")
    {
        bench.ask();
        CHECK(bench.sent.empty());
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].outcome.verdict.reason == Reason::NotReady);
    }
}

TEST_CASE("A call that fails while its home is suspended is tried again after it")
{
    Bench bench(2, 1);
    bench.ask();
    const SendToTarget first = bench.sent.at(0);
    bench.take(bench.scheduler.suspend(bench.now));
    bench.end(first.call, Unreachable);
    CHECK(bench.sent.empty());
    bench.take(bench.scheduler.resume(bench.now));
    REQUIRE(bench.sent.size() == 1);
    CHECK(bench.sent[0].target == 1 - first.target);
}
