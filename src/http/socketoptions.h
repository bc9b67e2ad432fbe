#pragma once

#include <chrono>

#include <asio/ip/tcp.hpp>

namespace mangoshift {

/// Configures an established connection: non-blocking, without delays for small messages (no Nagle
/// algorithm), and with keep-alive settings that detect a lost peer within a few seconds.
///
/// The connection ends if sent data stays unacknowledged, or the other end reads nothing, for
/// `unacknowledged`; an idle one ends if its probes stay unanswered for that time.
void prepareSocket(asio::ip::tcp::socket &socket,
                   std::chrono::milliseconds unacknowledged = std::chrono::seconds(3));

} // namespace mangoshift
