#include "soak/loadconnection.h"

#include <utility>

#include <asio/write.hpp>

namespace mangoshift::soak {

using Outcome = CallerRecord::Outcome;

LoadConnection::LoadConnection(asio::io_context &io, const Address &address)
    : m_socket(io)
    , m_endpoint(asio::ip::make_address(address.ip), address.port)
    , m_timer(io)
    , m_parser(HttpParser::Side::Responses, {})
{
}

void LoadConnection::send(std::string bytes, Clock::duration responseTimeout,
                          Clock::duration disconnectAfter, Callback callback)
{
    m_requestBytes = std::move(bytes);
    m_callback = std::move(callback);
    const bool shouldDisconnect = disconnectAfter < responseTimeout;
    m_timer.expires_after(shouldDisconnect ? disconnectAfter : responseTimeout);
    m_timer.async_wait(
        [self = shared_from_this(), shouldDisconnect](const asio::error_code &error) {
            if (error || !self->m_callback)
                return;
            self->close();
            self->finish(shouldDisconnect ? Outcome::CallerDisconnected : Outcome::TimedOut);
        });
    if (m_isConnected) {
        write();
        return;
    }
    m_socket.async_connect(m_endpoint, [self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            self->close();
            self->finish(Outcome::ConnectFailed);
            return;
        }
        self->m_isConnected = true;
        self->m_connectedAt = Clock::now();
        asio::error_code ignored;
        self->m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        self->read();
        self->write();
    });
}

void LoadConnection::write()
{
    asio::async_write(m_socket, asio::buffer(m_requestBytes),
                      [self = shared_from_this()](const asio::error_code &, std::size_t) {
                          // A failed write is reported by the pending read.
                      });
}

void LoadConnection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
            if (error) {
                self->close();
                self->finish(Outcome::ConnectionClosed);
                return;
            }
            self->parseBytes(self->m_buffer.data(), size);
            if (self->isOpen())
                self->read();
        });
}

void LoadConnection::parseBytes(const char *bytes, std::size_t size)
{
    while (size > 0 && isOpen()) {
        const std::size_t consumed = m_parser.feed(bytes, size);
        bytes += consumed;
        size -= consumed;
        if (m_parser.fault() != HttpFault::None || !m_callback) {
            close();
            finish(Outcome::Malformed);
            return;
        }
        if (!m_parser.isComplete())
            return;
        HttpResponse response = m_parser.takeResponse();
        ++m_responseCount;
        // Bytes after the response belong to no request.
        if (!response.keepAlive || size > 0)
            close();
        finish(Outcome::Responded, std::move(response));
    }
}

void LoadConnection::finish(Outcome outcome, HttpResponse response)
{
    m_timer.cancel();
    if (const Callback callback = std::exchange(m_callback, nullptr))
        callback(outcome, std::move(response));
}

void LoadConnection::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

} // namespace mangoshift::soak
