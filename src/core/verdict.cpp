#include "mangoshift/verdict.h"

#include <array>
#include <cstddef>

namespace mangoshift {

namespace {

constexpr std::array<std::string_view, 3> ExecutionNames{"not_run", "may_have_run", "ran"};
constexpr std::array<std::string_view, 16> ReasonNames{
    "ok",          "deadline_exceeded", "lost",           "refused",       "overloaded",
    "draining",    "no_replica",        "unknown_shard",  "snapshot_gone", "bad_reply",
    "failed",      "bad_request",       "unknown_ticket", "not_ready",     "cancelled",
    "budget_spent"};

} // namespace

std::string_view toString(Execution execution)
{
    return ExecutionNames.at(static_cast<std::size_t>(execution));
}

std::string_view toString(Reason reason)
{
    return ReasonNames.at(static_cast<std::size_t>(reason));
}

} // namespace mangoshift
