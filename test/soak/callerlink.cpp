#include "soak/callerlink.h"

#include <utility>

#include <asio/write.hpp>

namespace mangoshift::soak {

using End = CallerRecord::End;

CallerLink::CallerLink(asio::io_context &io, const Address &address)
    : m_socket(io)
    , m_endpoint(asio::ip::make_address(address.ip), address.port)
    , m_timer(io)
    , m_parser(HttpParser::Side::Responses, {})
{
}

void CallerLink::send(std::string bytes, Clock::duration patience, Clock::duration leaveAfter,
                      Done done)
{
    m_bytes = std::move(bytes);
    m_done = std::move(done);
    const bool isLeaving = leaveAfter < patience;
    m_timer.expires_after(isLeaving ? leaveAfter : patience);
    m_timer.async_wait([self = shared_from_this(), isLeaving](const asio::error_code &error) {
        if (error || !self->m_done)
            return;
        self->close();
        self->end(isLeaving ? End::LeftEarly : End::TimedOut);
    });
    if (m_isConnected) {
        write();
        return;
    }
    m_socket.async_connect(m_endpoint, [self = shared_from_this()](const asio::error_code &error) {
        if (error) {
            self->close();
            self->end(End::NotConnected);
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

void CallerLink::write()
{
    asio::async_write(m_socket, asio::buffer(m_bytes),
                      [self = shared_from_this()](const asio::error_code &, std::size_t) {
                          // A write that fails shows when the socket is read.
                      });
}

void CallerLink::read()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer),
        [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
            if (error) {
                self->close();
                self->end(End::Closed);
                return;
            }
            self->take(self->m_buffer.data(), size);
            if (self->isOpen())
                self->read();
        });
}

void CallerLink::take(const char *bytes, std::size_t size)
{
    while (size > 0 && isOpen()) {
        const std::size_t taken = m_parser.feed(bytes, size);
        bytes += taken;
        size -= taken;
        if (m_parser.fault() != HttpFault::None || !m_done) {
            close();
            end(End::Malformed);
            return;
        }
        if (!m_parser.isComplete())
            return;
        HttpResponse response = m_parser.takeResponse();
        ++m_carried;
        if (!response.keepAlive)
            close();
        end(End::Answered, std::move(response));
    }
}

void CallerLink::end(End end, HttpResponse response)
{
    m_timer.cancel();
    if (const Done done = std::exchange(m_done, nullptr))
        done(end, std::move(response));
}

void CallerLink::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

} // namespace mangoshift::soak
