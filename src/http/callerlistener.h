#pragma once

#include <cstddef>
#include <unordered_set>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "base/address.h"
#include "http/callerconnection.h"
#include "net/acceptloop.h"

namespace mangoshift {

/// Accepts connections from callers on one address and owns them. Not thread-safe.
class CallerListener
{
public:
    /// Connections beyond `maxConnections` are closed immediately.
    CallerListener(asio::io_context &io, std::size_t maxConnections, CallerEvents events);
    ~CallerListener();
    CallerListener(const CallerListener &) = delete;
    CallerListener &operator=(const CallerListener &) = delete;

    /// Returns false if the address cannot be listened on.
    bool listen(const Address &address);
    /// Takes the connections that callers have made so far, and no further ones.
    void stopAccepting();
    /// Sets the limits of new connections, and of open connections from the next `sweep`.
    void setLimits(const CallerLimits &limits) { m_limits = limits; }
    /// Enforces the connections' timeouts. Must be called several times a second.
    void sweep(Clock::time_point now);
    /// Closes every connection, current or new, after its next response.
    void closeAfterResponses();
    /// Gracefully closes the connections on which no request is being received or processed.
    void closeIdle();

    std::size_t connections() const { return m_connections.size(); }
    /// Returns how often a connection could not be taken.
    std::uint64_t acceptFailures() const { return m_acceptLoop.failures(); }

private:
    void adopt(asio::ip::tcp::socket socket);

    asio::ip::tcp::acceptor m_acceptor;
    AcceptLoop m_acceptLoop;
    std::size_t m_maxConnections;
    CallerEvents m_events;
    CallerLimits m_limits;
    bool m_isClosingAfterResponses = false;
    std::unordered_set<CallerConnectionPtr> m_connections;
};

} // namespace mangoshift
