#include "http/socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/detail/socket_option.hpp>

namespace mangoshift {

namespace {

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// An idle connection is probed after this many seconds, then every second; after two unanswered
/// probes it is closed. A partition is thus detected within four seconds: that long after a
/// partition ends, a machine must count as connected again.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

} // namespace

void prepareSocket(asio::ip::tcp::socket &socket, std::chrono::milliseconds unacknowledged)
{
    // Errors are ignored: with the system's defaults a lost peer is detected later, but the
    // timeouts of the connection's owner still apply.
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(KeepAliveIdleSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(KeepAliveIntervalSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(KeepAliveProbes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(static_cast<int>(unacknowledged.count())),
                      ignored);
}

TransportTimes transportTimes(const asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    // The native handle does not change the socket, but Asio's accessor is not const.
    const int handle = const_cast<asio::ip::tcp::socket &>(socket).native_handle();
    if (getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return {};
    return {std::chrono::microseconds(info.tcpi_rtt), std::chrono::microseconds(info.tcpi_rttvar),
            std::chrono::milliseconds(info.tcpi_last_data_recv)};
}

} // namespace mangoshift
