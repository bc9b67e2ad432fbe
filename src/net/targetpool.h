#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include "base/address.h"
#include "http/httpexchange.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// The header with the id of a request to a target.
inline constexpr std::string_view CallIdHeader = "x-call-id";

/// The result of an HTTP request to a target.
struct HttpResult
{
    enum class End { Responded, ConnectFailed, TimedOut, Closed, Malformed };

    End end = End::ConnectFailed;
    /// Whether any byte of the request may have been sent.
    bool hasSentBytes = false;
    /// Whether the target responded on another connection while this one timed out, which means
    /// that the connection failed rather than the target.
    bool isTargetResponsive = false;
    HttpResponse response; ///< Valid where `end` is `Responded`.
};

/// A request to be sent through a `TargetPool`.
struct PooledRequest
{
    /// Identifies the request to the target, in the header `CallIdHeader` and in a cancellation.
    /// Targets may echo that header: a response with another id belongs to no pending request.
    std::string callId;
    HttpRequest message;
    Clock::time_point deadline;
    /// Whether a cancellation is sent to the target when the response is no longer needed.
    bool isCancellable = true;
};

/// The timeouts of a `TargetPool`.
struct PoolTimeouts
{
    std::chrono::milliseconds connect{100};
    /// How long to wait for the response to a cancelled or expired request before its connection
    /// counts as silent.
    std::chrono::milliseconds gracePeriod{25};
    /// How long a connection may stay idle before it is closed.
    std::chrono::milliseconds idle{10000};
};

class TargetConnection;

/// A pool of connections from this VM, as a home VM, to one target. Connections are opened on
/// demand and reused. (`TargetChannels` forwards callers' requests.)
///
/// Must be used on the thread of its event loop only. A connection carries one request at a time.
/// When a request is cancelled or its deadline passes, the pool sends `DELETE /v1/requests/CALL_ID`
/// on another connection. If the response arrives within the grace period, the connection is kept.
/// Otherwise the connection counts as silent and is closed, together with the idle connections that
/// received no response since the request was sent. At most two connection attempts run
/// concurrently.
///
/// Idle connections are closed after a while: a target accepts a limited number of connections from
/// all VMs together, and a VM may use it only while another home of its shard is late or away.
class TargetPool
{
public:
    using Done = std::function<void(HttpResult)>;
    using OnSent = std::function<void()>;

    TargetPool(asio::io_context &io, Address address, std::size_t maxConnections,
               PoolTimeouts timeouts = {});
    /// Closes all connections. `done` is not called for requests that have not ended.
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /// Sends a request on an idle or new connection, or queues it if the connection limit is
    /// reached. `done` is called exactly once, at the latest shortly after the deadline or the
    /// cancellation, and never from within `send`. `onSent` is called when the request is given to
    /// a connection, possibly from within `send`; a request that is cancelled before is not sent.
    void send(PooledRequest request, Done done, OnSent onSent = nullptr);
    /// Cancels the request with this ID, whose response is no longer needed. Its `done` is called
    /// later.
    void cancel(const std::string &callId);
    void setMaxConnections(std::size_t maxConnections) { m_maxConnections = maxConnections; }

    const Address &address() const { return m_address; }
    std::size_t openConnections() const { return m_connections.size(); }
    std::size_t waitingRequests() const { return m_waiting.size(); }
    /// Returns true if no request is waiting or in flight.
    bool isIdle() const { return m_waiting.empty() && m_busy.empty(); }
    /// Returns the number of connections closed because a response did not arrive in time.
    std::uint64_t silentConnections() const { return m_silentConnections; }

private:
    friend class TargetConnection;
    using ConnectionPtr = std::shared_ptr<TargetConnection>;

    struct WaitingRequest
    {
        PooledRequest request;
        Done done;
        OnSent onSent;
    };

    void dispatchWaiting();
    void openConnections(std::size_t wantedConnections);
    void armWaitingTimer();
    void failWaiting(const std::deque<WaitingRequest>::iterator &position, HttpResult::End end);
    void sendCancellation(const std::string &callId);
    void scheduleDispatch();
    void addIdle(const ConnectionPtr &connection);
    void armIdleTimer();
    void closeIdle(const std::function<bool(const TargetConnection &)> &isWanted);
    void onConnected(const ConnectionPtr &connection);
    void onConnectFailed(const ConnectionPtr &connection);
    void onResponded(const ConnectionPtr &connection, const std::string &callId, bool isKeepAlive);
    void onClosed(const ConnectionPtr &connection, const std::string &callId);
    void onConnectionSilent(Clock::time_point writtenAt);

    asio::io_context &m_io;
    Address m_address;
    std::size_t m_maxConnections;
    PoolTimeouts m_timeouts;
    std::size_t m_connecting = 0;
    std::list<ConnectionPtr> m_connections;
    /// The connections without a request; the one that has been idle for longest comes first.
    std::deque<ConnectionPtr> m_idle;
    std::unordered_map<std::string, ConnectionPtr> m_busy;
    std::deque<WaitingRequest> m_waiting;
    asio::basic_waitable_timer<Clock> m_waitingTimer;
    asio::basic_waitable_timer<Clock> m_idleTimer;
    Clock::time_point m_lastResponseAt{};
    std::uint64_t m_silentConnections = 0;
    /// Expires with the pool, so that posted handlers can detect its destruction.
    std::shared_ptr<TargetPool *> m_self;
};

} // namespace mangoshift
