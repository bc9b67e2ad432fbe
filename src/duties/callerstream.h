#pragma once

#include <array>
#include <chrono>

#include <httplib.h>

namespace mangoshift {

/// A caller's connection, with the interface through which the HTTP library reads and writes it.
/// Bytes read past the end of a request are buffered for the next one.
class CallerStream : public httplib::Stream
{
public:
    /// Owns the socket and closes it on destruction. A read fails if the caller sends nothing for
    /// `readTimeout`; a write fails if the caller accepts no bytes within `writeTimeout`.
    CallerStream(socket_t socket, std::chrono::milliseconds readTimeout,
                 std::chrono::milliseconds writeTimeout);
    ~CallerStream() override;
    CallerStream(const CallerStream &) = delete;
    CallerStream &operator=(const CallerStream &) = delete;

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

    socket_t m_socket;
    std::chrono::milliseconds m_readTimeout;
    std::chrono::milliseconds m_writeTimeout;
    std::array<char, BufferBytes> m_buffer{};
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
};

} // namespace mangoshift
