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

/// What the system has measured on a connection.
struct TransportTimes
{
    /// The smoothed time of a round trip; zero if it is not known.
    std::chrono::microseconds roundTrip{0};
    /// The smoothed mean deviation of that time.
    std::chrono::microseconds deviation{0};
    /// How long ago the last data arrived, to the resolution of the system's timer; zero if that is
    /// not known.
    std::chrono::milliseconds sinceLastData{0};
};

/// Returns what the system has measured on an established connection.
TransportTimes transportTimes(const asio::ip::tcp::socket &socket);

} // namespace mangoshift
