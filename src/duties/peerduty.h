#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <asio/basic_waitable_timer.hpp>
#include <asio/ip/tcp.hpp>

#include "base/address.h"
#include "base/duty.h"
#include "duties/messages.h"
#include "mangoshift/transitdelay.h"

namespace mangoshift {

class PeerLink;

/// Where the frames that come from other VMs go. Each function is called on the peer duty's thread.
struct PeerSinks
{
    /// Given with the instant at which the frame arrived.
    std::function<void(LinkId, FramePtr, Clock::time_point)> onFrame;
    std::function<void(const VmId &)> onPeerLost;
    std::function<void(LinkId)> onLinkLost;
    /// Says that no byte of that exchange's frame was sent; comes before `onPeerLost`.
    std::function<void(ExchangeId)> onExchangeUnsent;
};

/// The duty that holds the TCP connections to other VMs and carries frames over them.
///
/// It dials a VM when there is something to send to it, and answers a VM on the link on which the
/// VM asked. What a link cannot take, because its queue is at the limit, is dropped and the VM is
/// reported lost.
class PeerDuty
{
public:
    PeerDuty(Member self, const Address &listenAddress, PeerSinks sinks);
    ~PeerDuty();
    PeerDuty(const PeerDuty &) = delete;
    PeerDuty &operator=(const PeerDuty &) = delete;

    void start();
    void stop();
    /// Returns false where the ring is full.
    bool tryPost(PeerMessage message) { return m_duty.tryPostMessage(message); }
    /// Returns how many frames and bytes are not written yet. Any thread may ask.
    std::size_t pending() const { return m_pendingBytes + m_duty.ringSize(); }

private:
    friend class PeerLink;

    void handle(PeerMessage &message);
    void accept();
    void sendToVm(SendToVm &message);
    void sendOnLink(SendOnLink &message);
    std::shared_ptr<PeerLink> dial(const VmId &vm);
    void onClosed(PeerLink &link);
    void checkLinks();
    bool knowsClock(const VmId &vm, std::uint64_t incarnation) const;
    void onRoundTrip(const VmId &vm, std::uint64_t incarnation, Clock::time_point askedAt,
                     std::chrono::microseconds answeredAt);
    TransitDelay &transitOf(const VmId &vm, std::uint64_t incarnation);
    void takeOffDelay(const VmId &vm, std::uint64_t incarnation, wire::FrameT &frame,
                      Clock::time_point arrivedAt);
    std::string stateJson() const;

    Member m_self;
    std::string m_listenIp;
    PeerSinks m_sinks;
    Duty<PeerMessage> m_duty;
    asio::ip::tcp::acceptor m_acceptor;
    asio::basic_waitable_timer<Clock> m_checkTimer;
    MemberViewPtr m_members;
    std::atomic<std::size_t> m_pendingBytes{0};
    LinkId m_lastLink = LocalLink;
    std::unordered_map<LinkId, std::shared_ptr<PeerLink>> m_links;
    std::unordered_map<VmId, LinkId> m_linkByVm;
    /// Of the present incarnation of each VM that sends frames here.
    struct Transit
    {
        std::uint64_t incarnation = 0;
        TransitDelay delay;
    };
    std::unordered_map<VmId, Transit> m_transits;
};

} // namespace mangoshift
