#pragma once

#include <asio/ip/tcp.hpp>

namespace mangoshift {

/// Configures an established connection: non-blocking, without delays for small messages (no Nagle
/// algorithm), and with keep-alive settings that detect a lost peer within a few seconds.
void prepareSocket(asio::ip::tcp::socket &socket);

} // namespace mangoshift
