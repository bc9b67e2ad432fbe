#include "mangoshift/arrivalcheck.h"

#include <algorithm>

namespace mangoshift {

bool canFinishInTime(std::span<const Clock::duration> waits, Clock::duration callLatency,
                     Clock::duration timeLeft, std::size_t minParts)
{
    const auto inTime = std::count_if(waits.begin(), waits.end(), [&](Clock::duration wait) {
        return wait <= Clock::duration::zero() || wait + callLatency <= timeLeft;
    });
    return static_cast<std::size_t>(inTime) >= minParts;
}

} // namespace mangoshift
