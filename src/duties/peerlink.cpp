#include "duties/peerlink.h"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include "base/atexit.h"
#include "base/log.h"
#include "duties/peerduty.h"
#include "duties/wiretime.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

/// The limit on the send queue of a link, in bytes. A frame sent to a link that is over it is
/// dropped, and the link is closed.
constexpr std::size_t MaxQueuedBytes = 16U << 20U;
/// How many frames of a peer, and how many bytes of them, are deferred until its clock offset is
/// known.
constexpr std::size_t MaxDeferredFrames = 1024;
constexpr std::size_t MaxDeferredBytes = 2 * MaxFrameBytes;
/// A link stops reading while its peer's frames that no duty has handled yet have more than this
/// many bytes.
constexpr std::size_t MaxUnhandledBytes = 4 * MaxFrameBytes;
/// The maximum length of a frame from a peer that has not introduced itself yet.
constexpr std::size_t MaxHelloBytes = 4096;
/// Memory for a frame is reserved in steps of this many bytes, as they arrive, because the length
/// of a frame is only a claim.
constexpr std::size_t BodyStepBytes = 64U << 10U;
/// How long a frame may take to arrive once its length is known. The longest one takes 7 s at
/// 10 Mbit/s.
constexpr std::chrono::seconds FrameTimeout{10};
/// How long a peer may take to introduce itself: `Hello` and the pong of the clock probe.
constexpr std::chrono::seconds IntroductionTimeout{5};

} // namespace

PeerLink::PeerLink(PeerDuty &owner, LinkId id, tcp::socket socket)
    : m_owner(owner)
    , m_id(id)
    , m_socket(std::move(socket))
    , m_unhandledBytes(std::make_shared<std::atomic<std::size_t>>(0))
{
}

void PeerLink::dial(const VmId &vm, const Address &address, const FramePtr &hello)
{
    m_vm = vm;
    m_isDialled = true;
    send(*hello);
    const tcp::endpoint endpoint(asio::ip::make_address(address.ip), address.port);
    // Binds to this VM's own address, so that network devices between the VMs can tell them apart.
    asio::error_code ignored;
    m_socket.open(endpoint.protocol(), ignored);
    m_socket.bind(tcp::endpoint(asio::ip::make_address(m_owner.m_listenIp), 0), ignored);
    m_socket.async_connect(endpoint, [self = shared_from_this()](asio::error_code error) {
        if (self->m_isClosed)
            return;
        if (error) {
            self->close();
            return;
        }
        self->m_isConnected = true;
        self->m_unsentExchanges.clear();
        self->m_socket.set_option(tcp::no_delay(true), error);
        self->readHeader();
        self->writeNext();
    });
}

void PeerLink::startReading()
{
    asio::error_code ignored;
    m_isConnected = true;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.set_option(asio::socket_base::keep_alive(true), ignored);
    readHeader();
}

bool PeerLink::send(const wire::FrameT &frame)
{
    if (m_isClosed || m_queuedBytes > MaxQueuedBytes)
        return false;
    m_sendQueue.push_back(encodeFrame(frame));
    m_queuedBytes += m_sendQueue.back().size();
    m_silence.onSent(Clock::now());
    m_owner.m_pendingBytes += m_sendQueue.back().size();
    writeNext();
    return true;
}

void PeerLink::trackUnsentExchange(ExchangeId exchange)
{
    if (!m_isConnected)
        m_unsentExchanges.push_back(exchange);
}

void PeerLink::close()
{
    if (std::exchange(m_isClosed, true))
        return;
    asio::error_code ignored;
    m_socket.close(ignored);
    m_owner.m_pendingBytes -= std::exchange(m_queuedBytes, 0);
    m_owner.onLinkClosed(*this);
}

void PeerLink::readHeader()
{
    asio::async_read(m_socket, asio::buffer(m_header),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                         if (error) {
                             self->close();
                             return;
                         }
                         const auto length = decodeFrameLength(self->m_header);
                         if (!length)
                             self->reject(length.error());
                         else
                             self->readBody(*length);
                     });
}

void PeerLink::readBody(std::size_t size)
{
    if (m_vm.empty() && size > MaxHelloBytes) {
        reject("received a long frame before Hello");
        return;
    }
    m_bodySize = size;
    m_frameAge = Clock::duration(0);
    m_body.clear();
    readMoreOfBody();
}

void PeerLink::readMoreOfBody()
{
    const std::size_t begin = m_body.size();
    m_body.resize(std::min(m_bodySize, begin + BodyStepBytes));
    asio::async_read(m_socket, asio::buffer(m_body.data() + begin, m_body.size() - begin),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                         if (error)
                             self->close();
                         else if (self->m_body.size() < self->m_bodySize)
                             self->readMoreOfBody();
                         else
                             self->onBody();
                     });
}

void PeerLink::onBody()
{
    const std::size_t size = std::exchange(m_bodySize, 0);
    auto frame = decodeFrame(m_body.data(), size);
    if (!frame) {
        reject(frame.error());
        return;
    }
    if (m_body.capacity() > BodyStepBytes)
        m_body = {};
    bool isHandled = false;
    const AtExit next([&] {
        if (isHandled)
            continueReading();
        else
            close();
    });
    onFrame(std::move(*frame), size);
    isHandled = true;
}

