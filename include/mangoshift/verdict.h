#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

namespace mangoshift {

/// Says whether a request may have reached a target's execution.
///
/// A caller may safely send a request that is not idempotent again only after `NotRun`.
enum class Execution : std::uint8_t { NotRun, MayHaveRun, Ran };

/// Says why a request, or the part of it that one shard answers, ended as it did.
enum class Reason : std::uint8_t {
    Ok, ///< The target answered.
    DeadlineExceeded, ///< The deadline passed first.
    Lost, ///< The connection or the process that held the request was lost.
    Refused, ///< The target, or a limit in front of it, refused the request unrun.
    Overloaded, ///< An admission limit or a full ring refused the request unrun.
    Draining, ///< The target or the VM is leaving and takes no new work.
    NoReplica, ///< No live replica, or no VM that is home to one, is known.
    UnknownShard, ///< The shard is not in the configuration of the VM that was asked.
    SnapshotGone, ///< No reachable replica serves the snapshot that the query is pinned to.
    BadReply, ///< The target answered with something that is not a valid reply.
    Failed, ///< The target reported an error after it had begun the request.
    BadRequest, ///< The request itself is at fault.
    UnknownTicket, ///< The ticket was not issued here, has expired, or its issuer is gone.
    NotReady, ///< The VM has no configuration yet.
    Cancelled, ///< The asker no longer needs the answer.
    BudgetSpent, ///< The budget for extra requests to the service has no room for a further one.
};

/// The outcome of a request as far as its execution is concerned.
struct Verdict
{
    Execution execution = Execution::NotRun;
    Reason reason = Reason::Ok;
    /// When a refused request may come back; zero where there is no advice.
    std::chrono::milliseconds retryAfter{0};

    /// Returns true where the request ran and its answer is at hand.
    bool isOk() const { return execution == Execution::Ran && reason == Reason::Ok; }
    bool operator==(const Verdict &) const = default;
};

/// Returns the name used in answers, logs and metrics, such as `may_have_run`.
std::string_view toString(Execution execution);
/// Returns the name used in answers, logs and metrics, such as `deadline_exceeded`.
std::string_view toString(Reason reason);

} // namespace mangoshift
