#pragma once

#include <atomic>
#include <chrono>

#include <httplib.h>

#include "base/address.h"
#include "mangoshift/clock.h"

namespace mangoshift {

class CallerStream;

/// The HTTP server that callers connect to: the HTTP library reads and routes the requests, and
/// this class decides when connections are taken and closed, so that a stop cuts no request off.
class CallerServer : public httplib::Server
{
public:
    CallerServer();
    ~CallerServer() override;
    CallerServer(const CallerServer &) = delete;
    CallerServer &operator=(const CallerServer &) = delete;

    /// Listens on `address`, with a queue of `backlog` connections that wait to be accepted.
    /// Returns false where the address cannot be listened on.
    bool listenOn(const Address &address, int backlog);
    /// Makes each answer to a request that is read from now on the last of its connection. Any
    /// thread may call it.
    void closeAfterResponses() { m_isDraining = true; }
    /// Returns when the request that the calling thread serves had come whole to this machine. That
    /// is long before it is read where the process was paused meanwhile. On a thread that serves
    /// none it is now.
    static Clock::time_point arrivedAt();
    /// Takes no new connection, then closes the idle ones as soon as every connection that the
    /// kernel had taken is accepted. `listen_after_bind` returns when all requests are answered.
    void finish();

private:
    bool process_and_close_socket(socket_t socket) override;
    bool awaitRequest(const CallerStream &stream, bool isFirst) const;
    void awaitEmptyQueue() const;

    std::atomic<bool> m_isDraining{false};
    /// Readable once idle connections are to be closed.
    int m_ending;
};

} // namespace mangoshift
