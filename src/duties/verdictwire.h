#pragma once

#include <cstdint>

#include "mangoshift/verdict.h"

namespace mangoshift {

/// Returns the verdict of another VM's reply. One whose execution or reason this release does not
/// know proves nothing: its request may have run.
Verdict verdictFromWire(std::uint8_t execution, std::uint8_t reason, std::uint32_t retryAfterMs);

} // namespace mangoshift
