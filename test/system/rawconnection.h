#pragma once

#include <array>
#include <string>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "base/address.h"

namespace mangoshift::testing {

/// A TCP connection that sends and receives raw bytes.
class RawConnection
{
public:
    explicit RawConnection(const Address &address)
        : m_socket(m_io)
    {
        m_socket.connect(asio::ip::tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    }

    /// Sends bytes. Ignores errors, as the peer may close the connection at any time.
    void send(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    /// Closes the sending side; the peer may still send.
    void finishSending()
    {
        asio::error_code ignored;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    /// Waits until `text` has been received. Returns false if the peer closes the connection first.
    bool receives(const std::string &text)
    {
        std::array<char, 4096> buffer{};
        asio::error_code error;
        while (!error && m_received.find(text) == std::string::npos)
            m_received.append(buffer.data(), m_socket.read_some(asio::buffer(buffer), error));
        return !error;
    }

    /// Waits until the peer closes the connection. Returns the bytes received until then.
    std::string readToEnd()
    {
        std::string received;
        std::array<char, 4096> buffer{};
        asio::error_code error;
        while (!error) {
            const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
            received.append(buffer.data(), size);
        }
        return received;
    }

private:
    asio::io_context m_io;
    asio::ip::tcp::socket m_socket;
    std::string m_received;
};

} // namespace mangoshift::testing
