#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include "http/httpexchange.h"
#include "http/httpparser.h"
#include "mangoshift/callertimeouts.h"
#include "mangoshift/clock.h"
#include "mangoshift/replylead.h"
#include "mangoshift/routing.h"

namespace mangoshift {

class CallerConnection;
using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

/// How a caller's connection ended.
struct ConnectionEnd
{
    enum class Cause : std::uint8_t {
        CallerClosed, ///< The caller closed the connection, or its sending side.
        CallerReset, ///< Reading or writing failed.
        CallerSilent, ///< The caller's host has stopped to acknowledge what it is sent.
        AnswerNotRead, ///< The caller did not read its response in time.
        Idle, ///< No request has arrived for the idle limit.
        LastAnswer, ///< The response was the last one of the connection.
        Stop, ///< The VM stops.
        Error, ///< A request of the connection met an unexpected error.
    };

    Cause cause;
    /// What the connection was doing.
    CallerPhase phase;
    /// The number of bytes that were received and not parsed.
    std::size_t unusedBytes = 0;
};

std::string_view toString(ConnectionEnd::Cause cause);

/// The callbacks of a listener's connections, all called on the listener's thread. `CallerListener`
/// sets `onClosed` itself.
struct CallerEvents
{
    /// A complete request was received. The handler must call `respond` exactly once. Never called
    /// from within `respond`.
    std::function<void(const CallerConnectionPtr &, HttpRequest)> onRequest;
    /// The caller disconnected before its request was answered.
    std::function<void(const CallerConnectionPtr &, ConnectionEnd::Cause)> onCallerDisconnected;
    /// The caller has closed its sending side, or the whole connection, before its request was
    /// answered: which of both shows only once it is sent something. The handler must respond
    /// soon. If this is empty, the connection is closed instead.
    std::function<void(const CallerConnectionPtr &)> onCallerFinished;
    /// The connection ended for this reason; called before `onClosed`. May be empty.
    std::function<void(const ConnectionEnd &)> onEnded;
    /// The connection was closed; called once.
    std::function<void(const CallerConnectionPtr &)> onClosed;
    /// An invalid or overdue request was rejected with this status.
    std::function<void(int status)> onRejected;
};

/// A connection from a caller. Processes one request at a time; a pipelined request is parsed only
/// after the response to the previous one was written.
///
/// The socket is also read while a request is being processed, so that a disconnect of the caller
/// is detected at once. Pending asynchronous operations keep the object alive. Not thread-safe.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, const CallerEvents &events,
                     const CallerLimits &limits);

    void start();
    /// Sends the response to the current request. Closes the connection afterwards if the request,
    /// the response or `closeAfterResponse` asks for it.
    void respond(HttpResponse response);
    /// Closes the connection after the current response, or after the next one if none is pending.
    void closeAfterResponse() { m_closesAfterResponse = true; }
    /// Closes the connection gracefully unless a request is being received or processed or its
    /// response is being written. Returns false if one is.
    bool closeIfIdle();
    /// Enforces the timeouts, see `CallerTimeouts`: rejects a request whose headers or body are
    /// overdue, and closes the connection if the caller does not read its response or if the
    /// connection is idle too long.
    void sweep(Clock::time_point now, const CallerLimits &limits);
    void close(ConnectionEnd::Cause cause);
    /// Returns what is known of the way to the caller. To be called when a request has been read.
    CallerWay way() const;

private:
    void waitForData();
    /// Reads once, and returns whether any bytes had arrived.
    bool readSocket();
    /// Handles all that has arrived, unless a request is being processed. A busy thread may not
    /// have read it yet.
    void readAll();
    void onReadClosed();
    bool isReading() const;
    void parseBytes();
    /// Sends the interim response that the caller waits for before it sends the body.
    void continueIfExpected();
    void dispatchRequest();
    void reject(int status);
    void write(const std::string &bytes);
    void onWritten();
    /// Closes a connection from which everything has been read.
    void closeIdle(ConnectionEnd::Cause cause);
    /// Closes the sending side, and the connection once the caller has closed it too.
    void linger(ConnectionEnd::Cause cause);
    CallerPhase phase() const { return m_timeouts.phase(); }
    void enter(CallerPhase phase) { m_timeouts.enter(phase, Clock::now()); }

    asio::ip::tcp::socket m_socket;
    const CallerEvents &m_events;
    HttpParser m_parser;
    CallerTimeouts m_timeouts;
    /// Why the sending side was closed, in `CallerPhase::Closing`.
    ConnectionEnd::Cause m_lingerCause = ConnectionEnd::Cause::LastAnswer;
    /// The number of bytes received in `CallerPhase::Closing`, or not parsed when it began.
    std::size_t m_discardedBytes = 0;
    /// Received bytes that are not parsed yet, such as those after the current request.
    std::string m_unparsed;
    std::string m_unwritten;
    bool m_isWaitingForData = false;
    /// Whether the caller has closed its sending side.
    bool m_isReadClosed = false;
    bool m_isHeadRequest = false;
    bool m_isKeepAlive = true;
    bool m_closesAfterResponse = false;
    bool m_hasSentContinue = false;
    Clock::time_point m_acceptedAt;
    /// Whether a request was read before the current one.
    bool m_hasEarlierRequest = false;
};

} // namespace mangoshift
