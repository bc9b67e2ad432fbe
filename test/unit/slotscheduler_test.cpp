#include <catch2/catch.hpp>

#include "schedulerharness.h"

using namespace mangoshift;
using namespace mangoshift::testing;

TEST_CASE("Requests are bound to a replica only when a slot is free")
{
    SchedulerHarness harness(2, 1);

    SECTION("each replica gets one request, the third request waits")
    {
        harness.submit();
        const auto first = harness.sent.at(0);
        harness.submit();
        CHECK(harness.sent.at(0).target != first.target);
        harness.submit();
        CHECK(harness.sent.empty());
        CHECK(harness.scheduler.waitingRequests() == 1);

        SECTION("the waiting request goes to the first replica with a free slot")
        {
            harness.endCall(first.call, Answered);
            CHECK(harness.sent.at(0).target == first.target);
        }
    }

    SECTION("a cold target gets one request at first, and more as it responds")
    {
        SchedulerHarness cold(1, 4);
        cold.submit();
        const CallId first = cold.sent.at(0).call;
        cold.submit();
        CHECK(cold.sent.empty());
        cold.endCall(first, Answered);
        cold.submit();
        CHECK(cold.status(0).slotLimit == 2);
        CHECK(cold.status(0).slotsInUse == 2);
    }

    SECTION("if several VMs share a target, this VM uses its share of the slots, at least one")
    {
        SchedulerHarness shared(1, 4);
        shared.record(shared.scheduler.setSharingVms(2, shared.now));
        shared.submit();
        CHECK(shared.status(0).slots == 2);
        shared.record(shared.scheduler.setSharingVms(7, shared.now));
        CHECK(shared.status(0).slots == 1);
    }
}

TEST_CASE("Replicas in a failure domain with its own homes are left to those homes")
{
    SchedulerHarness harness(2);
    harness.record(harness.scheduler.setForeignDomains({"d"}, harness.now));

    SECTION("unless the shard has no other replicas")
    {
        harness.submit();
        CHECK(harness.sent.size() == 1);
    }

    SECTION("if the shard has replicas in other domains, only those are used")
    {
        Document document = documentOf(2, 2)->document();
        document.targets[0].failureDomain = "here";
        harness.record(harness.scheduler.applyDocument(std::make_shared<IndexedDocument>(document),
                                                       harness.now));
        for (int i = 0; i < 10; ++i) {
            harness.submit();
            REQUIRE(harness.sent.size() == 1);
            CHECK(harness.sent[0].target == 0);
            harness.endCall(harness.sent[0].call, Answered);
        }
    }
}

TEST_CASE("Waiting requests are served by priority and age")
{
    SchedulerHarness harness(1, 1);
    harness.serve(1, {milliseconds(10)});
    harness.submit();
    const CallId running = harness.sent.at(0).call;

    SECTION("the lowest priority number is served first, and within it the oldest request")
    {
        harness.submit(2);
        const ShardRequestId urgent = harness.submit(0);
        harness.submit(0);
        harness.endCall(running, Answered);
        CHECK(harness.sent.at(0).request.id == urgent);
    }

    SECTION("if not all can meet their deadlines, the lowest priority is refused as not run")
    {
        std::optional<ReplyShard> refused;
        for (int i = 0; i < 12; ++i) {
            harness.submit(i < 6 ? 0 : 1);
            if (!harness.replies.empty() && !refused)
                refused = harness.replies.at(0);
        }
        REQUIRE(refused);
        CHECK(refused->outcome.verdict.execution == Execution::NotRun);
        CHECK(refused->outcome.verdict.reason == Reason::Overloaded);
        CHECK(refused->outcome.verdict.retryAfter > milliseconds(0));

        SECTION("and the newest request of the highest priority is served next")
        {
            harness.endCall(running, Answered);
            CHECK(harness.sent.at(0).request.id == 8);
        }
    }

    SECTION("a request whose deadline is shorter than the typical latency is refused at once")
    {
        harness.submit(0, true, milliseconds(9));
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.verdict
              == Verdict{Execution::NotRun, Reason::DeadlineExceeded});
    }
}

TEST_CASE("A shard that was slower than the deadline gets one request at a time until it is faster")
{
    SchedulerHarness harness(1, 2);
    harness.serve(20, {milliseconds(150)});
    harness.submit();
    REQUIRE(harness.sent.size() == 1);
    const CallId call = harness.sent[0].call;
    harness.submit();
    CHECK(harness.replies.at(0).outcome.verdict.reason == Reason::DeadlineExceeded);
    harness.now += milliseconds(5);
    harness.endCall(call, Answered);
    harness.serve(20, {milliseconds(5)});
    harness.submit();
    harness.submit();
    CHECK(harness.sent.size() == 1);
}

