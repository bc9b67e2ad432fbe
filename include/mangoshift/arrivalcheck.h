#pragma once

#include <cstddef>
#include <span>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Returns whether at least `minParts` parts of a request can finish within `timeLeft`.
///
/// `waits` holds for each part how long it waits for a free slot, zero if a slot is free now. The
/// part then takes `callLatency`. A part that does not wait always counts as in time, because only
/// the queueing delay is known well enough to refuse a request.
bool canFinishInTime(std::span<const Clock::duration> waits, Clock::duration callLatency,
                     Clock::duration timeLeft, std::size_t minParts);

} // namespace mangoshift
