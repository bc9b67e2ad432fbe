#include "duties/heartbeatsocket.h"

#include <utility>

#include <asio/buffer.hpp>

#include "base/atexit.h"
#include "base/log.h"
#include "duties/memberswire.h"

namespace mangoshift {

namespace {

using asio::ip::udp;

} // namespace

HeartbeatSocket::HeartbeatSocket(asio::io_context &io, const Address &address, Handler handler,
                                 Metrics &metrics)
    : m_socket(io, udp::endpoint(asio::ip::make_address(address.ip), address.port))
    , m_handler(std::move(handler))
    , m_bytesIn(metrics.controlBytes.Add({{"direction", "in"}, {"channel", "heartbeat"}}))
    , m_bytesOut(metrics.controlBytes.Add({{"direction", "out"}, {"channel", "heartbeat"}}))
    , m_heartbeatsIn(metrics.heartbeats.Add({{"direction", "in"}}))
    , m_heartbeatsOut(metrics.heartbeats.Add({{"direction", "out"}}))
{
    m_socket.non_blocking(true);
}

void HeartbeatSocket::start()
{
    receive();
}

void HeartbeatSocket::send(const std::string &address, const HeartbeatMessage &message)
{
    const auto parsed = parseAddress(address);
    if (!parsed)
        return;
    const std::string bytes = encodeFrame(*makeFrame(toWire(message)));
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(bytes),
                     udp::endpoint(asio::ip::make_address(parsed->ip, ignored), parsed->port), 0,
                     ignored);
    m_bytesOut.Increment(static_cast<double>(bytes.size()));
    m_heartbeatsOut.Increment();
}

void HeartbeatSocket::receive()
{
    const std::array<asio::mutable_buffer, 2> parts{asio::buffer(m_header), asio::buffer(m_body)};
    m_socket.async_receive_from(parts, m_sender, [this](asio::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted)
            return;
        const AtExit next([this] { receive(); });
        if (!error)
            onDatagram(size);
    });
}

void HeartbeatSocket::onDatagram(std::size_t size)
{
    m_bytesIn.Increment(static_cast<double>(size));
    m_heartbeatsIn.Increment();
    if (size <= FrameHeaderBytes)
        return;
    const auto frame = decodeFrame(m_body.data(), size - FrameHeaderBytes);
    const wire::HeartbeatT *heartbeat = frame ? (*frame)->body.AsHeartbeat() : nullptr;
    if (heartbeat == nullptr) {
        logEvent(LogLevel::Debug, "heartbeat_rejected",
                 {{"from", m_sender.address().to_string()},
                  {"why", frame ? "not a heartbeat" : frame.error()}});
        return;
    }
    m_handler(fromWire(*heartbeat));
}

} // namespace mangoshift
