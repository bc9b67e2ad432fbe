#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include <asio/basic_waitable_timer.hpp>
#include <asio/ip/tcp.hpp>

#include "base/address.h"
#include "base/duty.h"
#include "duties/messages.h"
#include "mangoshift/transitdelay.h"
#include "net/acceptloop.h"

namespace mangoshift {

class PeerLink;

/// Receives the frames and link events of the peer duty. The functions are called on its thread.
struct PeerSinks
{
    std::function<void(PeerFrame)> onFrame;
    std::function<void(const VmId &)> onPeerLost;
    std::function<void(LinkId)> onLinkLost;
    /// Reports that no byte of the exchange's frame was sent; called before `onPeerLost`.
    std::function<void(ExchangeId)> onExchangeUnsent;
};

/// The duty that holds the TCP connections to other VMs and carries frames over them.
///
/// The duty dials a VM when there is a frame to send to it, and replies to a VM on the link on
/// which the request arrived. A frame that exceeds the limit of a link's send queue is dropped, the
/// link is closed and, if this VM dialled it, the peer is reported lost.
class PeerDuty
{
public:
    PeerDuty(Member self, const Address &listenAddress, PeerSinks sinks);
    ~PeerDuty();
    PeerDuty(const PeerDuty &) = delete;
    PeerDuty &operator=(const PeerDuty &) = delete;

    void start();
    void stop();
    /// Returns false if the ring is full.
    bool tryPost(PeerMessage message) { return m_duty.tryPostMessage(message); }
    /// Posts a message that is never rejected; see `Duty::postLatest`.
    template <typename Kind>
    void postLatest(Kind value)
    {
        m_duty.postLatest(std::move(value));
    }
    /// Returns the number of bytes not yet written plus the number of queued messages; zero if
    /// there is nothing left to send. Safe to call from any thread.
    std::size_t pending() const { return m_pendingBytes + m_duty.ringSize(); }

private:
    friend class PeerLink;

    void handle(PeerMessage &message);
    void adopt(asio::ip::tcp::socket socket);
    void sendToVm(SendToVm &message);
    void sendOnLink(SendOnLink &message);
    std::shared_ptr<PeerLink> dial(const VmId &vm);
    void onLinkClosed(PeerLink &link);
    void checkLinks();
    bool hasClockSample(const VmId &vm, std::uint64_t incarnation) const;
    void onRoundTrip(const VmId &vm, std::uint64_t incarnation, Clock::time_point pingSentAt,
                     std::chrono::microseconds pongSentAt);
    TransitDelay &transitDelayOf(const VmId &vm, std::uint64_t incarnation);
    /// Drops the transit delays of VMs that are neither members nor connected.
    void forgetStrangers();
    void subtractTransitDelay(const VmId &vm, std::uint64_t incarnation, wire::FrameT &frame,
                              Clock::time_point arrivedAt);
    std::string stateJson() const;

    Member m_self;
    std::string m_listenIp;
    PeerSinks m_sinks;
    Duty<PeerMessage> m_duty;
    asio::ip::tcp::acceptor m_acceptor;
    AcceptLoop m_acceptLoop;
    asio::basic_waitable_timer<Clock> m_linkCheckTimer;
    Clock::time_point m_linksCheckedAt;
    MemberViewPtr m_members;
    std::atomic<std::size_t> m_pendingBytes{0};
    LinkId m_lastLink = LocalLink;
    std::unordered_map<LinkId, std::shared_ptr<PeerLink>> m_links;
    std::unordered_map<VmId, LinkId> m_linkByVm;
    /// The transit delay of frames from the current incarnation of a VM.
    struct Transit
    {
        std::uint64_t incarnation = 0;
        TransitDelay delay;
    };
    std::unordered_map<VmId, Transit> m_transits;
};

} // namespace mangoshift
