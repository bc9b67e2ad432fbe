#pragma once

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "base/metrics.h"
#include "config/settings.h"
#include "duties/configexchange.h"
#include "duties/memberexchange.h"
#include "duties/messages.h"
#include "duties/platformwatcher.h"

namespace mangoshift {

/// The functions through which the control duty reports changes and sends frames. They are called
/// on its thread.
struct ControlSinks
{
    std::function<void(DocumentPtr)> onDocument;
    std::function<void(MemberViewPtr)> onMembers;
    std::function<void(ConfigConfirmed)> onConfigConfirmed;
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
};

/// The duty that tracks the configuration in force and the live VMs. It feeds heartbeats, frames
/// and responses of the platform to the `MemberExchange` and the `ConfigExchange`.
class ControlDuty
{
public:
    /// Throws `asio::system_error` if the heartbeat address cannot be bound.
    ControlDuty(const Settings &settings, Member self, ControlSinks sinks, Metrics &metrics);
    ~ControlDuty();
    ControlDuty(const ControlDuty &) = delete;
    ControlDuty &operator=(const ControlDuty &) = delete;

    void start();
    void stop();
    /// Notifies other VMs that this VM is leaving; `isReady` is false from now on. Safe to call
    /// from any thread.
    void startLeaving();
    /// Returns true if a configuration is in force, the VM has joined, its view of the members is
    /// current and it is not leaving. Safe to call from any thread.
    bool isReady() const { return m_isReady && !m_isLeaving; }
    /// Returns false if the ring is full.
    bool tryPost(ControlMessage message) { return m_duty.tryPostMessage(message); }
    /// Posts a message that is never rejected; see `Duty::postLatest`.
    template <typename Kind>
    void postLatest(Kind value)
    {
        m_duty.postLatest(std::move(value));
    }

private:
    void handle(ControlMessage &message);
    void onFrame(ControlFrame &message);
    void onPlatformList(const PlatformList &message);
    void onProcessPaused(const ProcessPaused &message);
    void confirmConfigIfNewest();
    void onHeartbeat(const HeartbeatMessage &message);
    void onTick();
    void armTickTimer();
    void announce(const VmId &vm, ConfigVersion version);
    void updateReadiness();
    void updatePlatformPlan();
    void countFrame(const wire::FrameT &frame, prometheus::Counter &bytes);
    void sendToVm(const VmId &vm, FramePtr frame);
    void sendOnLink(LinkId link, FramePtr frame);
    std::string stateJson() const;

    Member m_self;
    ControlSinks m_sinks;
    Metrics &m_metrics;
    Duty<ControlMessage> m_duty;
    asio::basic_waitable_timer<Clock> m_tickTimer;
    MemberExchange m_members;
    ConfigExchange m_config;
    prometheus::Counter &m_bytesIn;
    prometheus::Counter &m_bytesOut;
    /// The last pause, until the configuration in force is confirmed to be the newest.
    std::optional<ProcessPaused> m_unconfirmedPause;
    bool m_hasJoined = false;
    Clock::time_point m_joinedAt;
    std::atomic<bool> m_isReady{false};
    std::atomic<bool> m_isLeaving{false};
    PlatformWatcher m_platform;
};

} // namespace mangoshift
