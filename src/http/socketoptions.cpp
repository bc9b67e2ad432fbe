#include "http/socketoptions.h"

#include <netinet/tcp.h>

#include <asio/detail/socket_option.hpp>

namespace mangoshift {

namespace {

template <int Name>
using TcpOption = asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

/// An idle connection is probed after this many seconds, then each second; two probes without an
/// answer end it. A partition is thus noticed within the four seconds after which the users' rules
/// count a machine as in touch again.
constexpr int KeepAliveIdleSeconds = 1;
constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;
/// How long written bytes may stay unacknowledged.
constexpr int UnacknowledgedMilliseconds = 3000;

} // namespace

void prepareSocket(asio::ip::tcp::socket &socket)
{
    // An option that cannot be set leaves the system's default, which is slower to notice a
    // vanished peer; the owners' own time-outs bound that.
    asio::error_code ignored;
    socket.non_blocking(true, ignored);
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(TcpOption<TCP_KEEPIDLE>(KeepAliveIdleSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPINTVL>(KeepAliveIntervalSeconds), ignored);
    socket.set_option(TcpOption<TCP_KEEPCNT>(KeepAliveProbes), ignored);
    socket.set_option(TcpOption<TCP_USER_TIMEOUT>(UnacknowledgedMilliseconds), ignored);
}

} // namespace mangoshift
