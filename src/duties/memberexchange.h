#pragma once

#include <cstdint>
#include <functional>

#include <asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "base/metrics.h"
#include "duties/heartbeatsocket.h"
#include "duties/messages.h"
#include "mangoshift/membership.h"

namespace mangoshift {

/// Returns a random number that identifies this run of the process, for `Member::incarnation`.
std::uint64_t randomIncarnation();

/// The functions through which the exchange sends frames and reports changes to its duty.
struct MemberSinks
{
    std::function<void(MemberViewPtr)> onView;
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
    /// Called after each heartbeat has been processed.
    std::function<void(const HeartbeatMessage &)> onHeartbeatReceived;
};

/// Runs `Membership`: exchanges heartbeats over UDP and whole member tables as frames, and logs
/// state changes of members. Must be used on the thread that runs its `io_context`.
class MemberExchange
{
public:
    /// Throws `asio::system_error` if the heartbeat address cannot be bound.
    MemberExchange(asio::io_context &io, const Address &address, Member self,
                   const MembershipOptions &options, MemberSinks sinks, Metrics &metrics);

    void start();
    /// Must be called every `MembershipOptions::tickInterval`.
    void onTick();
    /// Handles a frame about members. Returns false, and does nothing, for any other frame.
    bool onFrame(LinkId link, const wire::FrameT &frame);
    void onMemberList(const std::vector<Member> &listed, Clock::time_point requestedAt);
    /// Marks the view of the members as stale until this VM receives the ack of a ping that it
    /// sends from now on, or a platform list that it requests from now on.
    void onPaused();
    /// Notifies the other VMs that this VM is leaving.
    void leave();
    /// Pings some VMs of other failure domains at once.
    void pingOtherDomains() { perform(m_membership.pingOtherDomains()); }
    /// Marks this VM as serving, because it has a configuration in force.
    void startServing();
    /// Announces at once, to `vm` and some other VMs, that this VM now holds `version`; see
    /// `AnnounceConfig`.
    void announce(const VmId &vm, ConfigVersion version);

    const Membership &membership() const { return m_membership; }
    nlohmann::json stateJson() const;

private:
    void perform(MembershipActions actions);

    MemberSinks m_sinks;
    Metrics &m_metrics;
    HeartbeatSocket m_heartbeats;
    Membership m_membership;
};

} // namespace mangoshift
