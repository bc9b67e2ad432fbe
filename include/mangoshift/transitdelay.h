#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Estimates how long messages from another process were delayed in transit, without a common
/// clock.
///
/// The fastest message of the last one to two minutes gives the offset between the two clocks, so
/// that clock drift does not accumulate. A message that was delayed, by a network outage or in the
/// buffers of a paused process, arrives later than that offset predicts. Without an earlier round
/// trip, the first message counts as not delayed. Not thread safe.
class TransitDelay
{
public:
    /// Records a message that carries its sender's time, since any epoch. Returns how much longer
    /// it took than the fastest one.
    std::chrono::microseconds onMessage(std::chrono::microseconds sentAt,
                                        Clock::time_point receivedAt);
    /// Records a round trip: a request sent at `requestedAt` got its reply at `repliedAt` on the
    /// other process's clock, since any epoch. Later delays are overestimated by at most the
    /// transit time of the request, and never underestimated.
    void onRoundTrip(Clock::time_point requestedAt, std::chrono::microseconds repliedAt);
    /// Returns whether the offset to the other process's clock has been sampled.
    bool hasSample() const { return m_smallestOffset.has_value(); }

private:
    void addOffset(std::chrono::microseconds offset, Clock::time_point now);

    Clock::time_point m_windowStart;
    std::optional<std::chrono::microseconds> m_smallestOffset;
    std::optional<std::chrono::microseconds> m_previousSmallestOffset;
};

} // namespace mangoshift
