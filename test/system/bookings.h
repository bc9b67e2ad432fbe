#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "deployment.h"

namespace mangoshift::testing {

/// What callers were told of one ticket, over all its repeats.
struct TicketOutcomes
{
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t unanswered = 0;
    std::string result;
    bool hasConflictingResults = false;
};

/// Sends a booking with a ticket to a VM, with 200 ms to run in, and adds what came of it. The
/// caller gives up 500 ms after it has connected.
void submitBooking(const std::string &address, const std::string &ticket, TicketOutcomes &outcomes);

/// Callers that book slots with tickets and repeat them through other VMs, also when they need not.
class BookingLoad
{
public:
    /// Starts `threads` callers, which together use `count` tickets and then end.
    BookingLoad(const Deployment &deployment, std::uint64_t count, std::size_t threads,
                std::uint64_t seed);
    ~BookingLoad();

    bool isDone() const { return m_bookedTickets >= m_ticketCount; }
    std::uint64_t bookedTickets() const { return m_bookedTickets; }
    /// Waits for the callers. Returns what they were told, by ticket.
    const std::map<std::string, TicketOutcomes> &finish();

private:
    void runCaller(std::uint64_t seed);
    std::vector<std::string> fetchTickets(const std::string &address);
    TicketOutcomes submitWithRepeats(const std::string &ticket, std::mt19937_64 &random);
    const std::string &randomAddress(std::mt19937_64 &random) const;

    std::vector<std::string> m_addresses;
    std::uint64_t m_ticketCount;
    std::atomic<std::uint64_t> m_bookedTickets{0};
    std::mutex m_mutex;
    std::map<std::string, TicketOutcomes> m_outcomes;
    std::vector<std::thread> m_callers;
};

/// What the targets' own records say against the answers.
struct BookingAudit
{
    std::uint64_t tickets = 0;
    std::uint64_t repeats = 0;
    std::uint64_t answeredRan = 0;
    std::uint64_t answeredNotRun = 0;
    std::uint64_t neverDefinite = 0;
    std::uint64_t targetRuns = 0;
    // Violations.
    std::uint64_t ranTwice = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t falseRan = 0;
    std::uint64_t conflictingResults = 0;

    std::string toString() const;
    std::uint64_t violationCount() const
    {
        return ranTwice + falseNotRun + falseRan + conflictingResults;
    }
};

BookingAudit auditBookings(Deployment &deployment,
                           const std::map<std::string, TicketOutcomes> &outcomes);

} // namespace mangoshift::testing
