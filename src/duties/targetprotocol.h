#pragma once

#include <cstdint>
#include <string>

#include "http/httpexchange.h"
#include "mangoshift/clock.h"
#include "mangoshift/outcome.h"
#include "mangoshift/slotscheduler.h"
#include "net/targetpool.h"

namespace mangoshift {

/// Returns the id of a call, which is unique among the calls of all VMs.
std::string formatCallId(std::uint64_t incarnation, CallId call);

/// Returns the HTTP request to a target for one shard; docs/PROTOCOLS.md describes its format.
HttpRequest toTargetRequest(const ShardRequest &request, const std::string &shard,
                            Clock::time_point now);

/// Interprets the result of an HTTP exchange with a target. The verdict is `NotRun` only if no byte
/// was sent or the target itself reported that it refused the request without running it.
CallOutcome toCallOutcome(const HttpResult &result);

} // namespace mangoshift
