#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace mangoshift {

/// Tells whether a target ran a request.
///
/// After `NotRun` only, a caller may safely repeat a request that is not idempotent.
enum class Execution : std::uint8_t { NotRun, MayHaveRun, Ran };

/// The reason why a request, or the part of it that one shard serves, ended as it did.
enum class Reason : std::uint8_t {
    Ok, ///< The target sent a valid response.
    DeadlineExceeded, ///< The deadline passed before the request was done.
    Lost, ///< The connection or the process that handled the request was lost.
    Refused, ///< The target, or a limit in front of it, refused to run the request.
    Overloaded, ///< Refused: a limit is reached, or a duty's ring or the ledger is full.
    Draining, ///< The target or the VM is leaving and accepts no new requests.
    NoReplica, ///< No live replica, or no home VM for one, is known.
    UnknownShard, ///< The shard is not in the configuration of the VM that got the request.
    SnapshotGone, ///< No reachable replica serves the snapshot that the query is pinned to.
    BadReply, ///< The target sent an invalid response.
    Failed, ///< The target reported an error after it had started the request.
    BadRequest, ///< The request itself is invalid.
    UnknownTicket, ///< The ticket was not issued here, has expired, or its issuer is lost.
    NotReady, ///< The VM has no configuration or no members yet, or its home is suspended.
    Cancelled, ///< The requester no longer needs the result.
    BudgetSpent, ///< The budget for extra requests to the service is spent.
};

/// Whether a request ran, and why it ended as it did.
struct Verdict
{
    Execution execution = Execution::NotRun;
    Reason reason = Reason::Ok;
    /// How long the caller of a refused request is to wait before it retries; zero if unspecified.
    std::chrono::milliseconds retryAfter{0};

    /// Returns whether the request ran and its result is available.
    bool isOk() const { return execution == Execution::Ran && reason == Reason::Ok; }
    bool operator==(const Verdict &) const = default;
};

/// Returns the name used in responses, logs and metrics, such as `may_have_run`.
std::string_view toString(Execution execution);
/// Returns the name used in responses, logs and metrics, such as `deadline_exceeded`.
std::string_view toString(Reason reason);

} // namespace mangoshift
