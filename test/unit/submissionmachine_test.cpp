#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "mangoshift/shardpick.h"
#include "mangoshift/submissionmachine.h"

using namespace mangoshift;
using std::chrono::milliseconds;

namespace {

const Clock::time_point Start{std::chrono::hours(1)};
const Clock::time_point Deadline = Start + milliseconds(500);
const TicketOutcome Refused{{Execution::NotRun, Reason::Refused}, {}};
const TicketOutcome Done{{Execution::Ran, Reason::Ok}, "[1]"};

SubmissionPlan planWithTwoDomains()
{
    return {ShardKey{1}, {{"a", {"a1", "a2"}}, {"b", {"b1"}}}, Deadline};
}

template <typename T>
const T *find(const SubmissionActions &actions)
{
    for (const SubmissionAction &action : actions)
        if (const T *found = std::get_if<T>(&action))
            return found;
    return nullptr;
}

Verdict verdictOf(const SubmissionActions &actions)
{
    const auto *finished = find<FinishSubmission>(actions);
    REQUIRE(finished != nullptr);
    return finished->outcome.verdict;
}

} // namespace

TEST_CASE("A submission is held by one home at a time")
{
    ExchangeId last = 0;
    RetryBudget budget(0.01, 10);
    SubmissionMachine machine(
        planWithTwoDomains(), [&last] { return ++last; }, budget);

    GIVEN("a request that was sent to its first home")
    {
        const auto first = machine.start(Start);
        const auto *sent = find<SendSubmission>(first);
        REQUIRE(sent != nullptr);
        CHECK(sent->home == "a1");
        CHECK(sent->deadline < Start + milliseconds(500));

        SECTION("the home's reply finishes it")
        {
            CHECK(verdictOf(machine.onReply(1, Done, Start)).isOk());
            CHECK(machine.onReply(1, Refused, Start).empty());
        }

        SECTION("after NotRun the next home gets it, other domains before second choices")
        {
            const auto second = machine.onReply(1, Refused, Start);
            REQUIRE(find<SendSubmission>(second) != nullptr);
            CHECK(find<SendSubmission>(second)->home == "b1");
            const auto third = machine.onReply(2, Refused, Start);
            REQUIRE(find<SendSubmission>(third) != nullptr);
            CHECK(find<SendSubmission>(third)->home == "a2");
            CHECK(verdictOf(machine.onReply(3, Refused, Start)) == Refused.verdict);
        }

        SECTION("after a lost connection it is not sent to another home")
        {
            CHECK(verdictOf(machine.onHomeLost("a1"))
                  == Verdict{Execution::MayHaveRun, Reason::Lost});
        }

        SECTION("if nothing was sent, the next home gets it")
        {
            CHECK(find<SendSubmission>(machine.onUnsent(1, Start)) != nullptr);
            SECTION("and losing the home that was not reached has no effect")
            {
                CHECK(machine.onHomeLost("a1").empty());
            }
        }

        SECTION("the deadline finishes it as MayHaveRun and cancels it at the home")
        {
            CHECK(machine.onTimer(Start).empty());
            const auto actions = machine.onTimer(Deadline);
            CHECK(find<CancelSubmission>(actions) != nullptr);
            CHECK(verdictOf(actions) == Verdict{Execution::MayHaveRun, Reason::DeadlineExceeded});
        }

        SECTION("after a refusal past the deadline, as after a pause, nothing is sent")
        {
            const auto actions = machine.onReply(1, Refused, Deadline + std::chrono::seconds(10));
            CHECK(find<SendSubmission>(actions) == nullptr);
            CHECK(verdictOf(actions).execution == Execution::NotRun);
        }
    }

    GIVEN("a process that was paused past the deadline before sending")
    {
        SECTION("nothing is sent and the verdict is NotRun")
        {
            const auto actions = machine.start(Deadline);
            CHECK(find<SendSubmission>(actions) == nullptr);
            CHECK(verdictOf(actions) == Verdict{Execution::NotRun, Reason::DeadlineExceeded});
        }
    }

    GIVEN("a spent retry budget")
    {
        while (budget.trySpend()) {
        }
        machine.start(Start);
        SECTION("a refusal is final")
        {
            CHECK(verdictOf(machine.onReply(1, Refused, Start)) == Refused.verdict);
        }
    }
}

