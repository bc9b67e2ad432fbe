#pragma once

#include <array>
#include <memory>
#include <string>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "http/messagereader.h"
#include "mangoshift/clock.h"
#include "net/targetpool.h"

namespace mangoshift {

/// One connection of a `TargetPool`. Pending asynchronous operations keep the object alive.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    TargetConnection(asio::io_context &io, TargetPool &pool);

    /// Starts connecting. The pool is notified of the result.
    void connect();
    /// Returns whether nothing has arrived on the idle connection, not even its end. A busy thread
    /// may not have read it yet; what has arrived belongs to no request.
    bool isQuiet();
    /// Sends a request. The connection must be idle and quiet.
    void start(PooledRequest request, TargetPool::Done done);
    /// Cancels the pending request: sends a cancellation to the target, if the request is
    /// cancellable, and waits for the response during the grace period.
    void cancelRequest();
    /// Closes the connection. No request may be pending.
    void close() { close(HttpResult::End::Closed); }
    /// Closes the connection without notifying the pool, which is being destroyed.
    void detach();

    bool isConnected() const { return m_isConnected; }
    Clock::time_point lastResponseAt() const { return m_lastResponseAt; }

private:
    void onConnect(asio::error_code error);
    void write();
    /// Waits for bytes. They stay with the system until they are read, so that `isQuiet` sees them.
    void waitForData();
    void readSocket();
    void armDeadline(Clock::time_point at);
    void onDeadline();
    void onResponse(HttpResponse message);
    void close(HttpResult::End end);

    TargetPool *m_pool;
    asio::ip::tcp::socket m_socket;
    asio::basic_waitable_timer<Clock> m_deadlineTimer;
    MessageReader<HttpResponse> m_reader;
    PooledRequest m_request;
    TargetPool::Done m_done;
    std::array<char, 16U << 10U> m_buffer{};
    std::string m_requestBytes;
    Clock::time_point m_writtenAt{};
    Clock::time_point m_lastResponseAt{};
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_isCancelled = false;
};

} // namespace mangoshift
