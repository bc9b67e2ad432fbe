#include <map>
#include <random>
#include <set>

#include <catch2/catch.hpp>

#include "mangoshift/ticketledger.h"

using namespace mangoshift;
using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t Incarnation = 7;
constexpr std::uint64_t Fingerprint = 42;
const TicketLimits SmallLimits{milliseconds(1000), milliseconds(500), 10, 100};

bool mustRun(const TicketAdmission &admission)
{
    return std::holds_alternative<RunTicket>(admission);
}

TicketOutcome ran(const std::string &result)
{
    return {{Execution::Ran, Reason::Ok}, result};
}

TicketOutcome mayHaveRun()
{
    return {{Execution::MayHaveRun, Reason::Lost}, {}};
}

} // namespace

TEST_CASE("The text of a ticket can be parsed, and a typing error is detected")
{
    const Ticket ticket{"khulna-a.vm0", 0xabc, milliseconds(123456), 99};
    const std::string text = formatTicket(ticket);
    REQUIRE(parseTicket(text));
    CHECK(*parseTicket(text) == ticket);
    for (std::size_t i = 0; i < text.size(); ++i) {
        std::string typo = text;
        typo[i] = typo[i] == '1' ? '2' : '1';
        CAPTURE(typo);
        CHECK_FALSE(parseTicket(typo));
    }
    for (const char *bad : {"", ".", "....", "a.b.c.d.e", "vm.1.2.3"})
        CHECK_FALSE(parseTicket(bad));
}

TEST_CASE("A ledger lets each of its tickets run once")
{
    Clock::time_point now{std::chrono::hours(1)};
    TicketLedger ledger("vm", Incarnation, SmallLimits);
    const auto block = ledger.issue(2, now);
    REQUIRE(block);
    const Ticket ticket = ledger.ticket(*block, 0);

    GIVEN("an unused ticket")
    {
        SECTION("its first request is to run, by the expiry at the latest")
        {
            const auto admission = ledger.begin(ticket, Fingerprint, now);
            REQUIRE(mustRun(admission));
            CHECK(std::get<RunTicket>(admission).expiry == now + SmallLimits.lifetime);
        }

        SECTION("it is NotRun once expired, and never runs after that")
        {
            now += SmallLimits.lifetime;
            const auto admission = ledger.begin(ticket, Fingerprint, now);
            REQUIRE(std::holds_alternative<TicketOutcome>(admission));
            CHECK(std::get<TicketOutcome>(admission).verdict
                  == Verdict{Execution::NotRun, Reason::UnknownTicket});
        }

        SECTION("it is MayHaveRun after the grace period, when its record has been removed")
        {
            now += SmallLimits.lifetime + SmallLimits.grace;
            const auto admission = ledger.begin(ticket, Fingerprint, now);
            REQUIRE(std::holds_alternative<TicketOutcome>(admission));
            CHECK(std::get<TicketOutcome>(admission).verdict.execution == Execution::MayHaveRun);
            CHECK(ledger.tickets() == 0);
        }

        SECTION("another incarnation never runs it and returns MayHaveRun")
        {
            TicketLedger successor("vm", Incarnation + 1, SmallLimits);
            REQUIRE(successor.issue(2, now));
            const auto admission = successor.begin(ticket, Fingerprint, now);
            REQUIRE(std::holds_alternative<TicketOutcome>(admission));
            CHECK(std::get<TicketOutcome>(admission).verdict
                  == Verdict{Execution::MayHaveRun, Reason::UnknownTicket});
        }

        SECTION("a ticket that was never issued does not run")
        {
            Ticket forged = ticket;
            forged.sequence += 2;
            CHECK_FALSE(mustRun(ledger.begin(forged, Fingerprint, now)));
            forged = ticket;
            forged.expiry += milliseconds(1);
            CHECK_FALSE(mustRun(ledger.begin(forged, Fingerprint, now)));
        }
    }

    GIVEN("a ticket whose request is running")
    {
        REQUIRE(mustRun(ledger.begin(ticket, Fingerprint, now)));

        SECTION("a repeated request waits for the outcome")
        {
            const auto admission = ledger.begin(ticket, Fingerprint, now);
            CHECK(std::holds_alternative<AwaitTicket>(admission));
        }

        SECTION("another request with the same ticket is rejected")
        {
            const auto admission = ledger.begin(ticket, Fingerprint + 1, now);
            REQUIRE(std::holds_alternative<TicketOutcome>(admission));
            CHECK(std::get<TicketOutcome>(admission).verdict
                  == Verdict{Execution::MayHaveRun, Reason::BadRequest});
        }

        SECTION("a repeated request gets the first outcome, even after the expiry")
        {
            ledger.finish(ticket.sequence, ran("[1]"));
            ledger.finish(ticket.sequence, ran("[2]"));
            now += SmallLimits.lifetime + milliseconds(1);
            const auto admission = ledger.begin(ticket, Fingerprint, now);
            REQUIRE(std::holds_alternative<TicketOutcome>(admission));
            CHECK(std::get<TicketOutcome>(admission) == ran("[1]"));
        }

        SECTION("a late definite outcome replaces MayHaveRun, but no definite outcome")
        {
            ledger.finish(ticket.sequence, mayHaveRun());
            ledger.finish(ticket.sequence, ran("[1]"));
            ledger.finish(ticket.sequence, mayHaveRun());
            CHECK(std::get<TicketOutcome>(ledger.begin(ticket, Fingerprint, now)) == ran("[1]"));
        }
    }

    GIVEN("a ledger at its limit")
    {
        REQUIRE(ledger.issue(SmallLimits.maxTickets - 2, now));

        SECTION("no ticket is issued until the grace period of another has ended")
        {
            const auto refused = ledger.issue(1, now);
            REQUIRE_FALSE(refused);
            CHECK(refused.error().execution == Execution::NotRun);
            CHECK(refused.error().reason == Reason::Overloaded);
            now += SmallLimits.lifetime + SmallLimits.grace;
            CHECK(ledger.issue(SmallLimits.maxTickets, now));
        }

        SECTION("results over their limit make further requests NotRun, permanently")
        {
            REQUIRE(mustRun(ledger.begin(ticket, Fingerprint, now)));
            ledger.finish(ticket.sequence, ran(std::string(101, 'x')));
            const Ticket next = ledger.ticket(*block, 1);
            for (int repeat = 0; repeat < 2; ++repeat) {
                const auto admission = ledger.begin(next, Fingerprint, now);
                REQUIRE(std::holds_alternative<TicketOutcome>(admission));
                CHECK(std::get<TicketOutcome>(admission).verdict.execution == Execution::NotRun);
            }
            now += SmallLimits.lifetime + SmallLimits.grace;
            ledger.prune(now);
            CHECK(ledger.resultBytes() == 0);
            CHECK(ledger.usedTickets() == 0);
        }
    }
}

