// The part of the target directory that learns how much load targets handle well.

#include <chrono>
#include <string>

#include "base/log.h"
#include "entry/targetdirectory.h"

namespace mangoshift {

namespace {

/// A fifth of the time for which a change must last. With the 2,800 targets of the largest
/// deployment, a review at each sweep would cost more than it tells.
constexpr std::chrono::milliseconds ReviewInterval{200};

} // namespace

void TargetDirectory::setPolicies(const TargetPolicies &policies)
{
    m_policies = policies;
    for (const auto &[id, handle] : m_byId)
        handle->load.setLearnsCapacity(policies.learnsCapacity);
    if (!policies.learnsCapacity)
        m_metrics.targetsSlow.Set(0);
}

void TargetDirectory::reviewCapacities(Clock::time_point now)
{
    if (!m_policies.learnsCapacity || now - m_capacitiesReviewedAt < ReviewInterval)
        return;
    m_capacitiesReviewedAt = now;
    std::size_t slowTargets = 0;
    for (const auto &[id, handle] : m_byId) {
        const bool hasChanged = handle->load.updateSlow(now);
        const bool isSlow = handle->load.capacity()->isSlow();
        slowTargets += isSlow ? 1 : 0;
        if (hasChanged)
            logEvent(LogLevel::Info, isSlow ? "target_slower" : "target_recovered",
                     {{"target", id},
                      {"service", handle->info.service},
                      {"slowness", std::to_string(handle->load.slowness(now))},
                      {"capacity", std::to_string(handle->load.capacity()->concurrency())}});
    }
    m_metrics.targetsSlow.Set(static_cast<double>(slowTargets));
}

} // namespace mangoshift
