#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "mangoshift/clock.h"
#include "mangoshift/limitpool.h"

namespace mangoshift {

/// What one VM has observed of a target since its last report.
struct TargetObservation
{
    LimitKey target = 0;
    /// The number of responses, and the mean logarithm of how many times as long as usual they
    /// took.
    std::uint32_t answers = 0;
    double logSlowness = 0.0;
    /// The number of requests that were lost or failed.
    std::uint32_t lost = 0;
    /// The number of requests that have become overdue since the last response.
    std::uint32_t overdue = 0;
    /// The time since the newest event.
    std::chrono::milliseconds age{0};

    bool operator==(const TargetObservation &) const = default;
};

/// What the VMs of a failure domain know together of a target.
struct TargetOutlook
{
    /// An outlook is of no use any more at this age.
    static constexpr std::chrono::milliseconds Lifetime{2000};
    /// The evidence halves in weight in this time.
    static constexpr std::chrono::milliseconds HalfLife{1000};
    /// The greatest slowness that is told apart, and its inverse the least.
    static constexpr double MaxSlowness = 20.0;

    LimitKey target = 0;
    /// How many times as long as usual responses take.
    double slowness = 1.0;
    /// The share of requests that are lost, 0 to 1.
    double lossRate = 0.0;
    /// The weight of the evidence, in responses.
    double weight = 0.0;
    /// Whether the target has stopped responding.
    bool isUnresponsive = false;
    /// The time since the newest evidence.
    std::chrono::milliseconds age{0};

    /// Returns whether the outlook says anything that needs attention.
    bool isUnusual() const { return isUnresponsive || slowness != 1.0 || lossRate > 0.0; }

    bool operator==(const TargetOutlook &) const = default;
};

/// Responses that take this many times as long as usual are evidence that a target is slow. Shared
/// machines make work take 2.5 times as long for a moment, which is over before VMs could tell.
constexpr double SlowRatio = 3.0;

/// The estimated size of a frame with this many observations or outlooks, in bytes.
constexpr double capacityFrameBytes(std::size_t targets)
{
    return 64.0 + 16.0 * static_cast<double>(targets);
}

/// Returns the share, 0 to 1, that evidence of this age keeps of its weight.
double outlookDecay(Clock::duration age);

} // namespace mangoshift
