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

/// One connection of a caller; carries one request at a time.
class LoadConnection : public std::enable_shared_from_this<LoadConnection>
{
public:
    /// How a request ended; the response is valid where it was answered.
    using Callback = std::function<void(CallerRecord::Outcome, HttpResponse)>;

    LoadConnection(asio::io_context &io, const Address &address);

    /// Sends a request, over a new connection the first time. `callback` is called once: after the
    /// answer, the connection's end, `responseTimeout`, or `disconnectAfter` where that is shorter.
    void send(std::string bytes, Clock::duration responseTimeout, Clock::duration disconnectAfter,
              Callback callback);
    bool isOpen() const { return m_socket.is_open(); }
    Clock::time_point connectedAt() const { return m_connectedAt; }
    bool isReused() const { return m_responseCount > 0; }
    void close();

private:
    void write();
    void read();
    void parseBytes(const char *bytes, std::size_t size);
    void finish(CallerRecord::Outcome end, HttpResponse response = {});

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
