#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Decides when a listener that failed to take a connection tries again, and
/// how often that is logged.
///
/// A connection that can't be taken, as the process has no file descriptor
/// left, stays ready to be taken: a listener that tries again at once does
/// nothing else. Not thread-safe.
class AcceptPause
{
public:
    /// How long the listener waits after a failure.
    static constexpr std::chrono::milliseconds Pause{100};
    static constexpr std::chrono::seconds LogInterval{1};

    /// Records a failure. Returns how many there were since the last one that was
    /// logged, with this one, if this one is to be logged.
    std::optional<std::uint64_t> onFailed(Clock::time_point now);
    /// Returns the number of failures since the start.
    std::uint64_t failures() const { return m_failures; }

private:
    std::uint64_t m_failures = 0;
    std::uint64_t m_loggedFailures = 0;
    std::optional<Clock::time_point> m_loggedAt;
};

} // namespace mangoshift
