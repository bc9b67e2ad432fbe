#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>

#include <tl/expected.hpp>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"
#include "mangoshift/verdict.h"

namespace mangoshift {

/// The right to run one non-idempotent request once, at the VM that issued the ticket.
struct Ticket
{
    VmId vm;
    std::uint64_t incarnation = 0;
    /// The end of the ticket's lifetime, on the clock of the issuing process. Other processes
    /// cannot interpret it.
    std::chrono::milliseconds expiry{0};
    std::uint64_t sequence = 0;
    bool operator==(const Ticket &) const = default;
};

/// Returns the text of a ticket that callers get: `VM.INCARNATION.EXPIRY.SEQUENCE.CHECK`, with
/// hexadecimal numbers. The check is a hash of the text before it. It detects typing errors and
/// does not prevent forgery.
std::string formatTicket(const Ticket &ticket);
/// Parses the text of a ticket. Returns no value if the text is malformed or its check does not
/// match.
std::optional<Ticket> parseTicket(std::string_view text);

/// The result of the request that a ticket was used for.
struct TicketOutcome
{
    Verdict verdict;
    /// The target's response, a JSON text; empty if there is none.
    std::string result;
    bool operator==(const TicketOutcome &) const = default;
};

/// The bounds of a ledger.
struct TicketLimits
{
    /// How long after its issue a ticket may be used.
    std::chrono::milliseconds lifetime{60'000};
    /// How long after its expiry a ticket's outcome is kept for repeated requests.
    std::chrono::milliseconds grace{30'000};
    /// How many tickets may exist at once, from their issue to the end of their grace period.
    std::size_t maxTickets = 100'000;
    /// How many bytes of results are kept. No request is started while they exceed the limit.
    std::size_t maxResultBytes = 32U << 20U;
};

/// A block of tickets with consecutive sequence numbers and the same expiry.
struct TicketBlock
{
    std::uint64_t firstSequence = 0;
    std::uint64_t count = 0;
    std::chrono::milliseconds expiry{0};
};

/// The request is to run now, by `expiry` at the latest. `finish` is to be called with its outcome.
struct RunTicket
{
    Clock::time_point expiry;
};

/// The ticket's request is already running, and its outcome is still pending.
struct AwaitTicket
{
};

using TicketAdmission = std::variant<RunTicket, AwaitTicket, TicketOutcome>;

/// Issues tickets and records the outcome of each, so that no ticket runs twice.
///
/// Guarantees that `begin` returns `RunTicket` at most once for a ticket, never for one that has
/// expired or that another process issued, and never after it has returned `NotRun` for the ticket.
/// `NotRun` is therefore final; if the outcome is unknown, `begin` returns `MayHaveRun`. Expiry is
/// decided on the clock of this process alone. An unused ticket takes no memory of its own. Not
/// thread safe.
///
///     TicketLedger ledger("plovdiv-a-vm0", incarnation, {});
///     const auto block = ledger.issue(1, now);
///     const Ticket ticket = ledger.ticket(*block, 0);
///     if (std::holds_alternative<RunTicket>(ledger.begin(ticket, fingerprint, now)))
///         ledger.finish(ticket.sequence, run());
class TicketLedger
{
public:
    TicketLedger(VmId vm, std::uint64_t incarnation, TicketLimits limits);

    /// Issues `count` tickets. The error is `NotRun` with `Overloaded` if that would exceed
    /// `TicketLimits::maxTickets`.
    tl::expected<TicketBlock, Verdict> issue(std::size_t count, Clock::time_point now);
    /// Returns the ticket at `index` of a block.
    Ticket ticket(const TicketBlock &block, std::uint64_t index) const;

    /// Decides whether a request that names `ticket` is to run, or returns its outcome.
    /// `fingerprint` is a hash of the request: a ticket that is reused with another request gets
    /// `BadRequest`.
    TicketAdmission begin(const Ticket &ticket, std::uint64_t fingerprint, Clock::time_point now);
    /// Records the outcome of a request for which `begin` returned `RunTicket`. If called several
    /// times, the first outcome is kept, except that any outcome replaces a `MayHaveRun`.
    void finish(std::uint64_t sequence, TicketOutcome outcome);
    /// Removes the tickets whose grace period has ended.
    void prune(Clock::time_point now);

    /// Returns whether this process issued the ticket, going by its VM and incarnation.
    bool isOwn(const Ticket &ticket) const;
    /// Returns whether the ticket with this sequence number is recorded as running or done.
    bool isUsed(std::uint64_t sequence) const { return m_usedTickets.contains(sequence); }
    /// Returns the number of tickets, used and unused, including those in their grace period.
    std::size_t tickets() const { return m_ticketCount; }
    /// Returns the number of tickets that are recorded one by one because they are running or done.
    std::size_t usedTickets() const { return m_usedTickets.size(); }
    /// Returns how many bytes the kept results take.
    std::size_t resultBytes() const { return m_resultBytes; }

private:
    struct UsedTicket
    {
        std::uint64_t fingerprint = 0;
        bool isDone = false;
        TicketOutcome outcome;
    };

    bool isIssued(const Ticket &ticket) const;
    TicketAdmission admitRepeat(const UsedTicket &used, std::uint64_t fingerprint) const;

    VmId m_vm;
    std::uint64_t m_incarnation;
    TicketLimits m_limits;
    std::uint64_t m_lastSequence = 0;
    std::size_t m_ticketCount = 0;
    std::size_t m_resultBytes = 0;
    std::deque<TicketBlock> m_blocks; ///< In order of issue and therefore of expiry.
    std::unordered_map<std::uint64_t, UsedTicket> m_usedTickets;
};

} // namespace mangoshift
