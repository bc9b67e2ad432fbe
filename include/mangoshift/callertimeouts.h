#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "mangoshift/clock.h"
#include "mangoshift/routing.h"

namespace mangoshift {

/// What a connection from a caller is doing.
enum class CallerPhase : std::uint8_t {
    Idle, ///< No byte of a request has arrived since the last response.
    Receiving, ///< A part of a request has arrived.
    Working, ///< A request is being processed.
    Answering, ///< A response is being written.
    Closing, ///< The VM has closed its sending side.
    Closed,
};

std::string_view toString(CallerPhase phase);

/// Decides when a connection from a caller has taken too long.
///
/// The owner reports each change of the phase, and asks `check` several times a second. Before it
/// acts on `CloseIdle` or `RejectOverdue`, it must read what has arrived on the socket, report it
/// and ask again: a thread that is late must not take a request that it has not read yet for one
/// that was not sent.
///
/// A caller counts on the limits that it knows. So an idle connection is closed by the longest
/// idle limit that was in force while it was idle, and a request may be as large, and its headers
/// may take as long, as any limits allow that were in force while it arrived.
///
///     CallerTimeouts timeouts(limits, now);
///     timeouts.enter(CallerPhase::Receiving, now);
///     if (timeouts.check(now + std::chrono::seconds(30)) == CallerTimeouts::Due::RejectOverdue)
///         ...
///
/// Not thread-safe.
class CallerTimeouts
{
public:
    /// The maximum time to write a response to a caller that reads slowly.
    static constexpr std::chrono::seconds WriteTimeout{10};

    enum class Due : std::uint8_t {
        Nothing,
        CloseIdle, ///< Close the connection gracefully.
        RejectOverdue, ///< Reject the request that is not complete.
        Abort, ///< Close the connection at once.
    };

    CallerTimeouts(const CallerLimits &limits, Clock::time_point now);

    void enter(CallerPhase phase, Clock::time_point now);
    CallerPhase phase() const { return m_phase; }
    /// Reports that the headers of the request that is being received are complete.
    void onHeaders() { m_hasHeaders = true; }
    /// Sets the limits in force.
    void setLimits(const CallerLimits &limits);
    /// Returns the limits that apply to the connection now.
    const CallerLimits &limits() const { return m_granted; }
    Due check(Clock::time_point now) const;
    /// Returns whether the connection has been idle for so long that the caller has received the
    /// last response.
    bool isSettled(Clock::time_point now) const;

private:
    CallerLimits m_inForce;
    CallerLimits m_granted;
    CallerPhase m_phase = CallerPhase::Idle;
    Clock::time_point m_phaseSince;
    bool m_hasHeaders = false;
};

} // namespace mangoshift
