#pragma once

#include <cstdint>
#include <functional>

namespace mangoshift {

/// Names one sending of shards to one home, unique in this VM's incarnation.
using ExchangeId = std::uint64_t;

/// Gives out exchange ids.
using ExchangeIdGenerator = std::function<ExchangeId()>;

} // namespace mangoshift
