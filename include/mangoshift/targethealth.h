#pragma once

#include <chrono>
#include <cstdint>
#include <string_view>

#include "mangoshift/clock.h"
#include "mangoshift/latencydigest.h"

namespace mangoshift {

/// Whether a target takes new requests, and why not.
enum class TargetCondition : std::uint8_t {
    Active, ///< Takes requests.
    Slow, ///< Ejected: much slower than its peers.
    Failing, ///< Ejected: cannot be reached, or failed several times on end.
    Draining, ///< Said that it is leaving.
};

/// Returns the name used in the state dump and in logs, such as `draining`.
std::string_view toString(TargetCondition condition);

/// What the traffic to one target shows of it.
///
/// A target that is `Slow` or `Failing` is probed: at an interval that doubles up to a bound, one
/// request may go to it, and a success makes it `Active` again. One that is `Draining` gets no
/// request at all until its owner has learnt by other means that it serves, and calls `restore`.
/// Whether a target is slow is decided by the owner, who knows its peers. Reads no clock. Not
/// thread safe.
class TargetHealth
{
public:
    /// Takes in an answer and its latency.
    void onSuccess(std::chrono::microseconds latency, Clock::time_point now);
    /// Takes in that a call had taken `latency` without an answer when it was given up.
    void onAbandoned(std::chrono::microseconds latency, Clock::time_point now);
    /// Takes in that the target shed a request: it gets nothing for a short while, which doubles
    /// with each shed on end.
    void onShed(Clock::time_point now);
    /// Takes in that the target is leaving.
    void onDraining(Clock::time_point now);
    /// Takes in that no connection could be made.
    void onUnreachable(Clock::time_point now);
    /// Takes in that a call was lost, timed out or failed. Returns true where that is the last of
    /// several on end, and the target should be ejected with `eject(Failing)`.
    bool onFailure(Clock::time_point now);

    /// Takes the target out of use, until a probe succeeds.
    void eject(TargetCondition condition, Clock::time_point now);
    /// Brings the target back into use.
    void restore(Clock::time_point now);
    /// Takes in that a probe was sent; the next comes an interval later.
    void onProbeSent(Clock::time_point now);

    TargetCondition condition() const { return m_condition; }
    /// Returns true where ordinary requests may go to the target.
    bool takesRequests(Clock::time_point now) const
    {
        return m_condition == TargetCondition::Active && now >= m_pausedUntil;
    }
    /// Returns true where the target is out of use and a probe may be sent; never while draining.
    bool isProbeDue(Clock::time_point now) const
    {
        return m_condition != TargetCondition::Active && now >= m_nextProbe;
    }
    /// Returns true where a probe has been due for so long that an ordinary request should be it.
    bool isProbeOverdue(Clock::time_point now) const;
    /// Returns the instant from which the target may take a request or a probe.
    Clock::time_point nextUsableAt() const
    {
        return m_condition == TargetCondition::Active ? m_pausedUntil : m_nextProbe;
    }

    /// Returns the moving average of latencies; zero where there is no sample.
    std::chrono::microseconds typicalLatency() const { return m_typicalLatency; }
    /// Returns false where the last call was given up after more than the average, which may then
    /// be far too low.
    bool isLatencyKnown() const { return m_isLatencyKnown; }
    /// Returns how many latencies were seen since the target was first used.
    std::uint64_t samples() const { return m_samples; }
    Clock::time_point lastSample() const { return m_lastSample; }
    /// Returns the latency above which an answer counts as slow: the 95th percentile, at least two
    /// medians; zero while there are too few samples.
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
