#include "http/callerconnection.h"

#include <array>
#include <cstddef>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include "base/atexit.h"
#include "http/httpstatus.h"
#include "http/socketoptions.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

constexpr std::size_t ReadBytes = 64U << 10U;
/// If at least this many received bytes are buffered, the socket is not read until the current
/// request is answered. The last read may exceed this number by up to `ReadBytes`.
constexpr std::size_t MaxUnparsedBytes = 64U << 10U;
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
    static constexpr std::array<std::string_view, 8> names{
        "caller_closed", "caller_reset", "caller_silent", "answer_not_read",
        "idle",          "last_answer",  "stop",          "error"};
    return names.at(static_cast<std::size_t>(cause));
}

CallerConnection::CallerConnection(tcp::socket socket, const CallerEvents &events,
                                   const CallerLimits &limits)
    : m_socket(std::move(socket))
    , m_events(events)
    , m_parser(HttpParser::Side::Requests, sizeLimits(limits))
    , m_timeouts(limits, Clock::now())
    , m_acceptedAt(Clock::now())
{
}

void CallerConnection::start()
{
    prepareSocket(m_socket, CallerTimeouts::WriteTimeout);
    waitForData();
}

void CallerConnection::waitForData()
{
    if (m_isReadClosed || std::exchange(m_isWaitingForData, true))
        return;
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](const asio::error_code &error) {
                            self->m_isWaitingForData = false;
                            if (self->phase() == CallerPhase::Closed)
                                return;
                            if (error) {
                                self->close(causeOf(error));
                                return;
                            }
                            // A request that could not be handled gets no answer.
                            bool isHandled = false;
                            const AtExit end([&] {
                                if (!isHandled)
                                    self->close(ConnectionEnd::Cause::Error);
                            });
                            self->readSocket();
                            isHandled = true;
                        });
}

bool CallerConnection::readSocket()
{
    static thread_local std::array<char, ReadBytes> buffer;
    asio::error_code error;
    const std::size_t size = m_socket.read_some(asio::buffer(buffer), error);
    if (error == asio::error::eof) {
        onReadClosed();
        return false;
    }
    if (error && error != asio::error::would_block) {
        close(phase() == CallerPhase::Closing ? m_lingerCause : causeOf(error));
        return false;
    }
    if (phase() == CallerPhase::Idle && size > 0)
        enter(CallerPhase::Receiving);
    if (phase() == CallerPhase::Closing)
        m_discardedBytes += size;
    else
        m_unparsed.append(buffer.data(), size);
    if (isReading())
        parseBytes();
    if (phase() != CallerPhase::Closed && m_unparsed.size() < MaxUnparsedBytes)
        waitForData();
    return size > 0;
}

void CallerConnection::readAll()
{
    while (isReading() && m_unparsed.size() < MaxUnparsedBytes && readSocket()) {
    }
}

bool CallerConnection::isReading() const
{
    return phase() == CallerPhase::Idle || phase() == CallerPhase::Receiving;
}

void CallerConnection::onReadClosed()
{
    m_isReadClosed = true;
    const bool hasWaitingRequest = phase() == CallerPhase::Receiving && !m_unparsed.empty();
    if (phase() == CallerPhase::Answering || hasWaitingRequest)
        return;
    if (phase() == CallerPhase::Working && m_events.onCallerFinished)
        m_events.onCallerFinished(shared_from_this());
    else
        close(phase() == CallerPhase::Closing ? m_lingerCause : ConnectionEnd::Cause::CallerClosed);
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
    } else if (m_parser.hasHeaders() && phase() == CallerPhase::Receiving) {
        m_timeouts.onHeaders();
        continueIfExpected();
    }
}

void CallerConnection::continueIfExpected()
{
    if (!m_parser.expectsContinue() || std::exchange(m_hasSentContinue, true))
        return;
    m_unwritten += "HTTP/1.1 100 Continue\r\n\r\n";
    asio::error_code ignored;
    const std::size_t written = m_socket.write_some(asio::buffer(m_unwritten), ignored);
    m_unwritten.erase(0, written);
}

void CallerConnection::dispatchRequest()
{
    HttpRequest request = m_parser.takeRequest();
    enter(CallerPhase::Working);
    m_isHeadRequest = request.method == "HEAD";
    m_isKeepAlive = request.keepAlive;
    m_hasSentContinue = false;
    const CallerConnectionPtr self = shared_from_this();
    m_events.onRequest(self, std::move(request));
    m_hasEarlierRequest = true;
    if (m_isReadClosed && phase() == CallerPhase::Working)
        onReadClosed();
}

