#pragma once

#include <atomic>
#include <chrono>

#include <httplib.h>

#include "base/address.h"
#include "mangoshift/clock.h"

namespace mangoshift {

class CallerStream;

/// The HTTP server for callers. The HTTP library reads and routes the requests; this class decides
/// when connections are accepted and closed, so that stopping interrupts no request.
class CallerServer : public httplib::Server
{
public:
    CallerServer();
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
    /// Drops new connection attempts, accepts the connections that the kernel has already
    /// established, then closes idle connections. `listen_after_bind` returns once every request
    /// has its response.
    void stopGracefully();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool waitForRequest(const CallerStream &stream, bool isFirst) const;
    void waitForEmptyAcceptQueue() const;

    std::atomic<bool> m_isDraining{false};
    /// An eventfd that becomes readable when idle connections have to close.
    int m_stopEvent;
};

} // namespace mangoshift
