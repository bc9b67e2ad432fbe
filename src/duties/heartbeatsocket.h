#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "base/address.h"
#include "base/metrics.h"
#include "mangoshift/membership.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// Sends and receives heartbeats over UDP. Must be used on the thread that runs its `io_context`.
class HeartbeatSocket
{
public:
    using Handler = std::function<void(const HeartbeatMessage &)>;

    /// Throws `asio::system_error` if the address cannot be bound.
    HeartbeatSocket(asio::io_context &io, const Address &address, Handler handler,
                    Metrics &metrics);
    HeartbeatSocket(const HeartbeatSocket &) = delete;
    HeartbeatSocket &operator=(const HeartbeatSocket &) = delete;

    void start();
    /// Sends one datagram without blocking. A datagram that the socket cannot accept at once is
    /// dropped; heartbeats tolerate loss.
    void send(const std::string &address, const HeartbeatMessage &message);

private:
    void receive();
    void onDatagram(std::size_t size);

    /// The largest UDP datagram, in bytes.
    static constexpr std::size_t MaxDatagramBytes = 65536;

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_sender;
    Handler m_handler;
    prometheus::Counter &m_bytesIn;
    prometheus::Counter &m_bytesOut;
    prometheus::Counter &m_heartbeatsIn;
    prometheus::Counter &m_heartbeatsOut;
    std::array<std::uint8_t, FrameHeaderBytes> m_header{};
    /// Separate from the header, because frames have to be decoded at an aligned address.
    alignas(FrameAlignment) std::array<std::uint8_t, MaxDatagramBytes - FrameHeaderBytes> m_body{};
};

} // namespace mangoshift
