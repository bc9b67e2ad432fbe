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

/// Runs an entry VM of the `serve` subcommand: owns its duties and connects them to each other.
class ServeVm
{
public:
    explicit ServeVm(const Settings &settings);
    ~ServeVm();
    ServeVm(const ServeVm &) = delete;
    ServeVm &operator=(const ServeVm &) = delete;

    /// Starts all duties. If the VM cannot listen on an address, logs its setting and returns
    /// false.
    bool start();
    /// Stops gracefully: pending requests are finished first, within the stop timeout.
    void stop();

private:
    /// Leaves the membership, and waits until no request is pending or the stop timeout has passed.
    void drain();
    bool isIdle() const;
    /// Sends a frame to a VM; frames to this VM go directly to its home duty. Returns false if the
    /// frame was not queued.
    bool sendFrame(const VmId &vm, FramePtr frame);
    void onPeerFrame(PeerFrame received);
    void onHomeReplies(LinkId link, wire::ShardRepliesT replies);
    void onReplies(PeerReplies replies);
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