TEST_CASE("A shard key keeps its shard unless it moves to a new shard")
{
    Service service;
    for (int i = 0; i < 10; ++i)
        service.shards.push_back({std::to_string(i), ShardKey{1}, {}});
    CHECK(pickShard(service, "") == nullptr);
    Service grown = service;
    grown.shards.push_back({"new", ShardKey{2}, {}});
    std::set<std::string> picked;
    for (int i = 0; i < 1000; ++i) {
        const std::string key = std::to_string(i);
        const std::string before = pickShard(service, key)->name;
        const std::string after = pickShard(grown, key)->name;
        CHECK((after == before || after == "new"));
        picked.insert(before);
    }
    CHECK(picked.size() == 10);
    service.shards.resize(1);
    CHECK(pickShard(service, "") == &service.shards.front());
}

namespace {

/// Simulates homes and connections with random behaviour for one submission, and tracks which homes
/// hold or have run the request.
class RandomSubmissionSimulation
{
public:
    explicit RandomSubmissionSimulation(std::uint64_t seed)
        : m_random(seed)
        , m_machine(
              planWithTwoDomains(), [this] { return ++m_last; }, m_budget)
    {
    }

    /// Returns a description of the violated guarantee, or an empty string.
    std::string run()
    {
        record(m_machine.start(m_now));
        for (int step = 0; step < 40 && m_fault.empty(); ++step) {
            m_now += milliseconds(m_random() % 40);
            performRandomEvent();
        }
        m_now = std::max(m_now, Deadline);
        record(m_machine.onTimer(m_now));
        if (m_finishCount != 1)
            return "it did not finish exactly once";
        return m_fault;
    }

private:
    enum class State { WithHome, Ran, RefusedAsNotRun, Unsent };

    void performRandomEvent()
    {
        const ExchangeId exchange = m_last == 0 ? 0 : 1 + m_random() % m_last;
        if (!m_states.contains(exchange))
            return;
        State &state = m_states[exchange];
        switch (m_random() % 6) {
        case 0: // The target runs the request; its reply may arrive in time, late or never.
            if (state == State::WithHome)
                state = State::Ran;
            break;
        case 1:
            if (state == State::Ran)
                record(m_machine.onReply(exchange, Done, m_now));
            break;
        case 2:
            if (state == State::WithHome)
                state = State::RefusedAsNotRun;
            if (state == State::RefusedAsNotRun)
                record(m_machine.onReply(exchange, Refused, m_now));
            break;
        case 3:
            if (state == State::WithHome && m_random() % 2 == 0) {
                state = State::Unsent;
                record(m_machine.onUnsent(exchange, m_now));
            }
            break;
        case 4:
            if (m_random() % 4 == 0)
                record(m_machine.onHomeLost(m_homes[exchange]));
            break;
        default:
            record(m_machine.onTimer(m_now));
        }
    }

    void record(const SubmissionActions &actions)
    {
        for (const SubmissionAction &action : actions) {
            if (const auto *sent = std::get_if<SendSubmission>(&action)) {
                for (const auto &[exchange, state] : m_states)
                    if (state == State::WithHome || state == State::Ran)
                        m_fault = "two homes hold the request";
                if (m_now >= Deadline || m_finishCount > 0)
                    m_fault = "sent too late";
                m_states[sent->exchange] = State::WithHome;
                m_homes[sent->exchange] = sent->home;
            } else if (const auto *end = std::get_if<FinishSubmission>(&action)) {
                ++m_finishCount;
                const bool saysNotRun = end->outcome.verdict.execution == Execution::NotRun;
                for (const auto &[exchange, state] : m_states)
                    if (saysNotRun && (state == State::WithHome || state == State::Ran))
                        m_fault = "NotRun for a request that a home holds";
            }
        }
    }

    std::mt19937_64 m_random;
    Clock::time_point m_now = Start;
    ExchangeId m_last = 0;
    RetryBudget m_budget{0.01, 10};
    SubmissionMachine m_machine;
    std::map<ExchangeId, State> m_states;
    std::map<ExchangeId, VmId> m_homes;
    int m_finishCount = 0;
    std::string m_fault;
};

} // namespace

TEST_CASE("A submission runs at most once and reports NotRun truthfully under random events")
{
    constexpr std::uint64_t seeds = 5000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const std::string fault = RandomSubmissionSimulation(seed).run();
        INFO("seed " << seed << ": " << fault);
        REQUIRE(fault.empty());
    }
}
