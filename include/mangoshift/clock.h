#pragma once

#include <chrono>

namespace mangoshift {

/// The clock that every part of mangoshift reads.
///
/// It follows the system's monotonic clock, in nanoseconds, and meets the standard's `TrivialClock`
/// requirements, so that timers can be built on it. Tests pause and advance it with `PausedClock`.
/// All functions may be called from any thread.
class Clock
{
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<Clock>;
    static constexpr bool is_steady = true;

    /// Returns the current time, or the time of the paused clock.
    static time_point now() noexcept;
};

/// Pauses `Clock` for the lifetime of the object. Only one such object may exist at a time.
///
///     PausedClock clock;
///     clock.advance(std::chrono::milliseconds(20));
class PausedClock
{
public:
    PausedClock();
    ~PausedClock();
    PausedClock(const PausedClock &) = delete;
    PausedClock &operator=(const PausedClock &) = delete;

    /// Moves the paused clock forward by `step`.
    void advance(Clock::duration step);
};

} // namespace mangoshift
