#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "base/metrics.h"
#include "config/settings.h"
#include "duties/configexchange.h"
#include "duties/memberexchange.h"
#include "duties/messages.h"
#include "duties/platformwatcher.h"

namespace mangoshift {

/// Where the control duty says what changed, and sends its frames. Called on its thread.
struct ControlSinks
{
    std::function<void(DocumentPtr)> onDocument;
    std::function<void(MemberViewPtr)> onMembers;
    std::function<void(ConfigConfirmed)> onConfigConfirmed;
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
};

/// The duty that learns the configuration in force and the live VMs: it runs the `MemberExchange`
/// and the `ConfigExchange` on heartbeats, frames and what the platform says.
class ControlDuty
{
public:
    /// Throws `asio::system_error` where the address for heartbeats is taken.
    ControlDuty(const Settings &settings, Member self, ControlSinks sinks, Metrics &metrics);
    ~ControlDuty();
    ControlDuty(const ControlDuty &) = delete;
    ControlDuty &operator=(const ControlDuty &) = delete;

    void start();
    void stop();
    /// Says to other VMs that this one leaves; from then on it is not ready. Any thread may ask.
    void startLeaving();
    /// Whether a configuration is in force and the VM trusts its view. Any thread may ask.
    bool isReady() const { return m_isReady && !m_isLeaving; }
    /// Returns false where the ring is full.
    bool tryPost(ControlMessage message) { return m_duty.tryPostMessage(message); }

private:
    void handle(ControlMessage &message);
    void onFrame(ControlFrame &message);
    void onMemberList(const PlatformList &message);
    void onHomesPaused(const ProcessPaused &message);
    void confirmConfig();
    void onPeerHeartbeat(const HeartbeatMessage &message);
    void onTick();
    void armTick();
    void announce(const VmId &vm, ConfigVersion version);
    void updateReadiness();
    void updatePlan();
    void countFrame(const wire::FrameT &frame, prometheus::Counter &bytes);
    void sendToVm(const VmId &vm, FramePtr frame);
    void sendOnLink(LinkId link, FramePtr frame);
    std::string stateJson() const;

    Member m_self;
    ControlSinks m_sinks;
    Metrics &m_metrics;
    Duty<ControlMessage> m_duty;
    asio::basic_waitable_timer<Clock> m_tick;
    MemberExchange m_members;
    ConfigExchange m_config;
    prometheus::Counter &m_bytesIn;
    prometheus::Counter &m_bytesOut;
    /// Set while the homes wait to hear that the configuration in force is the newest.
    std::optional<ProcessPaused> m_unconfirmed;
    bool m_hasJoined = false;
    Clock::time_point m_joinedAt;
    std::atomic<bool> m_isReady{false};
    std::atomic<bool> m_isLeaving{false};
    PlatformWatcher m_platform;
};

} // namespace mangoshift
