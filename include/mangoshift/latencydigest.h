#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace mangoshift {

/// Estimates quantiles of recent latencies.
///
/// Counts samples in buckets whose bounds grow by a constant factor of 7/6, so that an estimate is
/// at most a sixth above the exact value. All counts are halved when the window is full, so that
/// old samples lose weight. Recording and estimating take constant time and memory. Not thread
/// safe.
class LatencyDigest
{
public:
    /// Halves the counts after every `window` samples.
    explicit LatencyDigest(std::uint32_t window = 256);

    void record(std::chrono::microseconds latency);
    /// Returns the `q`-quantile (0 to 1) of recent samples, as the upper bound of its bucket; zero
    /// if there are no samples.
    std::chrono::microseconds quantile(double q) const;
    /// Returns the total weight of the samples that the estimates are based on.
    std::uint32_t samples() const { return m_total; }
    void clear();

private:
    /// The buckets span 50 microseconds to about two minutes.
    static constexpr std::size_t BucketCount = 96;

    void decay();

    std::uint32_t m_window;
    std::uint32_t m_samplesUntilDecay;
    std::uint32_t m_total = 0;
    std::array<std::uint32_t, BucketCount> m_counts{};
};

} // namespace mangoshift
