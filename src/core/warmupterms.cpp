#include "mangoshift/warmupterms.h"

#include <algorithm>
#include <chrono>

#include "mangoshift/limitpool.h"
#include "mangoshift/targetlimit.h"

namespace mangoshift {

std::optional<double> WarmupTerms::limit(double rate) const
{
    if (!(rate > 0.0))
        return std::nullopt;
    // What may arrive in one second: what becomes due in it, what the pools hold from before, and
    // permits of the time before that have not been used. Besides, each pool may hold one permit.
    const std::chrono::duration<double> span =
        std::chrono::seconds(1) + LimitPool::MaxBurst + PermitLifetime;
    const double bound = rate * overshoot + slack - static_cast<double>(failureDomains);
    return std::max(std::min(rate, bound / span.count()), LimitPool::MinLimit);
}

} // namespace mangoshift
