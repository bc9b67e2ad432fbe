#pragma once

#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "http/httpparser.h"
#include "http/targetchannels.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// One connection of `TargetChannels`; its asynchronous operations keep it alive.
class TargetChannel : public std::enable_shared_from_this<TargetChannel>
{
public:
    TargetChannel(asio::io_context &io, TargetChannels &owner);

    void connect(const asio::ip::tcp::endpoint &endpoint);
    /// Sends a request on the idle connection.
    void send(CallNumber number, ForwardedRequestPtr request, TargetChannels::Done done);
    /// Bounds how long the answer to the call under way is awaited.
    void abandon(Clock::time_point closeAt);
    /// Closes where the establishment or an abandoned call is overdue. Returns true if it was an
    /// established connection that had gone silent.
    bool closeIfOverdue(Clock::time_point now, std::chrono::milliseconds connectTimeout);
    /// Closes without a word to the owner, which is going away.
    void detach();
    void close();

    CallNumber call() const { return m_call; }
    /// Returns true where the target is about to close the idle connection by its own time-out.
    bool isStale(Clock::time_point now) const { return now >= m_usableUntil; }
    Clock::time_point lastAnswer() const { return m_lastAnswer; }
    Clock::time_point sentAt() const { return m_sentAt; }

private:
    void onConnect(const asio::error_code &error);
    void awaitBytes();
    void readBytes();
    void takeBytes(const char *bytes, std::size_t size);
    /// `isLast` says that no byte came behind the answer.
    void takeAnswer(bool isLast);
    void writeRest();
    void noteKeepAlive(const HttpHeaders &headers);
    void end(TargetCallResult::End end);

    TargetChannels *m_owner;
    asio::ip::tcp::socket m_socket;
    HttpParser m_parser;
    CallNumber m_call = 0;
    ForwardedRequestPtr m_request;
    TargetChannels::Done m_done;
    /// What the socket has not taken yet of the request.
    std::string m_unwritten;
    Clock::time_point m_openedAt;
    Clock::time_point m_sentAt{};
    Clock::time_point m_lastAnswer{};
    Clock::time_point m_usableUntil = Clock::time_point::max();
    Clock::time_point m_closeAt = Clock::time_point::max();
    bool m_isConnected = false;
    bool m_isClosed = false;
};

} // namespace mangoshift
