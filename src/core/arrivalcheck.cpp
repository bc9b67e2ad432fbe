#include "mangoshift/arrivalcheck.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace mangoshift {

namespace {

/// So shortly before a stop any delay of the VM or of a target would cut a request off.
constexpr std::chrono::milliseconds LastMoments{500};

} // namespace

bool canFinishBeforeStop(Clock::duration timeUntilStop, const DurationOutlook &request)
{
    if (timeUntilStop <= LastMoments)
        return false;
    const Clock::duration expected =
        request.usual > Clock::duration::zero() ? request.usual : request.target;
    return std::min(expected, request.timeLeft) <= timeUntilStop;
}

bool canFinishInTime(std::span<const Clock::duration> waits, Clock::duration callLatency,
                     Clock::duration timeLeft, std::size_t minParts)
{
    const auto inTime = std::count_if(waits.begin(), waits.end(), [&](Clock::duration wait) {
        return wait <= Clock::duration::zero() || wait + callLatency <= timeLeft;
    });
    return static_cast<std::size_t>(inTime) >= minParts;
}

std::optional<CoverageGap> findCoverageGap(std::span<const ShardOutlook> shards,
                                           std::size_t minShards)
{
    std::size_t servable = 0;
    std::vector<Clock::time_point> returns;
    for (const ShardOutlook &shard : shards) {
        if (shard.isServable)
            ++servable;
        else if (shard.returnsAt)
            returns.push_back(*shard.returnsAt);
    }
    if (servable >= minShards)
        return std::nullopt;
    const std::size_t lacking = minShards - servable;
    if (returns.size() < lacking)
        return CoverageGap{};
    const auto last = returns.begin() + static_cast<std::ptrdiff_t>(lacking - 1);
    std::nth_element(returns.begin(), last, returns.end());
    return CoverageGap{*last};
}

} // namespace mangoshift
