// Runs a request at most once per ticket, however often a caller retries it.

#include <cstdint>
#include <cstdio>
#include <string>
#include <variant>

#include "mangoshift/ticketledger.h"

namespace {

using namespace mangoshift;

/// Places orders and counts them; the caller wants exactly one.
class Orders
{
public:
    TicketOutcome place()
    {
        ++m_placed;
        return {{Execution::Ran, Reason::Ok}, R"({"order":1})"};
    }
    int placed() const { return m_placed; }

private:
    int m_placed = 0;
};

/// Handles a request as an entry VM does when the request's ticket is one that it issued.
TicketOutcome submit(TicketLedger &ledger, Orders &orders, const Ticket &ticket,
                     std::uint64_t fingerprint, Clock::time_point now)
{
    const TicketAdmission admission = ledger.begin(ticket, fingerprint, now);
    if (const auto *known = std::get_if<TicketOutcome>(&admission))
        return *known;
    if (std::holds_alternative<AwaitTicket>(admission))
        return {{Execution::MayHaveRun, Reason::Overloaded}, {}};
    TicketOutcome outcome = orders.place();
    ledger.finish(ticket.sequence, outcome);
    return outcome;
}

} // namespace

int main()
{
    constexpr std::uint64_t incarnation = 1;
    constexpr std::uint64_t request = 17; // In production, a hash of the request's text.
    constexpr std::uint64_t otherRequest = 18;
    const TicketLimits limits;
    TicketLedger ledger("plovdiv-a-vm0", incarnation, limits);
    Orders orders;
    const Clock::time_point now = Clock::now();
    const auto block = ledger.issue(2, now);
    if (!block)
        return 1;
    const Ticket ticket = ledger.ticket(*block, 0);
    const Ticket unused = ledger.ticket(*block, 1);

    const TicketOutcome first = submit(ledger, orders, ticket, request, now);
    const TicketOutcome repeat = submit(ledger, orders, ticket, request, now);
    const TicketOutcome other = submit(ledger, orders, ticket, otherRequest, now);
    const TicketOutcome late = submit(ledger, orders, unused, request, now + limits.lifetime);
    std::printf("ran %d time(s); the repeat got the first outcome: %s; another request: %s; "
                "too late: %s\n",
                orders.placed(), repeat == first ? "yes" : "no",
                std::string(toString(other.verdict.reason)).c_str(),
                std::string(toString(late.verdict.execution)).c_str());
    const bool hasExpectedOutcomes = orders.placed() == 1 && repeat == first
        && other.verdict.reason == Reason::BadRequest
        && late.verdict.execution == Execution::NotRun;
    return hasExpectedOutcomes ? 0 : 1;
}
