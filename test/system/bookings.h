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

/// Counts the outcomes of all submissions of one ticket, as callers received them.
struct TicketOutcomes
{
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t mayHaveRun = 0;
    /// Submissions without a response, or with one that does not state an execution.
    std::uint64_t unanswered = 0;
    std::string result; ///< The first result received; empty if no submission ran.
    bool hasConflictingResults = false;
};

/// Submits a booking with a ticket and a deadline of 200 ms to a VM and adds the outcome to
/// `outcomes`. The read timeout of the connection is 500 ms.
void submitBooking(const std::string &address, const std::string &ticket, TicketOutcomes &outcomes);

/// Callers that book slots with tickets through randomly chosen VMs. They submit a booking until
/// its outcome is known, and some bookings again after that.
class BookingLoad
{
public:
    /// Starts `threads` callers, which stop once they have processed `count` tickets in total.
    BookingLoad(const Deployment &deployment, std::uint64_t count, std::size_t threads,
                std::uint64_t seed);
    ~BookingLoad();

    bool isDone() const { return m_processedTickets >= m_ticketCount; }
    /// Returns for how many tickets all submissions have ended, whatever their outcomes.
    std::uint64_t processedTickets() const { return m_processedTickets; }
    /// Waits until all callers have ended. Returns the outcomes by ticket.
    const std::map<std::string, TicketOutcomes> &finish();

private:
    void runCaller(std::uint64_t seed);
    std::vector<std::string> fetchTickets(const std::string &address);
    TicketOutcomes submitWithRepeats(const std::string &ticket, std::mt19937_64 &random);
    const std::string &randomAddress(std::mt19937_64 &random) const;

    std::vector<std::string> m_addresses;
    std::uint64_t m_ticketCount;
    std::atomic<std::uint64_t> m_processedTickets{0};
    std::mutex m_mutex;
    std::map<std::string, TicketOutcomes> m_outcomes;
    std::vector<std::thread> m_callers;
};

/// Compares the answers that callers received with the records of the targets.
struct BookingAudit
{
    std::uint64_t tickets = 0;
    std::uint64_t repeats = 0; ///< Submissions of a ticket beyond its first.
    /// Tickets with at least one answer that states that the booking ran, or that it did not.
    std::uint64_t answeredRan = 0;
    std::uint64_t answeredNotRun = 0;
    /// Tickets without an answer that states whether the booking ran.
    std::uint64_t neverDefinite = 0;
    std::uint64_t targetRuns = 0; ///< Runs recorded by the targets.
    /// Violations, in this order: tickets that ran more than once, tickets answered as not run
    /// although a target ran them, tickets answered as run although no target did, and tickets with
    /// different results.
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

/// Fetches the records of all targets and compares them with the outcomes that callers received.
BookingAudit auditBookings(Deployment &deployment,
                           const std::map<std::string, TicketOutcomes> &outcomes);

} // namespace mangoshift::testing
