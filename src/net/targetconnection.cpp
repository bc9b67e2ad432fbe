#include "net/targetconnection.h"

#include <utility>

#include <asio/write.hpp>

namespace mangoshift {

namespace {

using asio::ip::tcp;

constexpr std::size_t MaxResponseBytes = 4U << 20U;

} // namespace

TargetConnection::TargetConnection(asio::io_context &io, TargetPool &pool)
    : m_pool(&pool)
    , m_socket(io)
    , m_deadlineTimer(io)
    , m_reader(MaxResponseBytes, [this](HttpResponse message) { onResponse(std::move(message)); })
{
}

void TargetConnection::connect()
{
    armDeadline(Clock::now() + m_pool->m_timeouts.connect);
    const tcp::endpoint endpoint(asio::ip::make_address(m_pool->m_address.ip),
                                 m_pool->m_address.port);
    m_socket.async_connect(endpoint, [self = shared_from_this()](asio::error_code error) {
        if (!self->m_isClosed)
            self->onConnect(error);
    });
}

void TargetConnection::onConnect(asio::error_code error)
{
    if (error) {
        close(HttpResult::End::ConnectFailed);
        return;
    }
    m_deadlineTimer.cancel();
    m_isConnected = true;
    m_lastResponseAt = Clock::now();
    asio::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    waitForData();
    m_pool->onConnected(shared_from_this());
}

bool TargetConnection::isQuiet()
{
    char byte = 0;
    asio::error_code error;
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void TargetConnection::start(PooledRequest request, TargetPool::Done done)
{
    m_request = std::move(request);
    m_done = std::move(done);
    m_isCancelled = false;
    armDeadline(m_request.deadline);
    write();
}

void TargetConnection::cancelRequest()
{
    if (std::exchange(m_isCancelled, true))
        return;
    armDeadline(Clock::now() + m_pool->m_timeouts.gracePeriod);
    if (m_request.isCancellable)
        m_pool->sendCancellation(m_request.callId);
}

void TargetConnection::detach()
{
    m_pool = nullptr;
    m_done = nullptr;
    close(HttpResult::End::Closed);
}

void TargetConnection::write()
{
    m_requestBytes = formatRequest(m_request.message, m_pool->m_address.toString());
    m_writtenAt = Clock::now();
    asio::async_write(m_socket, asio::buffer(m_requestBytes),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          if (error)
                              self->close(HttpResult::End::Closed);
                      });
}

void TargetConnection::waitForData()
{
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            if (self->m_isClosed)
                                return;
                            if (error)
                                self->close(HttpResult::End::Closed);
                            else
                                self->readSocket();
                        });
}

void TargetConnection::readSocket()
{
    asio::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(m_buffer), error);
    if (error && error != asio::error::would_block) {
        close(HttpResult::End::Closed);
        return;
    }
    if (!error && (!m_done || !m_reader.feed(m_buffer.data(), size))) {
        // Bytes between two requests belong to neither.
        close(HttpResult::End::Malformed);
        return;
    }
    if (!m_isClosed)
        waitForData();
}

void TargetConnection::armDeadline(Clock::time_point at)
{
    m_deadlineTimer.expires_at(at);
    m_deadlineTimer.async_wait([self = shared_from_this(), at](asio::error_code error) {
        if (!error && !self->m_isClosed && self->m_deadlineTimer.expiry() == at)
            self->onDeadline();
    });
}

void TargetConnection::onDeadline()
{
    if (!m_isConnected) {
        close(HttpResult::End::ConnectFailed);
    } else if (m_done && !m_isCancelled) {
        cancelRequest();
    } else if (m_done) {
        close(HttpResult::End::TimedOut);
    }
}

void TargetConnection::onResponse(HttpResponse message)
{
    if (!m_done) {
        // No request is pending, so requests and responses on this connection are out of sync.
        close(HttpResult::End::Malformed);
        return;
    }
    const std::string_view echoedId = message.headers.value(CallIdHeader);
    if (!echoedId.empty() && echoedId != m_request.callId) {
        // The response to an earlier request, once more: the pending one may run all the same.
        close(HttpResult::End::Malformed);
        return;
    }
    m_deadlineTimer.cancel();
    m_lastResponseAt = Clock::now();
    const bool isKeepAlive = message.keepAlive;
    HttpResult result{HttpResult::End::Responded, true, true, std::move(message)};
    const TargetPool::Done done = std::exchange(m_done, nullptr);
    m_pool->onResponded(shared_from_this(), m_request.callId, isKeepAlive);
    if (!isKeepAlive)
        close(HttpResult::End::Closed);
    done(std::move(result));
}

void TargetConnection::close(HttpResult::End end)
{
    if (std::exchange(m_isClosed, true))
        return;
    asio::error_code ignored;
    m_socket.close(ignored);
    m_deadlineTimer.cancel();
    const TargetPool::Done done = std::exchange(m_done, nullptr);
    const bool hasTimedOut = done && end == HttpResult::End::TimedOut;
    HttpResult result{end, static_cast<bool>(done), false, {}};
    if (m_pool != nullptr) {
        result.isTargetResponsive = hasTimedOut && m_pool->m_lastResponseAt > m_writtenAt;
        if (!m_isConnected)
            m_pool->onConnectFailed(shared_from_this());
        else
            m_pool->onClosed(shared_from_this(), done ? m_request.callId : std::string());
        if (hasTimedOut)
            m_pool->onConnectionSilent(m_writtenAt);
    }
    if (done)
        done(std::move(result));
}

} // namespace mangoshift
