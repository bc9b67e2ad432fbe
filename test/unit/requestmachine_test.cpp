#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <optional>
#include <random>

#include "mangoshift/requestmachine.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start = Clock::time_point(1h);
const Verdict Refused{Execution::NotRun, Reason::Refused};
const Verdict Lost{Execution::MayHaveRun, Reason::Lost};

RequestTerms termsOf(std::size_t parts, std::size_t minParts, bool isIdempotent)
{
    RequestTerms terms;
    terms.parts = parts;
    terms.minParts = minParts;
    terms.maxAttempts = 2;
    terms.isIdempotent = isIdempotent;
    terms.hedgeDelay = 20ms;
    terms.partialAnswerFrom = Start + 140ms;
    terms.deadline = Start + 1000ms;
    return terms;
}

std::string textOf(const RequestActions &actions)
{
    std::string text;
    for (const RequestAction &action : actions) {
        if (const auto *send = std::get_if<SendPart>(&action)) {
            const char *cause = send->cause == SendCause::First ? "send"
                : send->cause == SendCause::Hedge               ? "hedge"
                                                                : "retry";
            text += std::string(cause) + std::to_string(send->part) + " ";
        } else if (std::holds_alternative<ReturnAnswer>(action)) {
            text += "answer ";
        } else {
            text += "fail:"
                + std::string(toString(std::get<ReturnFailure>(action).verdict.execution)) + " ";
        }
    }
    return text;
}

} // namespace

TEST_CASE("A forwarded request that is not idempotent")
{
    RequestMachine machine(termsOf(1, 1, false));
    REQUIRE(textOf(machine.start(Start)) == "send0 ");

    SECTION("is answered with its target's response")
    {
        CHECK(textOf(machine.onAnswered(0, Start + 5ms)) == "answer ");
        CHECK(machine.isFinished());
    }
    SECTION("is retried if it has certainly not run")
    {
        CHECK(textOf(machine.onFailed(0, Refused, Start + 5ms)) == "retry0 ");
        CHECK(textOf(machine.onFailed(0, Refused, Start + 6ms)) == "retry0 ");
        SECTION("but only a limited number of times")
        {
            CHECK(textOf(machine.onFailed(0, Refused, Start + 7ms)) == "fail:not_run ");
        }
    }
    SECTION("reports why its targets refused it if no other target is left")
    {
        machine.onFailed(0, Refused, Start + 5ms);
        const RequestActions actions =
            machine.onFailed(0, {Execution::NotRun, Reason::NoReplica}, Start + 6ms);
        REQUIRE(actions.size() == 1);
        CHECK(std::get<ReturnFailure>(actions.front()).verdict.reason == Reason::Refused);
    }
    SECTION("fails at once if it may have run")
    {
        CHECK(textOf(machine.onFailed(0, Lost, Start + 5ms)) == "fail:may_have_run ");
    }
    SECTION("is never hedged, and fails at its deadline")
    {
        CHECK(machine.nextEvent() == Start + 1000ms);
        CHECK(textOf(machine.onTimer(Start + 500ms)).empty());
        SECTION("as not run if it has only waited inside this VM")
        {
            const RequestActions actions = machine.onTimer(Start + 1000ms);
            CHECK(textOf(actions) == "fail:not_run ");
            CHECK(std::get<ReturnFailure>(actions.front()).verdict.reason
                  == Reason::DeadlineExceeded);
        }
        SECTION("as may have run if it was sent")
        {
            machine.onSent(0);
            CHECK(textOf(machine.onTimer(Start + 1000ms)) == "fail:may_have_run ");
        }
        SECTION("as not run if its target refused it and the next copy has only waited")
        {
            machine.onSent(0);
            REQUIRE(textOf(machine.onFailed(0, Refused, Start + 5ms)) == "retry0 ");
            CHECK(textOf(machine.onTimer(Start + 1000ms)) == "fail:not_run ");
        }
    }
    SECTION("is retried if its connection was never made")
    {
        CHECK(textOf(machine.onUndelivered(0, {Execution::NotRun, Reason::Lost}, Start + 5ms))
              == "retry0 ");
        CHECK(machine.failureNow(Reason::Draining).execution == Execution::NotRun);
        machine.onSent(0);
        CHECK(machine.failureNow(Reason::Draining).execution == Execution::MayHaveRun);
    }
}

