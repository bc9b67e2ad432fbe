#pragma once

#include <cstdint>
#include <functional>

namespace mangoshift {

/// Identifies one batch of shard requests sent to one home; unique within this VM's incarnation.
using ExchangeId = std::uint64_t;

/// Returns a new exchange id with each call.
using ExchangeIdGenerator = std::function<ExchangeId()>;

} // namespace mangoshift
