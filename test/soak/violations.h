#pragma once

#include <string>
#include <vector>

#include "soak/evidence.h"

namespace mangoshift::soak {

/// A violated invariant, with the request or process that shows the violation.
struct Violation
{
    std::string invariant;
    std::string detail;
};

/// The invariants that are checked after a run.
enum class Strictness {
    Safety, ///< Invariants that hold however slow the machine is.
    Timed, ///< Also the time bounds; needs a machine with processor time to spare.
};

/// Checks the evidence of a run against the invariants, and returns all violations.
std::vector<Violation> findViolations(const Evidence &evidence, Strictness strictness);

} // namespace mangoshift::soak
