#pragma once

#include <array>
#include <chrono>

#include <httplib.h>

namespace mangoshift {

/// One caller's connection as the HTTP library reads and writes it. What was read beyond a request
/// is kept for the next one.
class CallerStream : public httplib::Stream
{
public:
    /// Takes the socket, which is closed with the stream. A caller that is silent within a request
    /// for longer than `readTimeout`, or does not take the answer within `writeTimeout`, has
    /// failed.
    CallerStream(socket_t socket, std::chrono::milliseconds readTimeout,
                 std::chrono::milliseconds writeTimeout);
    ~CallerStream() override;
    CallerStream(const CallerStream &) = delete;
    CallerStream &operator=(const CallerStream &) = delete;

    /// Whether bytes of a further request have been read already.
    bool hasBufferedBytes() const { return m_begin < m_end; }

    /// Returns how long ago the last bytes that the kernel holds or gave to this stream reached the
    /// machine.
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
