#include "duties/callerstream.h"

#include <algorithm>
#include <cerrno>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace mangoshift {

namespace {

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
                           std::chrono::milliseconds writeTimeout)
    : m_socket(socket)
    , m_readTimeout(readTimeout)
    , m_writeTimeout(writeTimeout)
{
}

CallerStream::~CallerStream()
{
    // Closing a socket with unread bytes makes the kernel reset the connection, and the caller may
    // then lose the response.
    ::shutdown(m_socket, SHUT_WR);
    while (::recv(m_socket, m_buffer.data(), m_buffer.size(), MSG_DONTWAIT) > 0) {
    }
    ::close(m_socket);
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
    return hasBufferedBytes() || isReadyFor(POLLIN, m_readTimeout);
}

bool CallerStream::is_writable() const
{
    return isReadyFor(POLLOUT, m_writeTimeout);
}

ssize_t CallerStream::read(char *bytes, size_t size)
{
    if (!hasBufferedBytes()) {
        if (!is_readable())
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
