#include "http/callerconnection.h"

#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/write.hpp>

#include "http/httpstatus.h"
#include "http/socketoptions.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 64U << 10U;
/// How many bytes are kept of what a caller sends behind a request that is not answered yet; then
/// the connection is not read until it is.
constexpr std::size_t MaxPendingBytes = 64U << 10U;
/// How long a caller may take to send a body after its headers; callers send at most 256 KiB.
constexpr std::chrono::seconds BodyTimeout{10};
/// How long a caller may leave an answer unread.
constexpr std::chrono::seconds WriteTimeout{10};
/// How long the socket is read after the last answer, so that a close does not destroy it.
constexpr std::chrono::seconds LingerTime{1};
/// Beyond the idle time-out that callers know, so that no request of theirs crosses the close.
constexpr std::chrono::seconds IdleMargin{1};

HttpSizeLimits sizeLimits(const CallerLimits &limits)
{
    return {limits.headerBytes, limits.bodyBytes};
}

int statusOf(HttpFault fault)
{
    if (fault == HttpFault::HeadersTooLarge)
        return httpstatus::HeadersTooLarge;
    return fault == HttpFault::BodyTooLarge ? httpstatus::ContentTooLarge : httpstatus::BadRequest;
}

} // namespace

CallerConnection::CallerConnection(tcp::socket socket, const CallerEvents &events,
                                   const CallerLimits &limits)
    : m_socket(std::move(socket))
    , m_events(events)
    , m_parser(HttpParser::Side::Requests, sizeLimits(limits))
    , m_since(Clock::now())
{
}

void CallerConnection::start()
{
    prepareSocket(m_socket);
    awaitBytes();
}

void CallerConnection::awaitBytes()
{
    if (std::exchange(m_isAwaiting, true))
        return;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            self->m_isAwaiting = false;
                            if (self->m_state == State::Closed)
                                return;
                            if (error)
                                self->close();
                            else
                                self->readBytes();
                        });
}

void CallerConnection::readBytes()
{
    static thread_local std::array<char, ReadBytes> buffer;
    asio::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    if (m_state == State::Reading && m_pending.empty() && !m_parser.hasBegun() && size > 0)
        m_since = Clock::now();
    if (m_state != State::Lingering)
        m_pending.append(buffer.data(), size);
    if (m_state == State::Reading)
        takeBytes();
    if (m_state != State::Closed && m_pending.size() < MaxPendingBytes)
        awaitBytes();
}

void CallerConnection::takeBytes()
{
    if (m_pending.empty())
        return;
    const std::size_t taken = m_parser.feed(m_pending.data(), m_pending.size());
    m_pending.erase(0, taken);
    if (m_parser.fault() != HttpFault::None) {
        reject(statusOf(m_parser.fault()));
    } else if (m_parser.isComplete()) {
        takeRequest();
    } else if (m_parser.expectsContinue() && !std::exchange(m_hasContinued, true)) {
        m_unwritten += "HTTP/1.1 100 Continue\r\n\r\n";
        asio::error_code ignored;
        const std::size_t written = m_socket.write_some(asio::buffer(m_unwritten), ignored);
        m_unwritten.erase(0, written);
    }
}

void CallerConnection::takeRequest()
{
    HttpRequest request = m_parser.takeRequest();
    m_state = State::Working;
    m_since = Clock::now();
    m_isHead = request.method == "HEAD";
    m_isKept = request.keepAlive;
    m_hasContinued = false;
    m_events.onRequest(shared_from_this(), std::move(request));
}

void CallerConnection::reject(int status)
{
    m_events.onRejected(status);
    m_isKept = false;
    m_state = State::Working;
    HttpResponse response;
    response.status = status;
    respond(std::move(response));
}

void CallerConnection::respond(HttpResponse response)
{
    if (m_state != State::Working)
        return;
    m_isKept = m_isKept && !m_isLastAnswer && response.keepAlive;
    response.keepAlive = m_isKept;
    std::string bytes;
    appendResponse(bytes, response, m_isHead);
    m_state = State::Writing;
    m_since = Clock::now();
    write(bytes);
}

void CallerConnection::write(const std::string &bytes)
{
    m_unwritten += bytes;
    asio::error_code error;
    const std::size_t written = m_socket.write_some(asio::buffer(m_unwritten), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    m_unwritten.erase(0, written);
    if (m_unwritten.empty()) {
        onWritten();
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_unwritten),
                      [self = shared_from_this()](const asio::error_code &failure, std::size_t) {
                          if (self->m_state == State::Closed)
                              return;
                          self->m_unwritten.clear();
                          if (failure)
                              self->close();
                          else
                              self->onWritten();
                      });
}

void CallerConnection::onWritten()
{
    if (!m_isKept) {
        linger();
        return;
    }
    m_state = State::Reading;
    m_since = Clock::now();
    takeBytes();
    if (m_state != State::Closed)
        awaitBytes();
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    m_since = Clock::now();
    m_pending.clear();
    asio::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    awaitBytes();
}

bool CallerConnection::closeIfIdle()
{
    if (m_state != State::Reading || m_parser.hasBegun() || !m_pending.empty())
        return m_state == State::Lingering || m_state == State::Closed;
    linger();
    return true;
}

void CallerConnection::sweep(Clock::time_point now, const CallerLimits &limits)
{
    m_parser.setLimits(sizeLimits(limits));
    const Clock::duration age = now - m_since;
    const bool isOverdue = (m_state == State::Lingering && age >= LingerTime)
        || (m_state == State::Writing && age >= WriteTimeout);
    if (isOverdue) {
        close();
    } else if (m_state == State::Reading) {
        if (!m_parser.hasBegun()) {
            if (age >= limits.idleTimeout + IdleMargin)
                linger();
        } else if (age >= (m_parser.hasHeaders() ? BodyTimeout : limits.headerTimeout)) {
            reject(httpstatus::RequestTimeout);
        }
    }
}

void CallerConnection::close()
{
    const State before = std::exchange(m_state, State::Closed);
    if (before == State::Closed)
        return;
    asio::error_code ignored;
    m_socket.close(ignored);
    const CallerConnectionPtr self = shared_from_this();
    if (before == State::Working)
        m_events.onCallerDisconnected(self);
    m_events.onClosed(self);
}

} // namespace mangoshift
