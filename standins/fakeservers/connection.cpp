#include "fakeservers/connection.h"

#include <utility>

#include <asio/write.hpp>

#include "fakeservers/server.h"

namespace mangoshift {

ServerConnection::ServerConnection(asio::ip::tcp::socket socket, Server &server)
    : m_socket(std::move(socket))
    , m_server(server)
    , m_parser(HttpParser::Side::Requests, {})
{
    asio::error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void ServerConnection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
            if (error) {
                self->close();
                self->m_server.onDisconnected(self);
                return;
            }
            self->processBytes(self->m_buffer.data(), size);
            if (self->isOpen())
                self->read();
        });
}

void ServerConnection::processBytes(const char *bytes, std::size_t size)
{
    while (size > 0 && isOpen()) {
        const std::size_t consumed = m_parser.feed(bytes, size);
        bytes += consumed;
        size -= consumed;
        if (m_parser.fault() != HttpFault::None) {
            reset();
            return;
        }
        if (!m_parser.isComplete())
            return;
        m_server.onRequest(shared_from_this(), m_parser.takeRequest());
    }
}

void ServerConnection::send(const std::string &bytes)
{
    asio::error_code ignored;
    asio::write(m_socket, asio::buffer(bytes), ignored);
}

void ServerConnection::sendForever(const std::string &first, std::string repeated)
{
    send(first);
    m_repeated = std::move(repeated);
    repeat();
}

void ServerConnection::repeat()
{
    asio::async_write(m_socket, asio::buffer(m_repeated),
                      [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                          if (!error)
                              self->repeat();
                      });
}

void ServerConnection::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

void ServerConnection::reset()
{
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

} // namespace mangoshift