TEST_CASE("A ledger keeps its guarantees under random use")
{
    constexpr std::uint64_t seeds = 3000;
    constexpr int steps = 200;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        std::mt19937_64 random(seed);
        Clock::time_point now{std::chrono::hours(1)};
        TicketLedger ledger("vm", Incarnation, SmallLimits);
        std::vector<Ticket> tickets;
        std::map<std::uint64_t, int> runs;
        std::set<std::uint64_t> running;
        std::set<std::uint64_t> reportedNotRun;
        std::map<std::uint64_t, std::string> firstResult;
        bool isConsistent = true;
        for (int step = 0; step < steps; ++step) {
            now += milliseconds(random() % 60);
            if (random() % 4 == 0) {
                const auto block = ledger.issue(1 + random() % 3, now);
                for (std::uint64_t i = 0; block && i < block->count; ++i)
                    tickets.push_back(ledger.ticket(*block, i));
            }
            if (!running.empty() && random() % 3 == 0) {
                const std::uint64_t sequence = *running.begin();
                running.erase(running.begin());
                const auto kind = static_cast<Execution>(random() % 3);
                ledger.finish(sequence, {{kind, Reason::Ok}, std::to_string(step)});
            }
            if (tickets.empty())
                continue;
            const Ticket &ticket = tickets[random() % tickets.size()];
            const auto admission = ledger.begin(ticket, Fingerprint, now);
            if (mustRun(admission)) {
                isConsistent = isConsistent && ++runs[ticket.sequence] == 1
                    && !reportedNotRun.contains(ticket.sequence)
                    && now < Clock::time_point(ticket.expiry);
                running.insert(ticket.sequence);
            } else if (const auto *outcome = std::get_if<TicketOutcome>(&admission)) {
                if (outcome->verdict.execution == Execution::NotRun)
                    reportedNotRun.insert(ticket.sequence);
                if (outcome->verdict.execution == Execution::Ran)
                    isConsistent = isConsistent
                        && firstResult.emplace(ticket.sequence, outcome->result).first->second
                            == outcome->result;
            }
            isConsistent = isConsistent && ledger.tickets() <= SmallLimits.maxTickets
                && ledger.usedTickets() <= ledger.tickets();
        }
        INFO("seed " << seed);
        REQUIRE(isConsistent);
    }
}
