#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include "base/address.h"
#include "http/httpexchange.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// How an HTTP exchange with a target ended.
struct HttpResult
{
    enum class End { Responded, ConnectFailed, TimedOut, Closed, Malformed };

    End end = End::ConnectFailed;
    /// Whether any byte of the request was given to the socket.
    bool hasSentBytes = false;
    /// Whether the target answered on another connection while this one stayed without an answer:
    /// then it is the connection that is at fault.
    bool isTargetResponsive = false;
    HttpResponse response; ///< Valid where `end` is `Responded`.
};

/// A request to a target, as a pool takes it.
struct PooledRequest
{
    /// Names the request to the target in `x-call-id` and in its cancellation.
    std::string callId;
    HttpRequest message;
    Clock::time_point deadline;
    /// Whether the target is told when the answer is no longer needed.
    bool isCancellable = true;
};

/// How long a pool waits for what should come soon.
struct PoolTimeouts
{
    std::chrono::milliseconds connect{100};
    /// For the answer to a request that was given up, before its connection counts as silent.
    std::chrono::milliseconds grace{25};
};

class TargetConnection;

/// The connections from this VM to one target, opened as requests need them and kept.
///
/// Runs on one event loop and belongs to its thread. A request uses one connection alone. Once it
/// is cancelled or its deadline has passed, the target is told by `DELETE /v1/requests/CALL` on
/// another connection; if its answer then comes within a short grace the connection is kept, else
/// the connection counts as silent and is closed, together with the idle ones that have answered
/// nothing since. At most two connections are attempted at once.
class TargetPool
{
public:
    using Done = std::function<void(HttpResult)>;

    TargetPool(asio::io_context &io, Address address, std::size_t maxConnections,
               PoolTimeouts timeouts = {});
    /// Closes all connections; the `done` of requests not yet ended is never called.
    ~TargetPool();
    TargetPool(const TargetPool &) = delete;
    TargetPool &operator=(const TargetPool &) = delete;

    /// Sends a request, on an idle connection where there is one; waits for one at the limit.
    /// `done` is called exactly once, shortly after the deadline or the cancellation at the
    /// latest, never from within `send`.
    void send(PooledRequest request, Done done);
    /// Takes in that the answer to a call is no longer needed. Its `done` follows.
    void cancel(const std::string &callId);
    void setMaxConnections(std::size_t maxConnections) { m_maxConnections = maxConnections; }

    const Address &address() const { return m_address; }
    std::size_t openConnections() const { return m_connections.size(); }
    std::size_t waitingRequests() const { return m_waiting.size(); }
    /// Returns true where no request is waiting or under way.
    bool isIdle() const { return m_waiting.empty() && m_busy.empty(); }
    /// Returns how many connections were closed because they had gone silent.
    std::uint64_t silentConnections() const { return m_silentConnections; }

private:
    friend class TargetConnection;
    using ConnectionPtr = std::shared_ptr<TargetConnection>;

    struct Waiting
    {
        PooledRequest request;
        Done done;
    };

    void startWaiting();
    void openConnections(std::size_t wanted);
    void armForWaiting();
    void failWaiting(const std::deque<Waiting>::iterator &which, HttpResult::End end);
    void sendCancellation(const std::string &callId);
    void scheduleStart();
    void onConnected(const ConnectionPtr &connection);
    void onConnectFailed(const ConnectionPtr &connection);
    void onAnswered(const ConnectionPtr &connection, const std::string &callId, bool isKept);
    void onClosed(const ConnectionPtr &connection, const std::string &callId);
    void onSilent(Clock::time_point writtenAt);

    asio::io_context &m_io;
    Address m_address;
    std::size_t m_maxConnections;
    PoolTimeouts m_timeouts;
    std::size_t m_connecting = 0;
    std::list<ConnectionPtr> m_connections;
    std::deque<ConnectionPtr> m_idle;
    std::unordered_map<std::string, ConnectionPtr> m_busy;
    std::deque<Waiting> m_waiting;
    asio::basic_waitable_timer<Clock> m_waitingTimer;
    Clock::time_point m_lastAnswer{};
    std::uint64_t m_silentConnections = 0;
    /// Expires with the pool, so that posted closures can tell that it is gone.
    std::shared_ptr<TargetPool *> m_self;
};

} // namespace mangoshift
