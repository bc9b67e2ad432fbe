#pragma once

#include <cstddef>
#include <optional>

namespace mangoshift {

/// How many requests a cold target may get of all VMs together, beyond the rate that its service
/// states.
struct WarmupTerms
{
    /// In any second the target may get the stated rate times `overshoot`, plus `slack`.
    double overshoot = 1.0;
    double slack = 0.0;
    /// The number of failure domains, each of which grants its part of the limit by itself.
    std::size_t failureDomains = 1;

    /// Returns the limit, in requests a second, by which limit pools keep within these terms; no
    /// value if the service states no rate. It is never below `LimitPool::MinLimit`; where that
    /// applies, the domains may together grant more than the terms allow, one permit each.
    std::optional<double> limit(double rate) const;
};

} // namespace mangoshift