CallerWay CallerConnection::way() const
{
    const TransportTimes times = transportTimes(m_socket);
    CallerWay way;
    way.roundTrip = times.roundTrip;
    way.deviation = times.deviation;
    way.unread = times.sinceLastData;
    // A caller that needs the connection sends its request together with the last packet of the
    // handshake.
    way.isOpenedForRequest =
        !m_hasEarlierRequest && Clock::now() - times.sinceLastData - m_acceptedAt < times.roundTrip;
    return way;
}

void CallerConnection::reject(int status)
{
    m_events.onRejected(status);
    m_isKeepAlive = false;
    enter(CallerPhase::Working);
    HttpResponse response;
    response.status = status;
    respond(std::move(response));
}

void CallerConnection::respond(HttpResponse response)
{
    if (phase() != CallerPhase::Working)
        return;
    // Requests that have arrived already are answered first.
    const bool isLast = (m_closesAfterResponse || m_isReadClosed) && m_unparsed.empty();
    m_isKeepAlive = m_isKeepAlive && !isLast && response.keepAlive;
    response.keepAlive = m_isKeepAlive;
    std::string bytes;
    appendResponse(bytes, response, m_isHeadRequest);
    enter(CallerPhase::Answering);
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
                          if (self->phase() == CallerPhase::Closed)
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
    if (!m_isKeepAlive || (m_isReadClosed && m_unparsed.empty())) {
        linger(ConnectionEnd::Cause::LastAnswer);
        return;
    }
    enter(CallerPhase::Idle);
    waitForData();
    if (m_unparsed.empty())
        return;
    enter(CallerPhase::Receiving);
    // Posted, because the owner may still be finishing the request that it has just responded to.
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->isReading())
            return;
        self->parseBytes();
        if (self->m_isReadClosed && self->isReading() && self->m_unparsed.empty())
            self->close(ConnectionEnd::Cause::CallerClosed);
    });
}

void CallerConnection::linger(ConnectionEnd::Cause cause)
{
    enter(CallerPhase::Closing);
    m_lingerCause = cause;
    m_discardedBytes = m_unparsed.size();
    m_unparsed.clear();
    asio::error_code ignored;
    m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    if (m_isReadClosed)
        close(cause);
    else
        waitForData();
}

void CallerConnection::closeIdle(ConnectionEnd::Cause cause)
{
    // A request that crosses the end of the connection must not be read, so that its caller may
    // repeat it. Only a response that the caller may still be receiving is worth more.
    if (m_timeouts.isSettled(Clock::now()))
        close(cause);
    else
        linger(cause);
}

bool CallerConnection::closeIfIdle()
{
    readAll();
    if (phase() == CallerPhase::Idle)
        closeIdle(ConnectionEnd::Cause::Stop);
    return phase() == CallerPhase::Closing || phase() == CallerPhase::Closed;
}

void CallerConnection::sweep(Clock::time_point now, const CallerLimits &limits)
{
    using Due = CallerTimeouts::Due;
    m_timeouts.setLimits(limits);
    m_parser.setLimits(sizeLimits(m_timeouts.limits()));
    if (m_timeouts.check(now) == Due::Nothing)
        return;
    readAll();
    switch (m_timeouts.check(now)) {
    case Due::Nothing:
        break;
    case Due::CloseIdle:
        closeIdle(ConnectionEnd::Cause::Idle);
        break;
    case Due::RejectOverdue:
        reject(httpstatus::RequestTimeout);
        break;
    case Due::Abort:
        close(phase() == CallerPhase::Answering ? ConnectionEnd::Cause::AnswerNotRead
                                                : m_lingerCause);
        break;
    }
}

void CallerConnection::close(ConnectionEnd::Cause cause)
{
    if (phase() == CallerPhase::Closed)
        return;
    const ConnectionEnd end{cause, phase(), m_discardedBytes + m_unparsed.size()};
    enter(CallerPhase::Closed);
    asio::error_code ignored;
    m_socket.close(ignored);
    const CallerConnectionPtr self = shared_from_this();
    if (end.phase == CallerPhase::Working)
        m_events.onCallerDisconnected(self, cause);
    if (m_events.onEnded)
        m_events.onEnded(end);
    m_events.onClosed(self);
}

} // namespace mangoshift
