#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/ip/tcp.hpp>

#include "base/address.h"
#include "duties/messages.h"
#include "mangoshift/silencedetector.h"

namespace mangoshift {

class PeerDuty;

/// A TCP connection to another VM. Must be used on the peer duty's thread.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    PeerLink(PeerDuty &owner, LinkId id, asio::ip::tcp::socket socket);

    /// Connects to a VM and sends `hello` first; frames sent meanwhile are queued.
    void dial(const VmId &vm, const Address &address, const FramePtr &hello);
    /// Starts to read from a connection that another VM opened.
    void startReading();
    /// Queues a frame. Returns false if the link is closed or its queue is full.
    bool send(const wire::FrameT &frame);
    void close();
    /// Pings the peer, or closes the link, if the peer has been silent for too long.
    void checkSilence(Clock::time_point now);
    /// Closes the link if its peer takes too long to finish a frame or to introduce itself, and
    /// resumes reading once enough frames have been handled.
    /// `elapsed` is the time since the last call, without pauses of this process.
    void checkUnfinished(Clock::duration elapsed);

    LinkId id() const { return m_id; }
    /// The peer; empty on an accepted link until the peer has sent `Hello`.
    const VmId &vm() const { return m_vm; }
    bool isDialled() const { return m_isDialled; }
    /// Records the exchange of the frame just queued, if the connection is not yet established.
    void trackUnsentExchange(ExchangeId exchange);
    /// Returns the exchanges whose frames were queued and never sent because the connection was not
    /// established.
    const std::vector<ExchangeId> &unsentExchanges() const { return m_unsentExchanges; }
    std::size_t queuedBytes() const { return m_queuedBytes; }

private:
    void readHeader();
    void readBody(std::size_t size);
    void readMoreOfBody();
    void onBody();
    /// `size` is the length of the frame in bytes.
    void onFrame(FramePtr frame, std::size_t size);
    void onHello(const wire::HelloT &hello);
    void onPong(const wire::PongT &pong);
    void deliver(FramePtr frame, FrameShare share);
    /// Counts a frame as not handled until the share is destroyed, on whatever thread.
    FrameShare shareOf(std::size_t size);
    void continueReading();
    void writeNext();
    void reject(const std::string &why);

    PeerDuty &m_owner;
    LinkId m_id;
    asio::ip::tcp::socket m_socket;
    VmId m_vm;
    bool m_isDialled = false;
    bool m_isConnected = false;
    bool m_isWriting = false;
    bool m_isClosed = false;
    std::uint8_t m_header[4] = {};
    /// The frame that is being read, as far as it has arrived.
    std::vector<std::uint8_t> m_body;
    /// The length of that frame, or zero between frames.
    std::size_t m_bodySize = 0;
    Clock::duration m_frameAge{0};
    /// How long an accepted link has lacked the peer's `Hello` or the pong of the clock probe.
    Clock::duration m_introductionAge{0};
    std::deque<std::string> m_sendQueue;
    std::size_t m_queuedBytes = 0;
    std::string m_writeBuffer;
    SilenceDetector m_silence;
    std::uint64_t m_lastPing = 0;
    std::vector<ExchangeId> m_unsentExchanges;
    std::uint64_t m_incarnation = 0; ///< From the peer's `Hello`.

    /// A ping whose pong gives the clock offset of a peer for which there is no clock sample yet.
    struct ClockProbe
    {
        std::uint64_t sequence = 0;
        Clock::time_point sentAt;
    };
    std::optional<ClockProbe> m_clockProbe;
    /// Frames received while the probe is pending; their transit delay is not known before its
    /// pong.
    std::vector<std::pair<FramePtr, FrameShare>> m_deferredFrames;
    std::size_t m_deferredBytes = 0;
    std::shared_ptr<std::atomic<std::size_t>> m_unhandledBytes;
    bool m_isReadingPaused = false;
};

} // namespace mangoshift
