#pragma once

#include <atomic>
#include <chrono>

#include <httplib.h>

#include "base/address.h"
#include "duties/callerstream.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// The HTTP server for callers and operators. The HTTP library reads and routes the requests; this
/// class bounds what is read for each, and decides when connections are accepted and closed, so
/// that stopping interrupts no request. Encoded bodies are refused with 415, because a short one
/// may become a long one.
class CallerServer : public httplib::Server
{
public:
    explicit CallerServer(const RequestReadLimits &limits);
    ~CallerServer() override;
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Listens on `address` with an accept queue of `backlog` connections. Returns false if the
    /// address cannot be bound.
    bool listenOn(const Address &address, int backlog);
    /// Closes each connection after the response to the next request that is read from it. Safe to
    /// call from any thread.
    void closeAfterResponses() { m_isDraining = true; }
    /// Returns when the last byte of the request that the calling thread serves reached this
    /// machine. If the process was paused after that, the request is read much later. Returns the
    /// current time on a thread that serves no request.
    static Clock::time_point requestArrivalTime();
    /// Drops new connection attempts, closes idle connections, and accepts all connections that the
    /// kernel has already established. `listen_after_bind` returns once every request has its
    /// response.
    void stopGracefully();
    /// Closes the listening socket and the idle connections. `listen_after_bind` returns once every
    /// request has its response.
    void stopAccepting();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool waitForRequest(const CallerStream &stream, bool isFirst) const;
    void waitForEmptyAcceptQueue(std::chrono::steady_clock::time_point end) const;

    RequestReadLimits m_limits;
    std::atomic<bool> m_isDraining{false};
    /// An eventfd that becomes readable when idle connections have to close.
    int m_stopEvent;
};

} // namespace mangoshift
