#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Converts a time of this process's clock to its wire form, in microseconds.
inline std::uint64_t toWireTime(Clock::time_point at)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count());
}

/// Converts a wire time, in microseconds, that was written by this process to a time of its clock.
inline Clock::time_point fromWireTime(std::uint64_t microseconds)
{
    return Clock::time_point(std::chrono::microseconds(static_cast<std::int64_t>(microseconds)));
}

/// Returns the remaining time from `now` until `deadline` in wire form, in microseconds; zero if
/// the deadline has passed.
inline std::uint32_t toWireTimeLeft(Clock::time_point deadline, Clock::time_point now)
{
    const auto timeLeft = std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(timeLeft.count(), 0));
}

} // namespace mangoshift