TEST_CASE("An idempotent request that is forwarded")
{
    RequestMachine machine(termsOf(1, 1, true));
    machine.start(Start);

    SECTION("is hedged once when it is late")
    {
        CHECK(machine.nextEvent() == Start + 20ms);
        CHECK(textOf(machine.onTimer(Start + 20ms)) == "hedge0 ");
        CHECK(textOf(machine.onTimer(Start + 60ms)).empty());
        SECTION("and waits for the remaining copy if the other copy fails")
        {
            CHECK(textOf(machine.onFailed(0, Lost, Start + 70ms)).empty());
            CHECK(textOf(machine.onAnswered(0, Start + 80ms)) == "answer ");
        }
    }
    SECTION("keeps waiting if a hedge could not be sent")
    {
        machine.onTimer(Start + 20ms);
        CHECK(textOf(machine.onHedgeDropped(0, Start + 20ms)).empty());
        CHECK(textOf(machine.onAnswered(0, Start + 80ms)) == "answer ");
    }
    SECTION("fails at once if its first copy failed while a hedge waited that is not sent")
    {
        machine.onTimer(Start + 20ms);
        CHECK(textOf(machine.onFailed(0, Lost, Start + 30ms)).empty());
        CHECK(textOf(machine.onHedgeDropped(0, Start + 40ms)) == "fail:may_have_run ");
    }
    SECTION("is retried after a failure, up to its maximum number of attempts")
    {
        CHECK(textOf(machine.onFailed(0, Lost, Start + 5ms)) == "retry0 ");
        CHECK(textOf(machine.onFailed(0, Lost, Start + 6ms)) == "fail:may_have_run ");
    }
}

