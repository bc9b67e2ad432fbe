#pragma once

#include <cstddef>
#include <span>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Returns whether at least `minParts` parts of a request can be in within `timeLeft`, where each
/// part waits for room as `waits` says, zero where there is room now, and then takes `callLatency`.
///
/// A part that need not wait is never held to be late: only queues are known well enough to refuse
/// a request for.
bool canFinishInTime(std::span<const Clock::duration> waits, Clock::duration callLatency,
                     Clock::duration timeLeft, std::size_t minParts);

} // namespace mangoshift
