#pragma once

#include <optional>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Detects an established connection that has gone silent, for instance because a device between
/// the two ends has dropped its state for the connection.
///
/// The owner of the connection reports each send and each receipt, and calls `check` at regular
/// intervals. Only a connection on which something was sent and nothing was received since is
/// suspect: it is first pinged, then given up. An idle connection costs nothing. If this process
/// was paused between two checks, the wait starts over. Not thread safe.
class SilenceDetector
{
public:
    /// What the owner of the connection is to do.
    enum class Advice { Nothing, Ping, GiveUp };

    /// How long the other end may be silent after a send before it is pinged.
    static constexpr std::chrono::milliseconds PingAfter{100};
    /// How long the other end may be silent after the ping before the connection is given up.
    static constexpr std::chrono::milliseconds GiveUpAfter{400};
    /// A longer gap between two checks counts as a pause of this process.
    static constexpr std::chrono::milliseconds PauseThreshold{300};

    /// Records that something was sent on the connection.
    void onSent(Clock::time_point now);
    /// Records that something was received on the connection.
    void onReceived();
    /// Returns what to do with the connection now.
    Advice check(Clock::time_point now);

private:
    std::optional<Clock::time_point> m_pendingSince;
    std::optional<Clock::time_point> m_pingedAt;
    std::optional<Clock::time_point> m_lastCheck;
};

} // namespace mangoshift
