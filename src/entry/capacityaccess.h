#pragma once

#include <functional>
#include <vector>

#include "base/metrics.h"
#include "duties/messages.h"
#include "mangoshift/capacitypool.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// Exchanges what the VMs of this failure domain observe of targets: merges it if this VM is the
/// pool owner, and sends it to the pool owner otherwise. Belongs to the registry duty's thread.
class CapacityAccess
{
public:
    /// The receivers of reports to another VM, of news to another VM, and of outlooks for this VM.
    struct Sinks
    {
        std::function<void(const VmId &, FramePtr)> sendToVm;
        std::function<void(LinkId, FramePtr)> sendOnLink;
        std::function<void(CapacityOutlooks)> onOutlooks;
    };

    /// Unless `isEnabled`, nothing is sent, and what other VMs send is ignored.
    CapacityAccess(Member self, bool isEnabled, Sinks sinks, Metrics &metrics);

    /// Updates the owner of the pool.
    void onMembers(MemberViewPtr view);
    /// Gives the pool up, as this VM leaves.
    void onLeaving();
    /// Reports what this VM has observed, at most every `CapacityRecorder::ReportInterval`.
    /// Outlooks arrive at `Sinks::onOutlooks`.
    void report(const CapacityObservations &report, Clock::time_point now);
    /// Sends the news that is due if this VM is the pool owner; to be called several times a
    /// second.
    void onTick(Clock::time_point now);
    /// Handles a frame that concerns the pool. Returns false for any other frame.
    bool onFrame(LinkId link, const wire::FrameT &frame, Clock::time_point now);
    const VmId &owner() const { return m_owner; }

private:
    void updateOwner();
    void count(const char *outcome);

    Member m_self;
    bool m_isEnabled;
    Sinks m_sinks;
    Metrics &m_metrics;
    CapacityPool m_pool;
    MemberViewPtr m_view;
    VmId m_owner;
    /// When this VM last reported to another VM, or asked it.
    Clock::time_point m_lastReportAt{};
};

} // namespace mangoshift