TEST_CASE("A fan-out over four shards that needs three")
{
    RequestMachine machine(termsOf(4, 3, true));
    REQUIRE(textOf(machine.start(Start)) == "send0 send1 send2 send3 ");
    const auto answer = [&machine](std::initializer_list<std::size_t> parts) {
        for (const std::size_t part : parts)
            machine.onAnswered(part, Start + 10ms);
    };

    SECTION("is answered when all shards have answered")
    {
        answer({0, 1, 2});
        CHECK(textOf(machine.onAnswered(3, Start + 11ms)) == "answer ");
    }
    SECTION("gets a partial answer once partial answers are allowed")
    {
        answer({0, 1, 2});
        CHECK(machine.nextEvent() == Start + 20ms);
        CHECK(textOf(machine.onTimer(Start + 20ms)) == "hedge3 ");
        CHECK(machine.nextEvent() == Start + 140ms);
        CHECK(textOf(machine.onTimer(Start + 140ms)) == "answer ");
    }
    SECTION("is answered with the third shard if partial answers are already allowed")
    {
        answer({0, 1});
        machine.onTimer(Start + 20ms);
        CHECK(textOf(machine.onTimer(Start + 140ms)).empty());
        CHECK(textOf(machine.onAnswered(3, Start + 300ms)) == "answer ");
    }
    SECTION("is answered without a failed shard when the other shards have answered")
    {
        answer({0, 1});
        machine.onFailed(2, {Execution::NotRun, Reason::NoReplica}, Start + 11ms);
        CHECK(textOf(machine.onAnswered(3, Start + 12ms)) == "answer ");
    }
    SECTION("fails as soon as two shards cannot answer, as may have run if copies are in flight")
    {
        const Verdict noReplica{Execution::NotRun, Reason::NoReplica};
        machine.onSent(0);
        CHECK(textOf(machine.onFailed(2, noReplica, Start + 11ms)).empty());
        CHECK(textOf(machine.onFailed(3, noReplica, Start + 12ms)) == "fail:may_have_run ");
    }
    SECTION("does not wait for a shard whose targets all fail once the other shards have answered")
    {
        CHECK(textOf(machine.onStalled(3, true, Start + 1ms)).empty());
        answer({0, 1});
        CHECK(textOf(machine.onAnswered(2, Start + 12ms)) == "answer ");
    }
    SECTION("is answered when the last shard that is missing stalls")
    {
        answer({0, 1, 2});
        CHECK(textOf(machine.onStalled(3, true, Start + 12ms)) == "answer ");
    }
    SECTION("waits for a shard that is sent to one of its targets after all")
    {
        machine.onStalled(3, true, Start + 1ms);
        machine.onStalled(3, false, Start + 5ms);
        answer({0, 1});
        CHECK(textOf(machine.onAnswered(2, Start + 12ms)).empty());
        CHECK(textOf(machine.onAnswered(3, Start + 14ms)) == "answer ");
    }
    SECTION("waits for a shard that has stalled while the others are too few for an answer")
    {
        machine.onStalled(2, true, Start + 1ms);
        machine.onStalled(3, true, Start + 1ms);
        machine.onAnswered(0, Start + 10ms);
        CHECK(textOf(machine.onAnswered(1, Start + 11ms)).empty());
        CHECK(textOf(machine.onAnswered(2, Start + 15ms)) == "answer ");
    }
    SECTION("ignores a second response from a shard")
    {
        machine.onTimer(Start + 20ms);
        machine.onAnswered(0, Start + 25ms);
        machine.onAnswered(0, Start + 26ms);
        CHECK(machine.answeredParts() == 1);
    }
}

TEST_CASE("A fan-out without a target for any shard fails as not run")
{
    RequestMachine machine(termsOf(2, 1, true));
    machine.start(Start);
    const Verdict noReplica{Execution::NotRun, Reason::NoReplica};
    CHECK(textOf(machine.onFailed(0, noReplica, Start)).empty());
    CHECK(textOf(machine.onFailed(1, noReplica, Start)) == "fail:not_run ");
}

