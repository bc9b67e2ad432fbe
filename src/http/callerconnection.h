#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "http/httpexchange.h"
#include "http/httpparser.h"
#include "mangoshift/clock.h"
#include "mangoshift/routing.h"

namespace mangoshift {

class CallerConnection;
using CallerConnectionPtr = std::shared_ptr<CallerConnection>;

/// The callbacks of a listener's connections, all called on the listener's thread. `CallerListener`
/// sets `onClosed` itself.
struct CallerEvents
{
    /// A complete request was received. The handler must call `respond` exactly once. Never called
    /// from within `respond`.
    std::function<void(const CallerConnectionPtr &, HttpRequest)> onRequest;
    /// The caller disconnected before its request was answered.
    std::function<void(const CallerConnectionPtr &)> onCallerDisconnected;
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
    /// Enforces the timeouts: rejects a request whose headers or body are overdue, and closes the
    /// connection if the caller does not read its response or if the connection is idle too long.
    void sweep(Clock::time_point now, const CallerLimits &limits);
    void close();

private:
    enum class State : std::uint8_t { Reading, Working, Writing, Lingering, Closed };

    void waitForData();
    void readSocket();
    void parseBytes();
    void dispatchRequest();
    void reject(int status);
    void write(const std::string &bytes);
    void onWritten();
    void linger();

    asio::ip::tcp::socket m_socket;
    const CallerEvents &m_events;
    HttpParser m_parser;
    State m_state = State::Reading;
    /// Received bytes that are not parsed yet, such as those after the current request.
    std::string m_unparsed;
    std::string m_unwritten;
    /// When the current state began; in `Reading`, when the first byte of the current request was
    /// received, once there is one.
    Clock::time_point m_stateSince;
    bool m_isWaitingForData = false;
    bool m_isHeadRequest = false;
    bool m_isKeepAlive = true;
    bool m_closesAfterResponse = false;
    bool m_hasSentContinue = false;
};

} // namespace mangoshift
