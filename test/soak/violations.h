#pragma once

#include <string>
#include <vector>

#include "soak/evidence.h"

namespace mangoshift::soak {

/// A promise that was broken, with the request or process that shows it.
struct Violation
{
    std::string invariant;
    std::string detail;
};

/// Which promises a run is held to.
enum class Strictness {
    Safety, ///< What must hold whatever the machine does.
    Timed, ///< Also what has to happen within a stated time; for a machine with time to spare.
};

/// Holds a run's evidence against what must always hold. Returns all that was broken.
std::vector<Violation> findViolations(const Evidence &evidence, Strictness strictness);

} // namespace mangoshift::soak