TEST_CASE("A request keeps its guarantees under random events")
{
    const auto seed = GENERATE(range(1U, 2001U));
    std::mt19937 random(seed);
    const auto pick = [&random](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    const bool isIdempotent = pick(0, 1) == 1;
    const std::size_t parts = isIdempotent ? static_cast<std::size_t>(pick(1, 6)) : 1;
    RequestTerms terms = termsOf(parts, std::max<std::size_t>(1, parts - 1), isIdempotent);
    terms.maxAttempts = static_cast<std::uint32_t>(pick(1, 3));
    RequestMachine machine(terms);

    std::vector<int> inFlight(parts, 0);
    std::vector<int> mayHaveRunCounts(parts, 0);
    int finalActions = 0;
    bool hasClaimedNotRun = false;
    Clock::time_point now = Start;
    const std::function<void(RequestActions)> perform = [&](const RequestActions &actions) {
        for (const RequestAction &action : actions) {
            if (const auto *send = std::get_if<SendPart>(&action)) {
                if (send->cause == SendCause::Hedge && pick(0, 3) == 0) {
                    perform(machine.onHedgeDropped(send->part, now));
                    continue;
                }
                if (!isIdempotent)
                    REQUIRE(mayHaveRunCounts[send->part] == 0);
                machine.onSent(send->part);
                ++inFlight[send->part];
                ++mayHaveRunCounts[send->part];
                REQUIRE(mayHaveRunCounts[send->part] <= static_cast<int>(terms.maxAttempts));
                continue;
            }
            ++finalActions;
            if (const auto *failure = std::get_if<ReturnFailure>(&action))
                hasClaimedNotRun = failure->verdict.execution == Execution::NotRun;
        }
    };
    perform(machine.start(now));
    for (int i = 0; i < 60 && !machine.isFinished(); ++i) {
        now = std::min(now + std::chrono::milliseconds(pick(0, 60)), terms.deadline);
        const auto part = static_cast<std::size_t>(pick(0, static_cast<int>(parts) - 1));
        if (pick(0, 4) == 0) {
            perform(machine.onStalled(part, pick(0, 1) == 1, now));
            continue;
        }
        const int event = pick(0, 3);
        if (event == 3 || inFlight[part] == 0) {
            perform(machine.onTimer(now));
            continue;
        }
        --inFlight[part];
        if (event == 0) {
            perform(machine.onAnswered(part, now));
        } else if (event == 1) {
            --mayHaveRunCounts[part];
            perform(machine.onFailed(part, Refused, now));
        } else {
            perform(machine.onFailed(part, Lost, now));
        }
    }
    perform(machine.onTimer(terms.deadline));
    INFO("seed " << seed);
    CHECK(finalActions == 1);
    if (hasClaimedNotRun)
        for (const int count : mayHaveRunCounts)
            CHECK(count == 0);
}

TEST_CASE("A failed request has not run if and only if no target can have got it")
{
    const auto seed = GENERATE(range(1U, 2001U));
    std::mt19937 random(seed);
    const auto pick = [&random](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    const bool isIdempotent = pick(0, 1) == 1;
    const std::size_t parts = isIdempotent ? static_cast<std::size_t>(pick(1, 4)) : 1;
    RequestTerms terms =
        termsOf(parts, static_cast<std::size_t>(pick(1, static_cast<int>(parts))), isIdempotent);
    terms.maxAttempts = static_cast<std::uint32_t>(pick(1, 3));
    RequestMachine machine(terms);
    /// What a target may know of a copy. A target that refused a copy has not run it.
    enum class CopyState : std::uint8_t { Waiting, Sent, Refused, Over };
    struct Copy
    {
        std::size_t part;
        CopyState state = CopyState::Waiting;
        bool mayHaveRun = false;
    };
    std::vector<Copy> copies;
    std::optional<Verdict> failure;
    const auto perform = [&](const RequestActions &actions) {
        for (const RequestAction &action : actions)
            if (const auto *send = std::get_if<SendPart>(&action))
                copies.push_back({send->part});
            else if (const auto *failed = std::get_if<ReturnFailure>(&action))
                failure = failed->verdict;
    };
    const auto mayHaveRun = [&copies] {
        return std::any_of(copies.begin(), copies.end(),
                           [](const Copy &copy) { return copy.mayHaveRun; });
    };
    INFO("seed " << seed);
    Clock::time_point now = Start;
    perform(machine.start(now));
    for (int i = 0; i < 40 && !machine.isFinished(); ++i) {
        now = std::min(now + std::chrono::milliseconds(pick(0, 60)), terms.deadline);
        const auto at = static_cast<std::size_t>(pick(0, static_cast<int>(copies.size()) - 1));
        Copy copy = copies[at];
        switch (copy.state) {
        case CopyState::Waiting:
            if (pick(0, 2) != 0) {
                copies[at] = {copy.part, CopyState::Sent, true};
                machine.onSent(copy.part);
                break;
            }
            copies[at].state = CopyState::Over;
            if (pick(0, 1) == 0)
                perform(machine.onUndelivered(copy.part, {Execution::NotRun, Reason::Lost}, now));
            else
                perform(machine.onUnsent(copy.part, {Execution::NotRun, Reason::NoReplica}, now));
            break;
        case CopyState::Sent:
            if (const int end = pick(0, 5); end == 0) {
                copies[at].state = CopyState::Over;
                perform(machine.onAnswered(copy.part, now));
            } else if (end == 1) {
                copies[at].state = CopyState::Over;
                perform(machine.onFailed(copy.part, Lost, now));
            } else if (end == 2) {
                copies[at] = {copy.part, CopyState::Refused, false};
                perform(machine.onFailed(copy.part, Refused, now));
            }
            break;
        case CopyState::Refused:
        case CopyState::Over:
            break;
        }
        if (!machine.isFinished())
            CHECK((machine.failureNow(Reason::Draining).execution == Execution::NotRun)
                  == !mayHaveRun());
        perform(machine.onTimer(now));
    }
    perform(machine.onTimer(terms.deadline));
    if (failure)
        CHECK((failure->execution == Execution::NotRun) == !mayHaveRun());
}

TEST_CASE("A copy that could not be sent at all")
{
    RequestMachine machine(termsOf(2, 1, true));
    REQUIRE(textOf(machine.start(Start)) == "send0 send1 ");
    const Verdict denied{Execution::NotRun, Reason::BudgetSpent};

    SECTION("fails its part at once if the part's other copies have failed")
    {
        REQUIRE(textOf(machine.onFailed(0, Lost, Start + 5ms)) == "retry0 ");
        CHECK(textOf(machine.onUnsent(0, denied, Start + 5ms)).empty());
        SECTION("and the other part is enough for an answer")
        {
            CHECK(textOf(machine.onAnswered(1, Start + 9ms)) == "answer ");
        }
        SECTION("and the request fails once the other part has failed too")
        {
            REQUIRE(textOf(machine.onFailed(1, Lost, Start + 6ms)) == "retry1 ");
            const RequestActions actions = machine.onUnsent(1, denied, Start + 6ms);
            REQUIRE(textOf(actions) == "fail:may_have_run ");
            CHECK(std::get<ReturnFailure>(actions.front()).verdict.reason == Reason::BudgetSpent);
        }
    }
    SECTION("does not fail a part that has another copy in flight")
    {
        REQUIRE(textOf(machine.onTimer(Start + 20ms)) == "hedge0 hedge1 ");
        CHECK(textOf(machine.onUnsent(0, denied, Start + 20ms)).empty());
        CHECK(textOf(machine.onAnswered(0, Start + 25ms)).empty());
        CHECK(textOf(machine.onAnswered(1, Start + 26ms)) == "answer ");
    }
}

TEST_CASE("A part is late only after a target was chosen for it")
{
    RequestMachine machine(termsOf(2, 1, true));
    REQUIRE(textOf(machine.start(Start)) == "send0 send1 ");
    machine.onPlaced(0, Start + 1ms);

    SECTION("so a part that was given to its target later is hedged later")
    {
        machine.onPlaced(1, Start + 15ms);
        CHECK(textOf(machine.onTimer(Start + 23ms)) == "hedge0 ");
        CHECK(textOf(machine.onTimer(Start + 34ms)).empty());
        CHECK(textOf(machine.onTimer(Start + 35ms)) == "hedge1 ");
    }
    SECTION("and a part that still waits when its hedge is due is hedged once it was sent and late")
    {
        REQUIRE(textOf(machine.onTimer(Start + 23ms)) == "hedge0 hedge1 ");
        CHECK(textOf(machine.onHedgeDeferred(1, Start + 23ms)).empty());
        CHECK(machine.nextEvent() == Start + 1000ms);
        machine.onPlaced(1, Start + 40ms);
        CHECK(machine.nextEvent() == Start + 60ms);
        CHECK(textOf(machine.onTimer(Start + 60ms)) == "hedge1 ");
        CHECK(textOf(machine.onTimer(Start + 90ms)).empty());
    }
    SECTION("and parts that become late one shortly after the other are hedged together")
    {
        machine.onPlaced(1, Start + 2ms);
        CHECK(machine.nextEvent() == Start + 22500us);
        CHECK(textOf(machine.onTimer(Start + 22500us)) == "hedge0 hedge1 ");
    }
}
