#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "mangoshift/clock.h"
#include "mangoshift/latencydigest.h"

namespace mangoshift {

/// Whether a target is in use, or why it is not.
enum class TargetCondition : std::uint8_t {
    Active, ///< In use.
    Slow, ///< Ejected: much slower than its peers.
    Failing, ///< Ejected: unreachable, or several consecutive calls failed.
    Draining, ///< The target reported that it is shutting down.
};

/// Returns the name used in the state dump and in logs, such as `draining`.
std::string_view toString(TargetCondition condition);

/// Tracks the condition and the latency of one target from the calls made to it.
///
/// A target that is `Slow` or `Failing` is probed: one request may be sent to it at an interval
/// that doubles up to a bound, and the owner calls `restore` when a probe succeeds. A target that
/// is `Draining` gets no requests until the owner finds by other means that it serves again and
/// calls `restore`. The owner decides whether a target is slow, because it knows the target's
/// peers. Reads no clock. Not thread safe.
class TargetHealth
{
public:
    /// Records a response and its latency.
    void onSuccess(std::chrono::microseconds latency, Clock::time_point now);
    /// Records that a call was abandoned after `latency` without a response.
    void onAbandoned(std::chrono::microseconds latency, Clock::time_point now);
    /// Records that the target shed a request. The target gets no requests during a short pause,
    /// which doubles with each consecutive shed up to a bound.
    void onShed(Clock::time_point now);
    /// Records that the target is draining.
    void onDraining(Clock::time_point now);
    /// Records that no connection could be opened; an active target becomes `Failing` at once.
    void onUnreachable(Clock::time_point now);
    /// Records that a call was lost or failed. Returns true if so many consecutive calls have
    /// failed that the target should be ejected with `eject(Failing)`.
    bool onFailure(Clock::time_point now);

    /// Takes the target out of use until `restore` is called.
    void eject(TargetCondition condition, Clock::time_point now);
    /// Brings the target back into use.
    void restore(Clock::time_point now);
    /// Records that a probe was sent; doubles the interval until the next probe, up to a bound.
    void onProbeSent(Clock::time_point now);

    TargetCondition condition() const { return m_condition; }
    /// Returns true if ordinary requests may be sent to the target.
    bool takesRequests(Clock::time_point now) const
    {
        return m_condition == TargetCondition::Active && now >= m_pausedUntil;
    }
    /// Returns true if the target is out of use and a probe may be sent; false while draining.
    bool isProbeDue(Clock::time_point now) const
    {
        return m_condition != TargetCondition::Active && now >= m_nextProbe;
    }
    /// Returns true if a probe has been due for so long that an ordinary request should be sent as
    /// the probe.
    bool isProbeOverdue(Clock::time_point now) const;
    /// Returns the time from which a request or a probe may be sent to the target.
    Clock::time_point nextUsableAt() const
    {
        return m_condition == TargetCondition::Active ? m_pausedUntil : m_nextProbe;
    }

    /// Returns the moving average of latencies; zero if there are no samples.
    std::chrono::microseconds typicalLatency() const { return m_typicalLatency; }
    /// Returns false if a call was abandoned after more than the average latency and no response
    /// has been received since: the average may then be far too low. True if there are no samples.
    bool isLatencyKnown() const { return m_isLatencyKnown; }
    /// Returns the number of latency samples since the target was first used.
    std::uint64_t samples() const { return m_samples; }
    /// Returns when the latest latency sample was recorded.
    Clock::time_point lastSample() const { return m_lastSample; }
    /// Returns the latency above which a response counts as slow: the 95th percentile, but at least
    /// the smaller of twice the median and the 99th percentile. Zero while there are too few
    /// samples.
    std::chrono::microseconds slowLatency() const { return m_slowLatency; }

private:
    void addSample(std::chrono::microseconds latency, Clock::time_point now);
    void updateSlowLatency();

    TargetCondition m_condition = TargetCondition::Active;
    std::chrono::microseconds m_typicalLatency{0};
    std::uint64_t m_samples = 0;
    bool m_isLatencyKnown = true;
    Clock::time_point m_lastSample{};
    LatencyDigest m_digest;
    std::chrono::microseconds m_slowLatency{0};
    std::uint32_t m_samplesUntilSlowLatency = 0;
    std::uint32_t m_consecutiveFailures = 0;
    std::chrono::milliseconds m_shedPause{0};
    Clock::time_point m_pausedUntil{};
    std::chrono::milliseconds m_probeInterval{0};
    Clock::time_point m_nextProbe{};
};

} // namespace mangoshift
