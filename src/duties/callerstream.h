#pragma once

#include <array>
#include <chrono>
#include <cstddef>

#include <httplib.h>

#include "mangoshift/clock.h"

namespace mangoshift {

/// The limits on what is read for one request. The HTTP library bounds neither the lines of a head
/// nor a chunked body by itself.
struct RequestReadLimits
{
    /// The bytes of the request line and the headers, with the empty line after them.
    std::size_t headBytes = 64U << 10U;
    /// The bytes after the head, with the framing of chunks.
    std::size_t bodyBytes = 64U << 10U;
    /// The time from the first byte to the last one that may be waited for.
    std::chrono::milliseconds time{10'000};
};

/// A caller's connection, with the interface through which the HTTP library reads and writes it.
/// Bytes read past the end of a request are buffered for the next one.
class CallerStream : public httplib::Stream
{
public:
    /// Owns the socket and closes it on destruction. A read fails if the caller sends nothing for
    /// `readTimeout`, and once a request has exceeded `limits`; a write fails if the caller accepts
    /// no bytes within `writeTimeout`.
    CallerStream(socket_t socket, std::chrono::milliseconds readTimeout,
                 std::chrono::milliseconds writeTimeout, const RequestReadLimits &limits);
    ~CallerStream() override;
    CallerStream(const CallerStream &) = delete;
    CallerStream &operator=(const CallerStream &) = delete;

    /// Starts to count the bytes and the time of the next request.
    void startRequest();
    /// Refuses to read any more of the current request, whose rest is then unread, so that the
    /// connection has to close.
    void stopReading() { m_hasStoppedReading = true; }
    /// Returns true if the current request exceeded a limit, paused for too long or was stopped.
    bool hasStoppedReading() const { return m_hasStoppedReading; }
    /// Returns true if the head of the current request was read to its end. If not, it is invalid,
    /// and where the next request begins is unknown.
    bool hasReadHead() const;

    /// Returns true if bytes of the next request have already been read.
    bool hasBufferedBytes() const { return m_begin < m_end; }

    /// Returns how long ago this machine received the last data on the connection, whether read yet
    /// or not. Returns zero if the kernel cannot tell.
    std::chrono::milliseconds timeSinceLastData() const;

    bool is_readable() const override;
    bool is_writable() const override;
    ssize_t read(char *bytes, size_t size) override;
    ssize_t write(const char *bytes, size_t size) override;
    void get_remote_ip_and_port(std::string &ip, int &port) const override;
    void get_local_ip_and_port(std::string &ip, int &port) const override;
    socket_t socket() const override { return m_socket; }

private:
    static constexpr std::size_t BufferBytes = 4096;

    bool isReadyFor(short events, std::chrono::milliseconds timeout) const;
    bool isWithinLimits() const;
    void countBytes(const char *bytes, std::size_t size);

    socket_t m_socket;
    std::chrono::milliseconds m_readTimeout;
    std::chrono::milliseconds m_writeTimeout;
    RequestReadLimits m_limits;
    Clock::time_point m_requestDeadline;
    std::size_t m_headBytes = 0;
    std::size_t m_bodyBytes = 0;
    /// How much of the empty line that ends a head the last bytes match.
    std::size_t m_matchedHeadEnd = 0;
    bool m_hasStoppedReading = false;
    std::array<char, BufferBytes> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace mangoshift
