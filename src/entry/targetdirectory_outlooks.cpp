// The part of the target directory that shares what this VM sees of targets with its failure
// domain.

#include <utility>

#include "entry/targetdirectory.h"
#include "http/httpstatus.h"

namespace mangoshift {

void TargetDirectory::recordForPool(const TargetHandle &target, Clock::duration expected,
                                    const TargetCallResult &reply, Clock::time_point now)
{
    if (!m_policies.sharesCapacity || reply.end == TargetCallResult::End::Unsent)
        return;
    const bool hasResponded = reply.end == TargetCallResult::End::Responded;
    const int status = reply.response.status;
    // The response of another target at the address says nothing about this one.
    if (hasResponded && status == httpstatus::MisdirectedRequest)
        return;
    const bool isRefused = hasResponded
        && (status == httpstatus::ServiceUnavailable || status == httpstatus::TooManyRequests);
    if (isRefused)
        m_recorder.onResponded(target.limitKey, now);
    else if (!hasResponded || isSpoilt(reply.response, m_adapter.headers))
        m_recorder.onLost(target.limitKey, now);
    else
        m_recorder.onAnswered(target.limitKey, now - reply.sentAt, expected, now);
}

void TargetDirectory::reportCapacity(Clock::time_point now)
{
    if (!m_policies.sharesCapacity || !m_reportCapacity)
        return;
    if (auto report = m_recorder.takeReport(now))
        m_reportCapacity({std::move(*report)});
    m_metrics.targetsUnresponsive.Set(static_cast<double>(m_recorder.unresponsiveTargets(now)));
}

void TargetDirectory::onOutlooks(const CapacityOutlooks &outlooks, Clock::time_point now)
{
    if (!m_policies.sharesCapacity)
        return;
    for (const TargetOutlook &outlook : outlooks.targets) {
        const auto target = m_byLimitKey.find(outlook.target);
        if (target == m_byLimitKey.end())
            continue;
        m_recorder.onOutlook(outlook, now);
        target->second->load.onOutlook(outlook, now);
    }
}

} // namespace mangoshift
