#pragma once

#include <memory>

#include "base/metrics.h"
#include "config/settings.h"
#include "duties/callerduty.h"
#include "duties/controlduty.h"
#include "duties/homeduty.h"
#include "duties/peerduty.h"
#include "duties/queryduty.h"
#include "duties/reportduty.h"
#include "duties/submitroutes.h"
#include "duties/ticketduty.h"

namespace mangoshift {

/// One entry VM's process: all its duties, joined.
class ServeVm
{
public:
    explicit ServeVm(const Settings &settings);
    ~ServeVm();
    ServeVm(const ServeVm &) = delete;
    ServeVm &operator=(const ServeVm &) = delete;

    /// Starts every duty. Returns false, having logged why, where an address is taken.
    bool start();
    /// Stops gracefully: requests at hand are answered first.
    void stop();

private:
    void drain();
    bool isIdle() const;
    bool sendFrame(const VmId &vm, FramePtr frame);
    void onPeerFrame(LinkId link, FramePtr frame, Clock::time_point arrivedAt);
    void onHomeReplies(LinkId link, wire::ShardRepliesT replies);
    void onReplies(wire::ShardRepliesT replies);
    ReportSources reportSources();

    Settings m_settings;
    Member m_self;
    Metrics m_metrics;
    bool m_isStarted = false;
    std::unique_ptr<PeerDuty> m_peers;
    std::unique_ptr<HomeDuty> m_homes;
    std::unique_ptr<QueryDuty> m_queries;
    std::unique_ptr<TicketDuty> m_tickets;
    std::unique_ptr<SubmitRoutes> m_submitRoutes;
    std::unique_ptr<CallerDuty> m_callers;
    std::unique_ptr<ControlDuty> m_control;
    std::unique_ptr<ReportDuty> m_report;
};

} // namespace mangoshift
