#include "duties/callerstream.h"

#include <algorithm>
#include <cerrno>
#include <string_view>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mangoshift {

namespace {

/// What is still read from a connection before it is closed, in bytes.
constexpr std::size_t MaxDrainedBytes = 1U << 20U;
constexpr std::string_view HeadEnd = "\r\n\r\n";

void formatEndpoint(const sockaddr_storage &address, std::string &ip, int &port)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(address);
        inet_ntop(AF_INET, &v4.sin_addr, text.data(), text.size());
        port = ntohs(v4.sin_port);
    } else if (address.ss_family == AF_INET6) {
        const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(address);
        inet_ntop(AF_INET6, &v6.sin6_addr, text.data(), text.size());
        port = ntohs(v6.sin6_port);
    }
    ip = text.data();
}

} // namespace

CallerStream::CallerStream(socket_t socket, std::chrono::milliseconds readTimeout,
                           std::chrono::milliseconds writeTimeout, const RequestReadLimits &limits)
    : m_socket(socket)
    , m_readTimeout(readTimeout)
    , m_writeTimeout(writeTimeout)
    , m_limits(limits)
{
    startRequest();
}

CallerStream::~CallerStream()
{
    // Closing a socket with unread bytes makes the kernel reset the connection, and the caller may
    // then lose the response. A caller that sends without an end loses it.
    ::shutdown(m_socket, SHUT_WR);
    std::size_t drained = 0;
    ssize_t size = 0;
    do {
        size = ::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT);
        drained += static_cast<std::size_t>(std::max<ssize_t>(size, 0));
    } while (size > 0 && drained < MaxDrainedBytes);
    ::close(m_socket);
}

void CallerStream::startRequest()
{
    m_requestDeadline = Clock::now() + m_limits.time;
    m_headBytes = 0;
    m_bodyBytes = 0;
    m_matchedHeadEnd = 0;
    m_hasStoppedReading = false;
}

bool CallerStream::hasReadHead() const
{
    return m_matchedHeadEnd == HeadEnd.size();
}

bool CallerStream::isWithinLimits() const
{
    return m_headBytes <= m_limits.headBytes && m_bodyBytes <= m_limits.bodyBytes;
}

void CallerStream::countBytes(const char *bytes, std::size_t size)
{
    std::size_t i = 0;
    for (; i < size && m_matchedHeadEnd < HeadEnd.size(); ++i) {
        ++m_headBytes;
        if (bytes[i] == HeadEnd[m_matchedHeadEnd])
            ++m_matchedHeadEnd;
        else
            m_matchedHeadEnd = bytes[i] == HeadEnd.front() ? 1 : 0;
    }
    m_bodyBytes += size - i;
}

std::chrono::milliseconds CallerStream::timeSinceLastData() const
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(m_socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return std::chrono::milliseconds(0);
    return std::chrono::milliseconds(info.tcpi_last_data_recv);
}

bool CallerStream::isReadyFor(short events, std::chrono::milliseconds timeout) const
{
    pollfd pollFd{m_socket, events, 0};
    int ready = 0;
    do
        ready = ::poll(&pollFd, 1, static_cast<int>(timeout.count()));
    while (ready < 0 && errno == EINTR);
    return ready > 0;
}

bool CallerStream::is_readable() const
{
    if (hasBufferedBytes())
        return true;
    // Bytes that have arrived are read even after the deadline: the process may have been paused.
    const auto timeLeft = std::max(
        std::chrono::duration_cast<std::chrono::milliseconds>(m_requestDeadline - Clock::now()),
        std::chrono::milliseconds(0));
    return isReadyFor(POLLIN, std::min(timeLeft, m_readTimeout));
}

bool CallerStream::is_writable() const
{
    return isReadyFor(POLLOUT, m_writeTimeout);
}

ssize_t CallerStream::read(char *bytes, size_t size)
{
    m_hasStoppedReading = m_hasStoppedReading || !isWithinLimits();
    if (m_hasStoppedReading)
        return -1;
    if (!hasBufferedBytes()) {
        m_hasStoppedReading = !is_readable();
        if (m_hasStoppedReading)
            return -1;
        const ssize_t received = ::recv(m_socket, m_buffer.data(), m_buffer.size(), 0);
        if (received <= 0)
            return received;
        m_begin = 0;
        m_end = static_cast<std::size_t>(received);
    }
    const std::size_t copied = std::min(size, m_end - m_begin);
    std::copy_n(m_buffer.data() + m_begin, copied, bytes);
    m_begin += copied;
    countBytes(bytes, copied);
    return static_cast<ssize_t>(copied);
}

ssize_t CallerStream::write(const char *bytes, size_t size)
{
    if (!is_writable())
        return -1;
    return ::send(m_socket, bytes, size, MSG_NOSIGNAL);
}

void CallerStream::get_remote_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (::getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0)
        formatEndpoint(address, ip, port);
}

void CallerStream::get_local_ip_and_port(std::string &ip, int &port) const
{
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (::getsockname(m_socket, reinterpret_cast<sockaddr *>(&address), &size) == 0)
        formatEndpoint(address, ip, port);
}

} // namespace mangoshift