void PeerLink::continueReading()
{
    m_isReadingPaused = *m_unhandledBytes > MaxUnhandledBytes;
    if (!m_isReadingPaused && !m_isClosed)
        readHeader();
}

void PeerLink::onFrame(FramePtr frame, std::size_t size)
{
    m_silence.onReceived();
    if (const wire::HelloT *hello = frame->body.AsHello()) {
        onHello(*hello);
    } else if (m_vm.empty()) {
        reject("received a frame before Hello");
    } else if (const wire::PingT *ping = frame->body.AsPing()) {
        wire::PongT pong;
        pong.sequence = ping->sequence;
        pong.sent_at_us = toWireTime(Clock::now());
        send(*makeFrame(pong));
    } else if (const wire::PongT *pong = frame->body.AsPong()) {
        onPong(*pong);
    } else if (!m_clockProbe) {
        deliver(std::move(frame), shareOf(size));
    } else if (m_deferredFrames.size() < MaxDeferredFrames
               && m_deferredBytes + size <= MaxDeferredBytes) {
        m_deferredBytes += size;
        m_deferredFrames.emplace_back(std::move(frame), shareOf(size));
    } else {
        reject("received too many frames before the pong");
    }
}

FrameShare PeerLink::shareOf(std::size_t size)
{
    *m_unhandledBytes += size;
    return {m_unhandledBytes.get(),
            [unhandled = m_unhandledBytes, size](const void *) { *unhandled -= size; }};
}

void PeerLink::deliver(FramePtr frame, FrameShare share)
{
    // The clock is read once for both uses, because the process may be paused between two reads.
    const Clock::time_point arrivedAt = Clock::now();
    m_owner.subtractTransitDelay(m_vm, m_incarnation, *frame, arrivedAt);
    m_owner.m_sinks.onFrame({m_id, std::move(frame), arrivedAt, std::move(share)});
}

void PeerLink::onPong(const wire::PongT &pong)
{
    if (!m_clockProbe || pong.sequence != m_clockProbe->sequence)
        return;
    m_owner.onRoundTrip(m_vm, m_incarnation, m_clockProbe->sentAt,
                        std::chrono::microseconds(static_cast<std::int64_t>(pong.sent_at_us)));
    m_clockProbe.reset();
    m_deferredBytes = 0;
    for (auto &[frame, share] : std::exchange(m_deferredFrames, {}))
        deliver(std::move(frame), std::move(share));
}

void PeerLink::onHello(const wire::HelloT &hello)
{
    if (hello.protocol != PeerProtocolVersion)
        reject("protocol " + std::to_string(hello.protocol) + " is not "
               + std::to_string(PeerProtocolVersion));
    m_vm = hello.vm;
    m_incarnation = hello.incarnation;
    if (m_clockProbe || m_owner.hasClockSample(m_vm, m_incarnation))
        return;
    m_clockProbe = ClockProbe{++m_lastPing, Clock::now()};
    wire::PingT ping;
    ping.sequence = m_clockProbe->sequence;
    send(*makeFrame(ping));
}

void PeerLink::checkSilence(Clock::time_point now)
{
    // Only the side that dialled monitors the link; the accepting side has no requests pending on
    // it.
    if (!m_isDialled)
        return;
    switch (m_silence.check(now)) {
    case SilenceDetector::Advice::Nothing:
        break;
    case SilenceDetector::Advice::Ping: {
        wire::PingT ping;
        ping.sequence = ++m_lastPing;
        send(*makeFrame(ping));
        break;
    }
    case SilenceDetector::Advice::GiveUp:
        logEvent(LogLevel::Warning, "peer_link_silent", {{"peer", m_vm}});
        close();
        break;
    }
}

void PeerLink::checkUnfinished(Clock::duration elapsed)
{
    if (m_isClosed)
        return;
    m_frameAge += elapsed;
    m_introductionAge += elapsed;
    const bool isIntroduced = m_isDialled || (!m_vm.empty() && !m_clockProbe);
    if (isIntroduced)
        m_introductionAge = Clock::duration(0);
    if (m_bodySize > 0 && m_frameAge > FrameTimeout)
        reject("a frame did not arrive in time");
    else if (m_introductionAge > IntroductionTimeout)
        reject("the peer did not introduce itself in time");
    else if (m_isReadingPaused)
        continueReading();
}

void PeerLink::writeNext()
{
    if (m_isWriting || !m_isConnected || m_isClosed || m_sendQueue.empty())
        return;
    m_isWriting = true;
    // Sends all queued frames in one write.
    m_writeBuffer.clear();
    for (const std::string &bytes : m_sendQueue)
        m_writeBuffer += bytes;
    m_sendQueue.clear();
    asio::async_write(m_socket, asio::buffer(m_writeBuffer),
                      [self = shared_from_this()](asio::error_code error, std::size_t size) {
                          self->m_isWriting = false;
                          if (self->m_isClosed)
                              return;
                          self->m_queuedBytes -= size;
                          self->m_owner.m_pendingBytes -= size;
                          if (error)
                              self->close();
                          else
                              self->writeNext();
                      });
}

void PeerLink::reject(const std::string &why)
{
    logEvent(LogLevel::Warning, "peer_frame_rejected", {{"peer", m_vm}, {"why", why}});
    close();
}

} // namespace mangoshift
