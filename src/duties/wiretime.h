#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Returns an instant of this process's clock as frames carry it, in microseconds.
inline std::uint64_t toWireTime(Clock::time_point at)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count());
}

/// Returns the instant that a frame of this process carries.
inline Clock::time_point fromWireTime(std::uint64_t microseconds)
{
    return Clock::time_point(std::chrono::microseconds(static_cast<std::int64_t>(microseconds)));
}

/// Returns how long is left from `now` until `deadline` as frames carry it, in microseconds, zero
/// where it has passed.
inline std::uint32_t toWireTimeLeft(Clock::time_point deadline, Clock::time_point now)
{
    const auto left = std::chrono::duration_cast<std::chrono::microseconds>(deadline - now);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 0));
}

} // namespace mangoshift
