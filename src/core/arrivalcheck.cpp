#include "mangoshift/arrivalcheck.h"

#include <algorithm>

namespace mangoshift {

bool canBeInTime(std::span<const Clock::duration> waits, Clock::duration callLatency,
                 Clock::duration timeLeft, std::size_t leastParts)
{
    const auto inTime = std::count_if(waits.begin(), waits.end(), [&](Clock::duration wait) {
        return wait <= Clock::duration::zero() || wait + callLatency <= timeLeft;
    });
    return static_cast<std::size_t>(inTime) >= leastParts;
}

} // namespace mangoshift
