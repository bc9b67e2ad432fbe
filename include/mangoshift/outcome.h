#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "mangoshift/document.h"
#include "mangoshift/verdict.h"

namespace mangoshift {

/// The version of a service's indexes; greater is newer, zero means none or any.
using SnapshotId = std::uint64_t;

/// The range of snapshots that a replica serves at one moment, both ends included.
struct SnapshotRange
{
    SnapshotId oldest = 0;
    SnapshotId newest = 0;

    bool isKnown() const { return newest != 0; }
    bool contains(SnapshotId id) const { return oldest <= id && id <= newest; }
    bool operator==(const SnapshotRange &) const = default;
};

/// The result of one shard's request, or the reason why there is none.
struct ShardOutcome
{
    ShardKey shard;
    Verdict verdict;
    /// The snapshot that the rows come from; zero if there are no rows.
    SnapshotId snapshot = 0;
    /// The snapshots that the replica reported to hold; unknown if no replica reported any.
    SnapshotRange held;
    /// A JSON array of rows for a query, the target's response for a submission; empty on failure.
    std::string rows;
    /// How many requests the home sent to targets for this outcome beyond the first.
    std::uint32_t extraRequests = 0;
};

/// A caller's request in the form that is sent to shards. Immutable, as all shard requests share
/// it.
struct RequestBody
{
    /// Identifies the request in the logs of every process that handles it.
    std::string requestId;
    std::string service;
    /// The caller's `traceparent` header, forwarded unchanged.
    std::string traceparent;
    /// The caller's JSON, forwarded unchanged to the targets.
    std::string body;
    /// The ticket of a submission, sent to the target as `Idempotency-Key`; empty for a query.
    std::string idempotencyKey;
    std::uint8_t priority = 0;
    bool isIdempotent = true;
};

} // namespace mangoshift
