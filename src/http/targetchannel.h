#pragma once

#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "http/httpparser.h"
#include "http/targetchannels.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// One connection of `TargetChannels`. Pending asynchronous operations keep the object alive.
class TargetChannel : public std::enable_shared_from_this<TargetChannel>
{
public:
    TargetChannel(asio::io_context &io, TargetChannels &owner);

    void connect(const asio::ip::tcp::endpoint &endpoint);
    /// Sends a request. The connection must be idle.
    void send(CallNumber number, ForwardedRequestPtr request, TargetChannels::Done done,
              const TargetChannels::OnSent &onSent);
    /// Closes the connection if the response to the pending call does not arrive by
    /// `closeDeadline`.
    void abandon(Clock::time_point closeDeadline);
    /// Returns whether `closeIfOverdue` may have something to close.
    bool mayBeOverdue(Clock::time_point now) const
    {
        return !m_isConnected || (m_call != 0 && now >= m_closeDeadline);
    }
    /// Closes the connection if connecting or an abandoned call is overdue, after handling what has
    /// arrived. Returns true if an established connection was closed because no response arrived.
    bool closeIfOverdue(Clock::time_point now, std::chrono::milliseconds connectTimeout);
    /// Closes the connection without notifying the owner, which is being destroyed.
    void detach();
    void close();
    /// Handles what has arrived for the pending call; a busy thread may not have read it yet.
    void readArrived();

    CallNumber call() const { return m_call; }
    /// Returns true if the target may be about to close the idle connection by its keep-alive
    /// timeout.
    bool isPastReuseDeadline(Clock::time_point now) const { return now >= m_reuseDeadline; }
    Clock::time_point lastResponseAt() const { return m_lastResponseAt; }
    Clock::time_point sentAt() const { return m_sentAt; }

private:
    void onConnect(const asio::error_code &error);
    void waitForData();
    /// Reads once, and returns the number of bytes that had arrived.
    std::size_t readSocket();
    /// Returns whether the system has established the connection, which `onConnect` reports later.
    bool isEstablished() const;
    void parseBytes(const char *bytes, std::size_t size);
    /// `isBufferConsumed` is true if no bytes follow the response.
    void handleResponse(bool isBufferConsumed);
    void writeRemaining();
    void updateReuseDeadline(const HttpHeaders &headers);
    void finishWithoutResponse(TargetCallResult::End end);

    TargetChannels *m_owner;
    asio::ip::tcp::socket m_socket;
    HttpParser m_parser;
    CallNumber m_call = 0;
    ForwardedRequestPtr m_request;
    TargetChannels::Done m_done;
    /// The part of the request that is not written to the socket yet.
    std::string m_unwritten;
    /// Whether any byte of the request may have been given to the network.
    bool m_isSent = false;
    Clock::time_point m_openedAt;
    Clock::time_point m_sentAt{};
    Clock::time_point m_lastResponseAt{};
    Clock::time_point m_reuseDeadline = Clock::time_point::max();
    Clock::time_point m_closeDeadline = Clock::time_point::max();
    bool m_isConnected = false;
    bool m_isWaitingForData = false;
    bool m_isClosed = false;
};

} // namespace mangoshift
