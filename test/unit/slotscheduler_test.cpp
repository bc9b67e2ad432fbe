#include <catch2/catch.hpp>

#include "schedulerharness.h"

using namespace mangoshift;
using namespace mangoshift::testing;

TEST_CASE("Requests are bound to a replica only when a slot is free")
{
    Bench bench(2, 1);

    SECTION("each replica gets one, the third request waits")
    {
        bench.ask();
        const auto first = bench.sent.at(0);
        bench.ask();
        CHECK(bench.sent.at(0).target != first.target);
        bench.ask();
        CHECK(bench.sent.empty());
        CHECK(bench.scheduler.waitingRequests() == 1);

        SECTION("and goes to the replica that is free first")
        {
            bench.end(first.call, Answered);
            CHECK(bench.sent.at(0).target == first.target);
        }
    }

    SECTION("a cold target gets one request at first, and more as it answers")
    {
        Bench cold(1, 4);
        cold.ask();
        const CallId first = cold.sent.at(0).call;
        cold.ask();
        CHECK(cold.sent.empty());
        cold.end(first, Answered);
        cold.ask();
        CHECK(cold.status(0).slotLimit == 2);
        CHECK(cold.status(0).slotsInUse == 2);
    }

    SECTION("with sharers this VM uses its part of the slots, at least one")
    {
        Bench shared(1, 4);
        shared.take(shared.scheduler.setSharingVms(2, shared.now));
        shared.ask();
        CHECK(shared.status(0).slots == 2);
        shared.take(shared.scheduler.setSharingVms(7, shared.now));
        CHECK(shared.status(0).slots == 1);
    }
}

TEST_CASE("Replicas of another region are left to its homes")
{
    Bench bench(2);
    bench.take(bench.scheduler.setForeignDomains({"d"}, bench.now));

    SECTION("but for a shard that has no others")
    {
        bench.ask();
        CHECK(bench.sent.size() == 1);
    }

    SECTION("so that only those of this region are used")
    {
        Document document = documentOf(2, 2)->document();
        document.targets[0].failureDomain = "here";
        bench.take(
            bench.scheduler.applyDocument(std::make_shared<IndexedDocument>(document), bench.now));
        for (int i = 0; i < 10; ++i) {
            bench.ask();
            REQUIRE(bench.sent.size() == 1);
            CHECK(bench.sent[0].target == 0);
            bench.end(bench.sent[0].call, Answered);
        }
    }
}

TEST_CASE("Waiting requests are served by priority and age")
{
    Bench bench(1, 1);
    bench.serve(1, {milliseconds(10)});
    bench.ask();
    const CallId running = bench.sent.at(0).call;

    SECTION("a lower number goes first, within it the oldest")
    {
        bench.ask(2);
        const ShardRequestId urgent = bench.ask(0);
        bench.ask(0);
        bench.end(running, Answered);
        CHECK(bench.sent.at(0).request.id == urgent);
    }

    SECTION("when not all can make their deadline, the least important is refused, unrun")
    {
        std::optional<ReplyShard> refused;
        for (int i = 0; i < 12; ++i) {
            bench.ask(i < 6 ? 0 : 1);
            if (!bench.replies.empty() && !refused)
                refused = bench.replies.at(0);
        }
        REQUIRE(refused);
        CHECK(refused->outcome.verdict.execution == Execution::NotRun);
        CHECK(refused->outcome.verdict.reason == Reason::Overloaded);
        CHECK(refused->outcome.verdict.retryAfter > milliseconds(0));

        SECTION("and the newest of the most important goes next")
        {
            bench.end(running, Answered);
            CHECK(bench.sent.at(0).request.id == 8);
        }
    }

    SECTION("one that cannot be answered in the typical time is refused at once")
    {
        bench.ask(0, true, milliseconds(9));
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].outcome.verdict
              == Verdict{Execution::NotRun, Reason::DeadlineExceeded});
    }
}

TEST_CASE("A shard that was slower than the deadline is tried again, one request at a time")
{
    Bench bench(1, 2);
    bench.serve(20, {milliseconds(150)});
    bench.ask();
    REQUIRE(bench.sent.size() == 1);
    const CallId call = bench.sent[0].call;
    bench.ask();
    CHECK(bench.replies.at(0).outcome.verdict.reason == Reason::DeadlineExceeded);
    bench.now += milliseconds(5);
    bench.end(call, Answered);
    bench.serve(20, {milliseconds(5)});
    bench.ask();
    bench.ask();
    CHECK(bench.sent.size() == 1);
}

TEST_CASE("A slow answer is hedged within the budget")
{
    Bench bench(2);
    bench.serve(100, {milliseconds(5), milliseconds(5)});
    REQUIRE(bench.scheduler.counters().hedges == 0);

    SECTION("to the other replica, and the loser is cancelled")
    {
        bench.ask();
        const auto first = bench.sent.at(0);
        bench.advance(milliseconds(30));
        REQUIRE(bench.sent.size() == 1);
        CHECK(bench.sent[0].target != first.target);
        bench.now += milliseconds(5);
        bench.end(bench.sent[0].call, Answered);
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].outcome.extraRequests == 1);
        CHECK(bench.cancelled == std::vector<CallId>{first.call});
    }

    SECTION("never for a request that is not idempotent")
    {
        bench.ask(0, false);
        bench.advance(milliseconds(90));
        CHECK(bench.sent.empty());
    }

    SECTION("not beyond the budget, also when everything is slow")
    {
        for (int i = 0; i < 300; ++i) {
            bench.ask();
            std::vector<CallId> calls{bench.sent.at(0).call};
            bench.advance(milliseconds(40));
            for (const SendToTarget &each : bench.sent)
                calls.push_back(each.call);
            for (const CallId call : calls)
                bench.end(call, Answered);
            const SchedulerCounters &counters = bench.scheduler.counters();
            REQUIRE(counters.extra() * 25 <= counters.firstCopies);
        }
        CHECK(bench.scheduler.counters().extra() > 0);
    }
}

