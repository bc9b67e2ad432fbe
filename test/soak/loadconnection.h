#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "base/address.h"
#include "http/httpparser.h"
#include "soak/evidence.h"

namespace mangoshift::soak {

/// A caller's connection, which carries one request at a time.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
    /// Receives the outcome of a request, and its response if the outcome is `Responded`.
    using Callback = std::function<void(CallerRecord::Outcome, HttpResponse)>;

    LoadConnection(asio::io_context &io, const Address &address);

    /// Sends a request; the first one establishes the connection. Calls `callback` once: with the
    /// response, when the connection closes, or after `responseTimeout`. If `disconnectAfter` is
    /// shorter, closes the connection after that time, with the outcome `CallerDisconnected`.
    void send(std::string bytes, Clock::duration responseTimeout, Clock::duration disconnectAfter,
              Callback callback);
    bool isOpen() const { return m_socket.is_open(); }
    Clock::time_point connectedAt() const { return m_connectedAt; }
    /// Returns true if an earlier request on this connection has got its response.
    bool isReused() const { return m_responseCount > 0; }
    void close();

private:
    void write();
    void read();
    void parseBytes(const char *bytes, std::size_t size);
    void finish(CallerRecord::Outcome outcome, HttpResponse response = {});

    asio::ip::tcp::socket m_socket;
    asio::ip::tcp::endpoint m_endpoint;
    asio::basic_waitable_timer<Clock> m_timer;
    HttpParser m_parser;
    std::string m_requestBytes;
    Callback m_callback;
    std::size_t m_responseCount = 0;
    Clock::time_point m_connectedAt{};
    bool m_isConnected = false;
    std::array<char, 16U << 10U> m_buffer{};
};

} // namespace mangoshift::soak
