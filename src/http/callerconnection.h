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

/// What a listener's connections report, all on the listener's thread.
struct CallerEvents
{
    /// A whole request is in; it is to be answered with `respond` once.
    std::function<void(const CallerConnectionPtr &, HttpRequest)> onRequest;
    /// The caller has left before its request was answered.
    std::function<void(const CallerConnectionPtr &)> onCallerDisconnected;
    /// The connection is closed; called once.
    std::function<void(const CallerConnectionPtr &)> onClosed;
    /// Bytes that are no acceptable request were answered with this status.
    std::function<void(int status)> onRejected;
};

/// One connection from a caller: reads a request, waits for its answer, reads the next.
///
/// The connection is watched while a request is being worked on, so that a caller that leaves is
/// seen at once. Its asynchronous operations keep it alive. Belongs to one thread.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(asio::ip::tcp::socket socket, const CallerEvents &events,
                     const CallerLimits &limits);

    void start();
    /// Answers the request under way. The connection closes after it where the request, the
    /// response or `closeAfterAnswer` asks for that.
    void respond(HttpResponse response);
    /// From now on each answer is the connection's last.
    void closeAfterAnswer() { m_isLastAnswer = true; }
    /// Closes in an orderly way if no request has begun. Returns false where one has.
    bool closeIfIdle();
    /// Closes what is overdue: headers, a body, a caller that does not read, an idle connection.
    void sweep(Clock::time_point now, const CallerLimits &limits);
    void close();

private:
    enum class State : std::uint8_t { Reading, Working, Writing, Lingering, Closed };

    void awaitBytes();
    void readBytes();
    void takeBytes();
    void takeRequest();
    void reject(int status);
    void write(const std::string &bytes);
    void onWritten();
    void linger();

    asio::ip::tcp::socket m_socket;
    const CallerEvents &m_events;
    HttpParser m_parser;
    State m_state = State::Reading;
    /// Bytes that came behind the request that is being worked on.
    std::string m_pending;
    std::string m_unwritten;
    /// When the present state, or in `Reading` the present request, began.
    Clock::time_point m_since;
    bool m_isAwaiting = false;
    bool m_isHead = false;
    bool m_isKept = true;
    bool m_isLastAnswer = false;
    bool m_hasContinued = false;
};

} // namespace mangoshift