TEST_CASE("A request that was refused or not sent is tried on another replica")
{
    Bench bench(2);

    SECTION("a call that never left is replaced, at no cost to the budget")
    {
        bench.ask(0, false);
        const auto first = bench.sent.at(0);
        bench.end(first.call, Unreachable);
        REQUIRE(bench.sent.size() == 1);
        CHECK(bench.sent[0].target != first.target);
        CHECK(bench.scheduler.counters().extra() == 0);
        CHECK(bench.status(first.target).condition == TargetCondition::Failing);
        REQUIRE(bench.changes.size() == 1);
        CHECK(bench.changes[0].condition == TargetCondition::Failing);
    }

    SECTION("a refusal is retried out of the budget")
    {
        bench.serve(50, {milliseconds(5), milliseconds(5)});
        bench.ask();
        const auto first = bench.sent.at(0);
        bench.end(first.call, Shed);
        REQUIRE(bench.sent.size() == 1);
        CHECK(bench.sent[0].target != first.target);
        CHECK(bench.scheduler.counters().retries == 1);
    }

    SECTION("without budget the refusal is the answer")
    {
        bench.ask();
        bench.end(bench.sent.at(0).call, Shed);
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].outcome.verdict == Verdict{Execution::NotRun, Reason::Refused});
    }

    SECTION("one that may have run and is not idempotent is never sent again")
    {
        bench.serve(50, {milliseconds(5), milliseconds(5)});
        bench.ask(0, false);
        bench.end(bench.sent.at(0).call, LostAfterSending);
        CHECK(bench.sent.empty());
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].outcome.verdict == Verdict{Execution::MayHaveRun, Reason::Lost});
    }
}

TEST_CASE("A target that sheds gets nothing for a short while")
{
    Bench bench(1, 1);
    bench.ask();
    bench.end(bench.sent.at(0).call, Shed);
    bench.ask();
    CHECK(bench.sent.empty());
    bench.advance(bench.timer - bench.now);
    CHECK(bench.sent.size() == 1);
}

TEST_CASE("A draining target gets nothing new")
{
    Bench bench(2);
    bench.serve(150, {milliseconds(5), milliseconds(5)});
    bench.ask();
    const std::size_t draining = bench.sent.at(0).target;
    bench.end(bench.sent.at(0).call, Leaving);
    bench.end(bench.sent.at(0).call, Answered);

    SECTION("all requests of the next seconds go to the other")
    {
        const std::uint64_t before = bench.status(draining).callsSent;
        bench.serve(500, {milliseconds(5), milliseconds(5)});
        CHECK(bench.status(draining).callsSent == before);
    }

    SECTION("where all are draining, requests are refused at once")
    {
        bench.ask();
        bench.end(bench.sent.at(0).call, Leaving);
        bench.ask();
        REQUIRE(bench.replies.size() == 1);
        CHECK(bench.replies[0].outcome.verdict.reason == Reason::Draining);
        CHECK(bench.replies[0].outcome.verdict.retryAfter > milliseconds(1000));
    }

    SECTION("it gets nothing however long it goes on, until it says that it serves")
    {
        const std::uint64_t before = bench.status(draining).callsSent;
        bench.now += std::chrono::hours(1);
        bench.serve(100, {milliseconds(5), milliseconds(5)});
        CHECK(bench.status(draining).callsSent == before);
        CHECK(bench.scheduler.counters().probes == 0);
        bench.scheduler.onServing(bench.status(draining).name, bench.now);
        CHECK(bench.status(draining).condition == TargetCondition::Active);
        bench.serve(100, {milliseconds(5), milliseconds(5)});
        CHECK(bench.status(draining).callsSent > before);
    }
}

TEST_CASE("A replica far slower than its peers is ejected")
{
    Bench bench(2);
    bench.serve(50, {milliseconds(5), milliseconds(5)});

    SECTION("and comes back when a probe finds it fast")
    {
        bench.serve(2000, {milliseconds(80), milliseconds(5)});
        CHECK(bench.status(0).condition == TargetCondition::Slow);
        bench.serve(3000, {milliseconds(5), milliseconds(5)});
        CHECK(bench.status(0).condition == TargetCondition::Active);
    }

    SECTION("but one straggler leaves it in use as before")
    {
        bench.serve(1, {milliseconds(500), milliseconds(500)});
        const std::uint64_t before = bench.status(0).callsSent;
        bench.serve(100, {milliseconds(5), milliseconds(5)});
        CHECK(bench.status(0).callsSent > before + 40);
        CHECK(bench.status(1).callsSent > 40);
    }

    SECTION("but never when all are slow alike")
    {
        bench.serve(200, {milliseconds(80), milliseconds(80)});
        CHECK(bench.status(0).condition == TargetCondition::Active);
        CHECK(bench.status(1).condition == TargetCondition::Active);
    }

    SECTION("and at least half of the replicas stay in use")
    {
        Bench four(4);
        four.serve(50, std::vector(4, milliseconds(5)));
        four.serve(2000, {milliseconds(80), milliseconds(80), milliseconds(80), milliseconds(5)});
        int active = 0;
        for (std::size_t i = 0; i < 4; ++i)
            active += four.status(i).condition == TargetCondition::Active ? 1 : 0;
        CHECK(active >= 2);
    }
}
