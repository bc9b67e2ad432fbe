#include "mangoshift/callertimeouts.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace mangoshift {

namespace {

/// The maximum time from the first byte of a request to the end of its body; applies once its
/// headers are complete. Callers send at most 256 KiB.
constexpr std::chrono::seconds BodyTimeout{10};
/// How long the socket is still read after the last response: closing a socket with unread data
/// sends a reset, which could discard the response.
constexpr std::chrono::seconds LingerTime{1};
/// Added to the idle timeout that callers know, so that a request does not arrive while the
/// connection is being closed.
constexpr std::chrono::seconds IdleMargin{1};

/// Returns limits that allow what either of two allows.
CallerLimits widest(const CallerLimits &a, const CallerLimits &b)
{
    CallerLimits limits;
    limits.headerBytes = std::max(a.headerBytes, b.headerBytes);
    limits.bodyBytes = std::max(a.bodyBytes, b.bodyBytes);
    limits.headerTimeout = std::max(a.headerTimeout, b.headerTimeout);
    limits.idleTimeout = std::max(a.idleTimeout, b.idleTimeout);
    return limits;
}

} // namespace

std::string_view toString(CallerPhase phase)
{
    static constexpr std::array<std::string_view, 6> names{"idle",      "receiving", "working",
                                                           "answering", "closing",   "closed"};
    return names.at(static_cast<std::size_t>(phase));
}

CallerTimeouts::CallerTimeouts(const CallerLimits &limits, Clock::time_point now)
    : m_inForce(limits)
    , m_granted(limits)
    , m_phaseSince(now)
{
}

void CallerTimeouts::enter(CallerPhase phase, Clock::time_point now)
{
    m_phase = phase;
    m_phaseSince = now;
    m_hasHeaders = false;
    if (phase == CallerPhase::Idle)
        m_granted = m_inForce;
}

void CallerTimeouts::setLimits(const CallerLimits &limits)
{
    m_inForce = limits;
    if (m_phase == CallerPhase::Receiving) {
        m_granted = widest(m_granted, limits);
    } else {
        const auto idleTimeout = std::max(m_granted.idleTimeout, limits.idleTimeout);
        m_granted = limits;
        m_granted.idleTimeout = idleTimeout;
    }
}

bool CallerTimeouts::isSettled(Clock::time_point now) const
{
    return m_phase == CallerPhase::Idle && now - m_phaseSince >= LingerTime;
}

CallerTimeouts::Due CallerTimeouts::check(Clock::time_point now) const
{
    const Clock::duration age = now - m_phaseSince;
    switch (m_phase) {
    case CallerPhase::Idle:
        return age >= m_granted.idleTimeout + IdleMargin ? Due::CloseIdle : Due::Nothing;
    case CallerPhase::Receiving:
        return age >= (m_hasHeaders ? BodyTimeout : Clock::duration(m_granted.headerTimeout))
            ? Due::RejectOverdue
            : Due::Nothing;
    case CallerPhase::Answering:
        return age >= WriteTimeout ? Due::Abort : Due::Nothing;
    case CallerPhase::Closing:
        return age >= LingerTime ? Due::Abort : Due::Nothing;
    case CallerPhase::Working:
    case CallerPhase::Closed:
        break;
    }
    return Due::Nothing;
}

} // namespace mangoshift
