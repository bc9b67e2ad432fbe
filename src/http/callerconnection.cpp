#include "http/callerconnection.h"

#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include "http/httpstatus.h"
#include "http/socketoptions.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 64U << 10U;
/// If at least this many received bytes are buffered, the socket is not read until the current
/// request is answered. The last read may exceed this number by up to `ReadBytes`.
constexpr std::size_t MaxUnparsedBytes = 64U << 10U;
/// The maximum time from the first byte of a request to the end of its body; applies once its
/// headers are complete. Callers send at most 256 KiB.
constexpr std::chrono::seconds BodyTimeout{10};
/// The maximum time to write a response to a caller that reads slowly.
constexpr std::chrono::seconds WriteTimeout{10};
/// How long the socket is still read after the last response: closing a socket with unread data
/// sends a reset, which could discard the response.
constexpr std::chrono::seconds LingerTime{1};
/// Added to the idle timeout that callers know, so that a request does not arrive while the
/// connection is being closed.
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
    , m_stateSince(Clock::now())
{
}

void CallerConnection::start()
{
    prepareSocket(m_socket);
    waitForData();
}

void CallerConnection::waitForData()
{
    if (std::exchange(m_isWaitingForData, true))
        return;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            self->m_isWaitingForData = false;
                            if (self->m_state == State::Closed)
                                return;
                            if (error)
                                self->close();
                            else
                                self->readSocket();
                        });
}

void CallerConnection::readSocket()
{
    static thread_local std::array<char, ReadBytes> buffer;
    asio::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
    if (error && error != asio::error::would_block) {
        close();
        return;
    }
    if (m_state == State::Reading && m_unparsed.empty() && !m_parser.hasBegun() && size > 0)
        m_stateSince = Clock::now();
    if (m_state != State::Lingering)
        m_unparsed.append(buffer.data(), size);
    if (m_state == State::Reading)
        parseBytes();
    if (m_state != State::Closed && m_unparsed.size() < MaxUnparsedBytes)
        waitForData();
}

void CallerConnection::parseBytes()
{
    if (m_unparsed.empty())
        return;
    const std::size_t consumed = m_parser.feed(m_unparsed.data(), m_unparsed.size());
    m_unparsed.erase(0, consumed);
    if (m_parser.fault() != HttpFault::None) {
        reject(statusOf(m_parser.fault()));
    } else if (m_parser.isComplete()) {
        dispatchRequest();
    } else if (m_parser.expectsContinue() && !std::exchange(m_hasSentContinue, true)) {
        m_unwritten += "HTTP/1.1 100 Continue\r\n\r\n";
        asio::error_code ignored;
        const std::size_t written = m_socket.write_some(asio::buffer(m_unwritten), ignored);
        m_unwritten.erase(0, written);
    }
}

void CallerConnection::dispatchRequest()
{
    HttpRequest request = m_parser.takeRequest();
    m_state = State::Working;
    m_stateSince = Clock::now();
    m_isHeadRequest = request.method == "HEAD";
    m_isKeepAlive = request.keepAlive;
    m_hasSentContinue = false;
    m_events.onRequest(shared_from_this(), std::move(request));
}

void CallerConnection::reject(int status)
{
    m_events.onRejected(status);
    m_isKeepAlive = false;
    m_state = State::Working;
    HttpResponse response;
    response.status = status;
    respond(std::move(response));
}

void CallerConnection::respond(HttpResponse response)
{
    if (m_state != State::Working)
        return;
    m_isKeepAlive = m_isKeepAlive && !m_closesAfterResponse && response.keepAlive;
    response.keepAlive = m_isKeepAlive;
    std::string bytes;
    appendResponse(bytes, response, m_isHeadRequest);
    m_state = State::Writing;
    m_stateSince = Clock::now();
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
    if (!m_isKeepAlive) {
        linger();
        return;
    }
    m_state = State::Reading;
    m_stateSince = Clock::now();
    waitForData();
    if (m_unparsed.empty())
        return;
    // Posted, because the owner may still be finishing the request that it has just responded to.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_state == State::Reading)
            self->parseBytes();
    });
}

void CallerConnection::linger()
{
    m_state = State::Lingering;
    m_stateSince = Clock::now();
    m_unparsed.clear();
    asio::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    waitForData();
}

bool CallerConnection::closeIfIdle()
{
    if (m_state != State::Reading || m_parser.hasBegun() || !m_unparsed.empty())
        return m_state == State::Lingering || m_state == State::Closed;
    linger();
    return true;
}

void CallerConnection::sweep(Clock::time_point now, const CallerLimits &limits)
{
    m_parser.setLimits(sizeLimits(limits));
    const Clock::duration age = now - m_stateSince;
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
    const State previousState = std::exchange(m_state, State::Closed);
    if (previousState == State::Closed)
        return;
    asio::error_code ignored;
    m_socket.close(ignored);
    const CallerConnectionPtr self = shared_from_this();
    if (previousState == State::Working)
        m_events.onCallerDisconnected(self);
    m_events.onClosed(self);
}

} // namespace mangoshift
