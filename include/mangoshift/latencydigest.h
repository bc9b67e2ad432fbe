#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace mangoshift {

/// Estimates quantiles of recent latencies.
///
/// Counts samples in buckets whose bounds grow by a constant factor, so that an estimate is off by
/// at most that factor (a sixth), and halves all counts each time the window is full, so that old
/// samples fade. Both operations take constant time and memory. Not thread safe.
class LatencyDigest
{
public:
    /// Halves the counts after each `window` samples.
    explicit LatencyDigest(std::uint32_t window = 256);

    void record(std::chrono::microseconds latency);
    /// Returns the latency under which a share `q` (0 to 1) of recent samples lies, as the upper
    /// bound of its bucket; zero where there is no sample.
    std::chrono::microseconds quantile(double q) const;
    /// Returns the weight of the samples that the estimates rest on, in samples.
    std::uint32_t samples() const { return m_total; }
    void clear();

private:
    /// From 50 microseconds to about two minutes.
    static constexpr std::size_t BucketCount = 96;

    void decay();

    std::uint32_t m_window;
    std::uint32_t m_samplesUntilDecay;
    std::uint32_t m_total = 0;
    std::array<std::uint32_t, BucketCount> m_counts{};
};

} // namespace mangoshift
