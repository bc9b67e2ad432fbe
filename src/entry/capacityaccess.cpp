#include "entry/capacityaccess.h"

#include <memory>
#include <utility>

#include "entry/capacitywire.h"
#include "mangoshift/retrypool.h"

namespace mangoshift {

CapacityAccess::CapacityAccess(Member self, bool isEnabled, Sinks sinks, Metrics &metrics)
    : m_self(std::move(self))
    , m_isEnabled(isEnabled)
    , m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_view(std::make_shared<MemberView>())
{
    updateOwner();
}

void CapacityAccess::onMembers(MemberViewPtr view)
{
    m_view = std::move(view);
    updateOwner();
}

void CapacityAccess::onLeaving()
{
    m_self.isLeaving = true;
    updateOwner();
}

void CapacityAccess::updateOwner()
{
    m_owner = poolOwner(*m_view, m_self);
    m_pool.setIsOwner(m_isEnabled && m_owner == m_self.vm);
}

void CapacityAccess::report(const CapacityObservations &report, Clock::time_point now)
{
    if (!m_isEnabled)
        return;
    if (m_owner == m_self.vm) {
        m_pool.onReport(LocalLink, report.targets, now);
        onTick(now);
        return;
    }
    m_lastReportAt = now;
    count(report.targets.empty() ? "asked" : "sent");
    m_sinks.sendToVm(m_owner, makeFrame(toWire(report)));
}

void CapacityAccess::onTick(Clock::time_point now)
{
    const std::vector<TargetOutlook> news = m_pool.takeNews(now);
    if (news.empty())
        return;
    for (const CapacityPool::Reporter link : m_pool.reporters(now)) {
        if (link == LocalLink)
            m_sinks.onOutlooks({news});
        else
            m_sinks.sendOnLink(link, makeFrame(toWire(CapacityOutlooks{news})));
    }
}

bool CapacityAccess::onFrame(LinkId link, const wire::FrameT &frame, Clock::time_point now)
{
    if (const wire::CapacityReportT *report = frame.body.AsCapacityReport()) {
        const bool isTaken = m_pool.onReport(link, fromWire(*report).targets, now);
        count(isTaken ? "merged" : "ignored");
        onTick(now);
        return true;
    }
    const wire::CapacityNewsT *news = frame.body.AsCapacityNews();
    if (news == nullptr)
        return false;
    // Only what this VM has asked for is of use, and it has nothing to ask as the owner.
    if (m_isEnabled && m_owner != m_self.vm
        && now - m_lastReportAt < CapacityPool::ReporterLifetime)
        m_sinks.onOutlooks(fromWire(*news));
    return true;
}

void CapacityAccess::count(const char *outcome)
{
    m_metrics.capacityReports.Add({{"outcome", outcome}}).Increment();
}

} // namespace mangoshift
