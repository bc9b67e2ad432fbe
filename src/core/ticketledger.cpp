#include "mangoshift/ticketledger.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <xxhash.h>

namespace mangoshift {

namespace {

constexpr int HexBase = 16;
/// The retry advice when the ledger is full. Short, as tickets are removed continually.
constexpr std::chrono::milliseconds LedgerFullRetryAfter{1000};

std::string toHex(std::uint64_t value)
{
    char digits[HexBase];
    const auto end = std::to_chars(digits, digits + HexBase, value, HexBase).ptr;
    return {digits, end};
}

/// Removes the last dot-separated hexadecimal number from `text` and returns it. Returns no value
/// if there is none.
std::optional<std::uint64_t> removeLastNumber(std::string_view &text)
{
    const auto dot = text.rfind('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = text.substr(dot + 1);
    std::uint64_t value = 0;
    const auto [end, status] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value, HexBase);
    if (status != std::errc() || end != digits.data() + digits.size() || toHex(value) != digits)
        return std::nullopt;
    text = text.substr(0, dot);
    return value;
}

std::chrono::milliseconds sinceEpoch(Clock::time_point at)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch());
}

} // namespace

std::string formatTicket(const Ticket &ticket)
{
    const std::string text = ticket.vm + "." + toHex(ticket.incarnation) + "."
        + toHex(static_cast<std::uint64_t>(ticket.expiry.count())) + "." + toHex(ticket.sequence);
    return text + "." + toHex(XXH64(text.data(), text.size(), 0));
}

std::optional<Ticket> parseTicket(std::string_view text)
{
    const auto check = removeLastNumber(text);
    if (!check || *check != XXH64(text.data(), text.size(), 0))
        return std::nullopt;
    const auto sequence = removeLastNumber(text);
    const auto expiry = sequence ? removeLastNumber(text) : std::nullopt;
    const auto incarnation = expiry ? removeLastNumber(text) : std::nullopt;
    if (!incarnation || text.empty())
        return std::nullopt;
    return Ticket{std::string(text), *incarnation,
                  std::chrono::milliseconds(static_cast<std::int64_t>(*expiry)), *sequence};
}

TicketLedger::TicketLedger(VmId vm, std::uint64_t incarnation, TicketLimits limits)
    : m_vm(std::move(vm))
    , m_incarnation(incarnation)
    , m_limits(limits)
{
}

tl::expected<TicketBlock, Verdict> TicketLedger::issue(std::size_t count, Clock::time_point now)
{
    prune(now);
    if (count > m_limits.maxTickets - m_ticketCount)
        return tl::make_unexpected(
            Verdict{Execution::NotRun, Reason::Overloaded, LedgerFullRetryAfter});
    const TicketBlock block{m_lastSequence + 1, count, sinceEpoch(now) + m_limits.lifetime};
    m_lastSequence += count;
    m_ticketCount += count;
    // Blocks with the same expiry are merged, so that issuing single tickets under load stays
    // cheap.
    if (!m_blocks.empty() && m_blocks.back().expiry == block.expiry)
        m_blocks.back().count += count;
    else
        m_blocks.push_back(block);
    return block;
}

Ticket TicketLedger::ticket(const TicketBlock &block, std::uint64_t index) const
{
    return {m_vm, m_incarnation, block.expiry, block.firstSequence + index};
}

bool TicketLedger::isOwn(const Ticket &ticket) const
{
    return ticket.vm == m_vm && ticket.incarnation == m_incarnation;
}

bool TicketLedger::isIssued(const Ticket &ticket) const
{
    const auto after = std::upper_bound(m_blocks.begin(), m_blocks.end(), ticket.sequence,
                                        [](std::uint64_t sequence, const TicketBlock &block) {
                                            return sequence < block.firstSequence;
                                        });
    if (after == m_blocks.begin())
        return false;
    const TicketBlock &block = *std::prev(after);
    return ticket.sequence - block.firstSequence < block.count && ticket.expiry == block.expiry;
}

TicketAdmission TicketLedger::begin(const Ticket &ticket, std::uint64_t fingerprint,
                                    Clock::time_point now)
{
    prune(now);
    // Only the process that issued a ticket knows whether it ran.
    if (!isOwn(ticket) || !isIssued(ticket))
        return TicketOutcome{{Execution::MayHaveRun, Reason::UnknownTicket}, {}};
    if (const auto it = m_usedTickets.find(ticket.sequence); it != m_usedTickets.end())
        return admitRepeat(it->second, fingerprint);
    if (sinceEpoch(now) >= ticket.expiry)
        return TicketOutcome{{Execution::NotRun, Reason::UnknownTicket}, {}};
    UsedTicket used{fingerprint, false, {}};
    if (m_resultBytes > m_limits.maxResultBytes) {
        used.isDone = true;
        used.outcome.verdict = {Execution::NotRun, Reason::Overloaded, LedgerFullRetryAfter};
        return m_usedTickets.emplace(ticket.sequence, std::move(used)).first->second.outcome;
    }
    m_usedTickets.emplace(ticket.sequence, std::move(used));
    return RunTicket{Clock::time_point(ticket.expiry)};
}

TicketAdmission TicketLedger::admitRepeat(const UsedTicket &used, std::uint64_t fingerprint) const
{
    if (used.fingerprint != fingerprint) {
        const Execution execution =
            used.isDone ? used.outcome.verdict.execution : Execution::MayHaveRun;
        return TicketOutcome{{execution, Reason::BadRequest}, {}};
    }
    if (!used.isDone)
        return AwaitTicket{};
    return used.outcome;
}

void TicketLedger::finish(std::uint64_t sequence, TicketOutcome outcome)
{
    const auto it = m_usedTickets.find(sequence);
    if (it == m_usedTickets.end())
        return;
    UsedTicket &used = it->second;
    if (used.isDone && used.outcome.verdict.execution != Execution::MayHaveRun)
        return;
    used.isDone = true;
    m_resultBytes += outcome.result.size();
    m_resultBytes -= used.outcome.result.size();
    used.outcome = std::move(outcome);
}

void TicketLedger::prune(Clock::time_point now)
{
    while (!m_blocks.empty() && m_blocks.front().expiry + m_limits.grace <= sinceEpoch(now)) {
        const TicketBlock &block = m_blocks.front();
        for (std::uint64_t i = 0; i < block.count; ++i) {
            const auto it = m_usedTickets.find(block.firstSequence + i);
            if (it == m_usedTickets.end())
                continue;
            m_resultBytes -= it->second.outcome.result.size();
            m_usedTickets.erase(it);
        }
        m_ticketCount -= block.count;
        m_blocks.pop_front();
    }
}

} // namespace mangoshift