TEST_CASE("A slow call is hedged within the budget")
{
    SchedulerHarness harness(2);
    harness.serve(100, {milliseconds(5), milliseconds(5)});
    REQUIRE(harness.scheduler.counters().hedges == 0);

    SECTION("the hedge goes to the other replica, and the slower copy is cancelled")
    {
        harness.submit();
        const auto first = harness.sent.at(0);
        harness.advance(milliseconds(30));
        REQUIRE(harness.sent.size() == 1);
        CHECK(harness.sent[0].target != first.target);
        harness.now += milliseconds(5);
        harness.endCall(harness.sent[0].call, Answered);
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.extraRequests == 1);
        CHECK(harness.cancelled == std::vector<CallId>{first.call});
    }

    SECTION("a request that is not idempotent is never hedged")
    {
        harness.submit(0, false);
        harness.advance(milliseconds(90));
        CHECK(harness.sent.empty());
    }

    SECTION("the budget is never exceeded, even if every call is slow")
    {
        for (int i = 0; i < 300; ++i) {
            harness.submit();
            std::vector<CallId> calls{harness.sent.at(0).call};
            harness.advance(milliseconds(40));
            for (const SendToTarget &each : harness.sent)
                calls.push_back(each.call);
            for (const CallId call : calls)
                harness.endCall(call, Answered);
            const SchedulerCounters &counters = harness.scheduler.counters();
            REQUIRE(counters.extra() * 25 <= counters.firstCopies);
        }
        CHECK(harness.scheduler.counters().extra() > 0);
    }
}

TEST_CASE("A request that was refused or not sent is retried on another replica")
{
    SchedulerHarness harness(2);

    SECTION("a call that was never sent is replaced at no cost to the budget")
    {
        harness.submit(0, false);
        const auto first = harness.sent.at(0);
        harness.endCall(first.call, Unreachable);
        REQUIRE(harness.sent.size() == 1);
        CHECK(harness.sent[0].target != first.target);
        CHECK(harness.scheduler.counters().extra() == 0);
        CHECK(harness.status(first.target).condition == TargetCondition::Failing);
        REQUIRE(harness.changes.size() == 1);
        CHECK(harness.changes[0].condition == TargetCondition::Failing);
    }

    SECTION("a refused call is retried, and the budget pays for it")
    {
        harness.serve(50, {milliseconds(5), milliseconds(5)});
        harness.submit();
        const auto first = harness.sent.at(0);
        harness.endCall(first.call, Shed);
        REQUIRE(harness.sent.size() == 1);
        CHECK(harness.sent[0].target != first.target);
        CHECK(harness.scheduler.counters().retries == 1);
    }

    SECTION("without budget the refusal is the reply")
    {
        harness.submit();
        harness.endCall(harness.sent.at(0).call, Shed);
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.verdict == Verdict{Execution::NotRun, Reason::Refused});
    }

    SECTION("a request that is not idempotent is never retried once it may have run")
    {
        harness.serve(50, {milliseconds(5), milliseconds(5)});
        harness.submit(0, false);
        harness.endCall(harness.sent.at(0).call, LostAfterSending);
        CHECK(harness.sent.empty());
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.verdict == Verdict{Execution::MayHaveRun, Reason::Lost});
    }
}

TEST_CASE("A target that sheds a request gets no requests for a short time")
{
    SchedulerHarness harness(1, 1);
    harness.submit();
    harness.endCall(harness.sent.at(0).call, Shed);
    harness.submit();
    CHECK(harness.sent.empty());
    harness.advance(harness.timer - harness.now);
    CHECK(harness.sent.size() == 1);
}

TEST_CASE("A draining target gets no new requests")
{
    SchedulerHarness harness(2);
    harness.serve(150, {milliseconds(5), milliseconds(5)});
    harness.submit();
    const std::size_t draining = harness.sent.at(0).target;
    harness.endCall(harness.sent.at(0).call, DrainingRefusal);
    harness.endCall(harness.sent.at(0).call, Answered);

    SECTION("all following requests go to the other target")
    {
        const std::uint64_t before = harness.status(draining).callsSent;
        harness.serve(500, {milliseconds(5), milliseconds(5)});
        CHECK(harness.status(draining).callsSent == before);
    }

    SECTION("if all targets are draining, requests are refused at once")
    {
        harness.submit();
        harness.endCall(harness.sent.at(0).call, DrainingRefusal);
        harness.submit();
        REQUIRE(harness.replies.size() == 1);
        CHECK(harness.replies[0].outcome.verdict.reason == Reason::Draining);
        CHECK(harness.replies[0].outcome.verdict.retryAfter > milliseconds(1000));
    }

    SECTION("it gets no requests, however long it drains, until it reports that it serves again")
    {
        const std::uint64_t before = harness.status(draining).callsSent;
        harness.now += std::chrono::hours(1);
        harness.serve(100, {milliseconds(5), milliseconds(5)});
        CHECK(harness.status(draining).callsSent == before);
        CHECK(harness.scheduler.counters().probes == 0);
        harness.scheduler.onServing(harness.status(draining).name, harness.now);
        CHECK(harness.status(draining).condition == TargetCondition::Active);
        harness.serve(100, {milliseconds(5), milliseconds(5)});
        CHECK(harness.status(draining).callsSent > before);
    }
}

