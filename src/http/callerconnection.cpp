#include "http/callerconnection.h"

#include <array>
#include <cstddef>
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

/// Returns why a connection ends on which reading or writing failed.
ConnectionEnd::Cause causeOf(const asio::error_code &error)
{
    if (error == asio::error::eof)
        return ConnectionEnd::Cause::CallerClosed;
    return error == asio::error::timed_out ? ConnectionEnd::Cause::CallerSilent
                                           : ConnectionEnd::Cause::CallerReset;
}

} // namespace

std::string_view toString(ConnectionEnd::Cause cause)
{
    static constexpr std::array<std::string_view, 7> names{
        "caller_closed", "caller_reset", "caller_silent", "answer_not_read",
        "idle",          "last_answer",  "stop"};
    return names.at(static_cast<std::size_t>(cause));
}

std::string_view toString(ConnectionEnd::Phase phase)
{
    static constexpr std::array<std::string_view, 5> names{"idle", "receiving", "working",
                                                           "answering", "closing"};
    return names.at(static_cast<std::size_t>(phase));
}

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
                                self->close(causeOf(error));
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
        close(m_state == State::Lingering ? m_lingerCause : causeOf(error));
        return;
    }
    if (m_state == State::Reading && m_unparsed.empty() && !m_parser.hasBegun() && size > 0)
        m_stateSince = Clock::now();
    if (m_state == State::Lingering)
        m_discardedBytes += size;
    else
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
        close(causeOf(error));
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
                              self->close(causeOf(failure));
                          else
                              self->onWritten();
                      });
}

void CallerConnection::onWritten()
{
    if (!m_isKeepAlive) {
        linger(ConnectionEnd::Cause::LastAnswer);
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

void CallerConnection::linger(ConnectionEnd::Cause cause)
{
    m_state = State::Lingering;
    m_stateSince = Clock::now();
    m_lingerCause = cause;
    m_discardedBytes = m_unparsed.size();
    m_unparsed.clear();
    asio::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    waitForData();
}

bool CallerConnection::closeIfIdle()
{
    if (m_state != State::Reading || m_parser.hasBegun() || !m_unparsed.empty())
        return m_state == State::Lingering || m_state == State::Closed;
    linger(ConnectionEnd::Cause::Stop);
    return true;
}

void CallerConnection::sweep(Clock::time_point now, const CallerLimits &limits)
{
    m_parser.setLimits(sizeLimits(limits));
    const Clock::duration age = now - m_stateSince;
    const bool isOverdue = (m_state == State::Lingering && age >= LingerTime)
        || (m_state == State::Writing && age >= WriteTimeout);
    if (isOverdue) {
        close(m_state == State::Writing ? ConnectionEnd::Cause::AnswerNotRead : m_lingerCause);
    } else if (m_state == State::Reading) {
        if (!m_parser.hasBegun()) {
            if (age >= limits.idleTimeout + IdleMargin)
                linger(ConnectionEnd::Cause::Idle);
        } else if (age >= (m_parser.hasHeaders() ? BodyTimeout : limits.headerTimeout)) {
            reject(httpstatus::RequestTimeout);
        }
    }
}

ConnectionEnd::Phase CallerConnection::phase() const
{
    switch (m_state) {
    case State::Working:
        return ConnectionEnd::Phase::Working;
    case State::Writing:
        return ConnectionEnd::Phase::Answering;
    case State::Lingering:
    case State::Closed:
        return ConnectionEnd::Phase::Closing;
    case State::Reading:
        break;
    }
    return m_parser.hasBegun() || !m_unparsed.empty() ? ConnectionEnd::Phase::Receiving
                                                      : ConnectionEnd::Phase::Idle;
}

void CallerConnection::close(ConnectionEnd::Cause cause)
{
    if (m_state == State::Closed)
        return;
    const ConnectionEnd end{cause, phase(), m_discardedBytes + m_unparsed.size()};
    m_state = State::Closed;
    asio::error_code ignored;
    m_socket.close(ignored);
    const CallerConnectionPtr self = shared_from_this();
    if (end.phase == ConnectionEnd::Phase::Working)
        m_events.onCallerDisconnected(self, cause);
    if (m_events.onEnded)
        m_events.onEnded(end);
    m_events.onClosed(self);
}

} // namespace mangoshift
