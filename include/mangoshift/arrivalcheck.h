#pragma once

#include <cstddef>
#include <optional>
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

/// What is known in advance of how long a request will take.
struct DurationOutlook
{
    /// How long almost all requests of its kind take, with the wait for a target; zero if that is
    /// not known.
    Clock::duration usual{};
    /// How long the operator expects it to take.
    Clock::duration target{};
    /// How long the caller waits for it.
    Clock::duration timeLeft{};
};

/// Returns whether a VM that stops in `timeUntilStop` may take a new request: it is expected to be
/// finished by then, or its caller waits no longer. In the last moments none is taken.
bool canFinishBeforeStop(Clock::duration timeUntilStop, const DurationOutlook &request);

/// Whether a target of a shard can take a request, as far as a VM knows.
struct ShardOutlook
{
    bool isServable = true;
    /// When a shard that is not servable can be served again; no value if that is not known.
    std::optional<Clock::time_point> returnsAt;
};

/// Too few shards can be served for an answer.
struct CoverageGap
{
    /// When enough of them can be served again; no value if that is not known.
    std::optional<Clock::time_point> endsAt;
};

/// Returns the gap that prevents an answer of at least `minShards` shards; no value if enough
/// shards can be served.
std::optional<CoverageGap> findCoverageGap(std::span<const ShardOutlook> shards,
                                           std::size_t minShards);

} // namespace mangoshift
