#pragma once

#include <asio/ip/tcp.hpp>

namespace mangoshift {

/// Makes an established connection send small messages at once, never block, and notice within a
/// few seconds that the other end has vanished.
void prepareSocket(asio::ip::tcp::socket &socket);

} // namespace mangoshift
