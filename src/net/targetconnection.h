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

/// One connection of a `TargetPool`; its asynchronous operations keep it alive.
class TargetConnection : public std::enable_shared_from_this<TargetConnection>
{
public:
    TargetConnection(asio::io_context &io, TargetPool &pool);

    /// Begins to connect; the pool hears of the end.
    void connect();
    /// Sends a request on the idle connection.
    void start(PooledRequest request, TargetPool::Done done);
    /// Gives up the request under way: the target is told, and its answer awaited for a grace.
    void cancelRequest();
    /// Closes the connection, which has no request.
    void close() { close(HttpResult::End::Closed); }
    /// Forgets the pool, which is going away, and closes.
    void detach();

    bool isConnected() const { return m_isConnected; }
    Clock::time_point lastResponseAt() const { return m_lastResponseAt; }

private:
    void onConnect(asio::error_code error);
    void write();
    void read();
    void armDeadline(Clock::time_point at);
    void onDeadline();
    void onResponse(HttpResponse message);
    void close(HttpResult::End end);

    TargetPool *m_pool;
    asio::ip::tcp::socket m_socket;
    asio::basic_waitable_timer<Clock> m_deadline;
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
