#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "mangoshift/clock.h"

namespace mangoshift {

/// The load that a target states in a response.
struct StatedLoad
{
    /// The requests that run there, of all VMs together.
    std::uint32_t running = 0;
    /// The requests that wait there for a slot.
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// How long work takes there at this moment, in percent of what is usual.
    std::optional<double> percent = std::nullopt;

    bool operator==(const StatedLoad &) const = default;
};

/// A mean whose weights halve with each half-life that passes, however many values follow. Reads no
/// clock.
class DecayedMean
{
public:
    explicit DecayedMean(Clock::duration halfLife)
        : m_halfLife(halfLife)
    {
    }

    void add(double value, double weight, Clock::time_point now);
    /// Sets the mean, for values that have changed altogether, and keeps the weight.
    void moveMean(double mean);
    /// Returns the weight that is left of all values.
    double weight(Clock::time_point now) const;
    /// Returns the mean; zero if no value was added.
    double mean() const { return m_weight > 0.0 ? m_sum / m_weight : 0.0; }

private:
    double remainingShare(Clock::time_point now) const;

    Clock::duration m_halfLife;
    double m_weight = 0.0;
    double m_sum = 0.0;
    Clock::time_point m_updatedAt{};
};

/// Learns how much load one target handles well, from the responses to this VM's requests and from
/// the load that the target states.
///
/// Responses within `EvidenceInterval` count as one piece of evidence, because a pause of the
/// target delays several of them together. Reads no clock. Not thread safe.
class TargetCapacity
{
public:
    static constexpr std::chrono::milliseconds EvidenceInterval{100};
    /// In the users' deployments, targets become slower for 0.6 to 8 s.
    static constexpr std::chrono::milliseconds HalfLife{2000};
    static constexpr std::chrono::milliseconds StatedLoadLifetime{300};
    /// A change of `isSlow` is recognized once it has lasted for this long, so that pauses of 250
    /// ms and slow phases of 0.6 s do not count.
    static constexpr std::chrono::milliseconds SlowConfirmTime{1000};
    static constexpr double MinSlowness = 0.25;
    static constexpr double MaxSlowness = 10.0;

    explicit TargetCapacity(std::uint32_t slots = 1);

    /// Records a response. `ratio` is its latency relative to what is usual for its kind of
    /// request, `running` the number of this VM's requests that ran at the target, including this
    /// one.
    void onAnswered(double ratio, std::uint32_t running, Clock::time_point now);
    /// Records that the target refused a request without running it.
    void onRefused(Clock::time_point now);
    void onStatedLoad(const StatedLoad &load, Clock::time_point now);
    /// Lets the concurrency grow from one again, for a target that may be cold.
    void resetConcurrency();

    /// Returns how long work takes relative to what is usual for its kind; 1 is usual. Without
    /// evidence it is 1.
    double slowness(Clock::time_point now) const;
    /// Returns the number of concurrent requests up to which the latency stays near its best, from
    /// 1 to the target's slots.
    std::uint32_t concurrency() const;
    /// Returns the weight of the evidence, from 0 to 1.
    double confidence(Clock::time_point now) const;

    /// Checks whether the target handles much less than before or than is usual, or does so no
    /// longer. Returns whether `isSlow` has changed.
    bool updateSlow(Clock::time_point now);
    /// Returns whether the slowness has doubled or the concurrency was found halved, and the target
    /// has not recovered since.
    bool isSlow() const { return m_isSlow; }

private:
    struct Evidence
    {
        double weight = 0.0;
        /// The mean logarithm of the slowness.
        double meanLog = 0.0;
    };
    /// Responses within one `EvidenceInterval`.
    struct Interval
    {
        Clock::time_point startedAt{};
        std::uint32_t responses = 0;
        double logSum = 0.0;
        /// Responses that ran beside as many others as the limit allows, and the sum of the
        /// logarithms of their latency relative to the best.
        std::uint32_t busyResponses = 0;
        double excessSum = 0.0;
        /// The most of this VM's requests that ran at once.
        std::uint32_t mostRunning = 0;
    };

    /// Returns whether a response shows the best latency that the target offers.
    bool renewsBest(double log, std::uint32_t running) const;
    void closeInterval(Clock::time_point now);
    void raiseConcurrency(Clock::time_point now);
    void reduceConcurrency(double factor, Clock::time_point now);
    /// Returns the evidence with that of the open interval.
    Evidence evidence(Clock::time_point now) const;
    const StatedLoad *statedLoad(Clock::time_point now) const;

    std::uint32_t m_slots;
    double m_concurrency = 1.0;
    /// The highest concurrency found since the target was last reset.
    double m_peakConcurrency = 1.0;
    Clock::time_point m_nextReduction{};
    /// Until when the concurrency `m_reducedFrom` is not tried again.
    Clock::time_point m_heldUntil{};
    Clock::duration m_hold{};
    double m_reducedFrom = 1.0;
    Interval m_interval;
    DecayedMean m_logSlowness{HalfLife};
    /// By how much the mean of the latest interval deviated from the mean before it.
    double m_lastDeviation = 0.0;
    /// The logarithm of the latency ratio while few requests run; no value before the first
    /// response.
    std::optional<DecayedMean> m_best;
    std::optional<StatedLoad> m_stated;
    Clock::time_point m_statedAt{};
    bool m_isSlow = false;
    /// Since when the conditions for `isSlow` to change hold; no value if they do not.
    std::optional<Clock::time_point> m_changeSince;
};

} // namespace mangoshift
