#include "duties/peerlink.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

#include "base/log.h"
#include "duties/peerduty.h"
#include "duties/wiretime.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

/// The limit on the send queue of a link, in bytes. A frame sent to a link that is over it is
/// dropped, and the link is closed.
constexpr std::size_t MaxQueuedBytes = 16U << 20U;
/// How many frames of a peer are deferred until its clock offset is known.
constexpr std::size_t MaxDeferredFrames = 1024;

} // namespace

PeerLink::PeerLink(PeerDuty &owner, LinkId id, tcp::socket socket)
    : m_owner(owner)
    , m_id(id)
    , m_socket(std::move(socket))
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
    m_body.resize(size);
    asio::async_read(m_socket, asio::buffer(m_body),
                     [self = shared_from_this()](asio::error_code error, std::size_t) {
                         if (error) {
                             self->close();
                             return;
                         }
                         auto frame = decodeFrame(self->m_body.data(), self->m_body.size());
                         if (!frame) {
                             self->reject(frame.error());
                             return;
                         }
                         self->onFrame(std::move(*frame));
                         if (!self->m_isClosed)
                             self->readHeader();
                     });
}

void PeerLink::onFrame(FramePtr frame)
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
        deliver(std::move(frame));
    } else if (m_deferredFrames.size() < MaxDeferredFrames) {
        m_deferredFrames.push_back(std::move(frame));
    } else {
        reject("received too many frames before the pong");
    }
}

void PeerLink::deliver(FramePtr frame)
{
    // The clock is read once for both uses, because the process may be paused between two reads.
    const Clock::time_point arrivedAt = Clock::now();
    m_owner.subtractTransitDelay(m_vm, m_incarnation, *frame, arrivedAt);
    m_owner.m_sinks.onFrame(m_id, std::move(frame), arrivedAt);
}

void PeerLink::onPong(const wire::PongT &pong)
{
    if (!m_clockProbe || pong.sequence != m_clockProbe->sequence)
        return;
    m_owner.onRoundTrip(m_vm, m_incarnation, m_clockProbe->sentAt,
                        std::chrono::microseconds(static_cast<std::int64_t>(pong.sent_at_us)));
    m_clockProbe.reset();
    for (FramePtr &frame : std::exchange(m_deferredFrames, {}))
        deliver(std::move(frame));
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
