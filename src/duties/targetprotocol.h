#pragma once

#include <cstdint>
#include <string>

#include "http/httpexchange.h"
#include "mangoshift/clock.h"
#include "mangoshift/outcome.h"
#include "mangoshift/slotscheduler.h"
#include "net/targetpool.h"

namespace mangoshift {

/// Returns the name of a call, which no other call of any VM has.
std::string formatCallId(std::uint64_t incarnation, CallId call);

/// Returns the HTTP request that asks a target for one shard, as docs/PROTOCOLS.md has it.
HttpRequest toTargetRequest(const ShardRequest &request, const std::string &shard,
                            Clock::time_point now);

/// Returns what an exchange with a target means. The verdict is `NotRun` only where no byte was
/// sent or the target itself said that it refused the request unrun.
CallOutcome toCallOutcome(const HttpResult &result);

} // namespace mangoshift
