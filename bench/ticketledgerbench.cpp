// Measures the heap bytes that a ticket ledger uses per ticket and the time it takes per
// submission.

#include <chrono>
#include <cstdio>
#include <vector>

#include <malloc.h>

#include "mangoshift/ticketledger.h"

using namespace mangoshift;

namespace {

/// About the size of a booking's result in the sample deployment.
constexpr std::size_t ResultBytes = 100;
constexpr std::size_t TicketsPerBlock = 10;

std::size_t allocatedBytes()
{
    return mallinfo2().uordblks;
}

/// Issues and uses `count` tickets. Prints, per ticket, the mean bytes that issuing it allocates,
/// the mean bytes that using it adds, and the mean time of its use.
void measure(std::size_t count)
{
    TicketLimits limits;
    limits.maxTickets = count;
    TicketLedger ledger("khulna-a-vm0", 1, limits);
    std::vector<TicketBlock> blocks;
    blocks.reserve(count / TicketsPerBlock);
    const std::size_t baselineBytes = allocatedBytes();
    Clock::time_point now{std::chrono::hours(1)};
    for (std::size_t i = 0; i < count; i += TicketsPerBlock) {
        now += std::chrono::microseconds(100);
        blocks.push_back(*ledger.issue(TicketsPerBlock, now));
    }
    const std::size_t bytesAfterIssue = allocatedBytes();
    const Clock::time_point start = Clock::now();
    for (const TicketBlock &block : blocks) {
        for (std::uint64_t i = 0; i < block.count; ++i) {
            const std::string text = formatTicket(ledger.ticket(block, i));
            const Ticket ticket = *parseTicket(text);
            static_cast<void>(ledger.begin(ticket, 1, now));
            ledger.finish(ticket.sequence,
                          {{Execution::Ran, Reason::Ok}, std::string(ResultBytes, 'x')});
        }
    }
    const auto elapsed = Clock::now() - start;
    std::printf("%9zu %22.1f %22.1f %18.0f\n", count,
                static_cast<double>(bytesAfterIssue - baselineBytes) / static_cast<double>(count),
                static_cast<double>(allocatedBytes() - bytesAfterIssue)
                    / static_cast<double>(count),
                static_cast<double>(elapsed.count()) / static_cast<double>(count));
}

} // namespace

int main()
{
    std::puts("  tickets  bytes/unused ticket   bytes/used ticket     ns/submission");
    for (const std::size_t count : {1000U, 10'000U, 50'000U, 100'000U})
        measure(count);
    return 0;
}
