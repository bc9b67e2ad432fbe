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

/// Returns a number that tells this start of the process from others, for `Member::incarnation`.
std::uint64_t randomIncarnation();

/// What the exchange asks of its duty.
struct MemberSinks
{
    std::function<void(MemberViewPtr)> onView;
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
    /// Called after each heartbeat, once it has been taken in.
    std::function<void(const HeartbeatMessage &)> onPeerHeartbeat;
};

/// Runs `Membership`: carries heartbeats over UDP and whole tables as frames, and logs who lives.
/// Belongs to the thread that runs its `io_context`.
class MemberExchange
{
public:
    /// Throws `asio::system_error` where the address for heartbeats is taken.
    MemberExchange(asio::io_context &io, const Address &address, Member self,
                   const MembershipOptions &options, MemberSinks sinks, Metrics &metrics);

    void start();
    /// To be called every `MembershipOptions::tick`.
    void onTick();
    /// Takes a frame about members. Returns false where it is about something else.
    bool onFrame(LinkId link, const wire::FrameT &frame);
    void onMemberList(const std::vector<Member> &listed, Clock::time_point askedAt);
    void onPaused();
    void leave();
    /// Pings some VMs of other failure domains at once.
    void pingOtherDomains() { perform(m_membership.pingOtherDomains()); }
    /// Says that this VM has a configuration in force.
    void startServing();
    /// Tells some VMs at once that this VM holds another version; see `AnnounceConfig`.
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