// Guards against requests to a target that leaves, which each of its last answers brought back.
TEST_CASE("A draining target stays out of use while it answers earlier requests")
{
    SchedulerHarness harness(2);
    harness.serve(150, {milliseconds(5), milliseconds(5)});
    // Two requests to each target are under way at the same time.
    std::vector<SendToTarget> sent;
    for (int i = 0; i < 4; ++i) {
        harness.submit();
        REQUIRE(harness.sent.size() == 1);
        sent.push_back(harness.sent.front());
    }
    const std::size_t draining = sent.front().target;
    std::vector<CallId> calls;
    for (const SendToTarget &each : sent)
        if (each.target == draining)
            calls.push_back(each.call);
    REQUIRE(calls.size() == 2);
    harness.endCall(calls[0], DrainingRefusal);
    harness.now += milliseconds(5);
    harness.endCall(calls[1], Answered);

    CHECK(harness.status(draining).condition == TargetCondition::Draining);
    for (const SendToTarget &each : sent)
        if (each.target != draining)
            harness.endCall(each.call, Answered);
    const std::uint64_t before = harness.status(draining).callsSent;
    harness.serve(500, {milliseconds(5), milliseconds(5)});
    CHECK(harness.status(draining).callsSent == before);
}

TEST_CASE("A call counts as sent from the moment at which it may have arrived at its target")
{
    SchedulerHarness harness(1);
    harness.hasFreeConnections = false;
    const ShardRequestId request = harness.submit();
    const CallId call = harness.sent.at(0).call;
    CHECK(harness.status(0).callsSent == 0);
    CHECK(harness.status(0).slotsInUse == 1);

    SECTION("and not if it is cancelled while it waits for a connection")
    {
        harness.record(harness.scheduler.onCancel(request, harness.now));
        REQUIRE(harness.cancelled == std::vector<CallId>{call});
        harness.endCall(call, Unreachable);
        CHECK(harness.status(0).callsSent == 0);
        CHECK(harness.status(0).slotsInUse == 0);
    }
    SECTION("once, whatever its outcome")
    {
        harness.scheduler.onCallSent(call);
        CHECK(harness.status(0).callsSent == 1);
        harness.endCall(call, DrainingRefusal);
        CHECK(harness.status(0).callsSent == 1);
    }
}

TEST_CASE("A target that refuses a cancelled call as draining gets no new requests")
{
    SchedulerHarness harness(1);
    const ShardRequestId request = harness.submit();
    const CallId call = harness.sent.at(0).call;
    harness.record(harness.scheduler.onCancel(request, harness.now));
    REQUIRE(harness.cancelled == std::vector<CallId>{call});
    harness.endCall(call, DrainingRefusal);
    CHECK(harness.status(0).condition == TargetCondition::Draining);
    harness.submit();
    CHECK(harness.sent.empty());
}

TEST_CASE("A replica far slower than its peers is ejected")
{
    SchedulerHarness harness(2);
    harness.serve(50, {milliseconds(5), milliseconds(5)});

    SECTION("and comes back when a probe finds that it is fast")
    {
        harness.serve(2000, {milliseconds(80), milliseconds(5)});
        CHECK(harness.status(0).condition == TargetCondition::Slow);
        harness.serve(3000, {milliseconds(5), milliseconds(5)});
        CHECK(harness.status(0).condition == TargetCondition::Active);
    }

    SECTION("but a single straggler does not eject it")
    {
        harness.serve(1, {milliseconds(500), milliseconds(500)});
        const std::uint64_t before = harness.status(0).callsSent;
        harness.serve(100, {milliseconds(5), milliseconds(5)});
        CHECK(harness.status(0).callsSent > before + 40);
        CHECK(harness.status(1).callsSent > 40);
    }

    SECTION("but not if all replicas are equally slow")
    {
        harness.serve(200, {milliseconds(80), milliseconds(80)});
        CHECK(harness.status(0).condition == TargetCondition::Active);
        CHECK(harness.status(1).condition == TargetCondition::Active);
    }

    SECTION("and at least half of the replicas stay in use")
    {
        SchedulerHarness four(4);
        four.serve(50, std::vector(4, milliseconds(5)));
        four.serve(2000, {milliseconds(80), milliseconds(80), milliseconds(80), milliseconds(5)});
        int active = 0;
        for (std::size_t i = 0; i < 4; ++i)
            active += four.status(i).condition == TargetCondition::Active ? 1 : 0;
        CHECK(active >= 2);
    }
}
