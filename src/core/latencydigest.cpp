#include "mangoshift/latencydigest.h"

#include <algorithm>
#include <cmath>

namespace mangoshift {

namespace {

using std::chrono::microseconds;

constexpr double FirstBoundMicroseconds = 50;
constexpr double BucketGrowth = 7.0 / 6.0;

std::size_t bucketOf(microseconds latency, std::size_t count)
{
    const double ratio = static_cast<double>(latency.count()) / FirstBoundMicroseconds;
    if (ratio <= 1)
        return 0;
    const auto bucket =
        static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(BucketGrowth)));
    return std::min(bucket, count - 1);
}

microseconds upperBound(std::size_t bucket)
{
    return microseconds(
        std::llround(FirstBoundMicroseconds * std::pow(BucketGrowth, static_cast<double>(bucket))));
}

} // namespace

LatencyDigest::LatencyDigest(std::uint32_t window)
    : m_window(std::max<std::uint32_t>(window, 1))
    , m_samplesUntilDecay(m_window)
{
}

void LatencyDigest::record(microseconds latency)
{
    ++m_counts[bucketOf(latency, BucketCount)];
    ++m_total;
    if (--m_samplesUntilDecay == 0)
        decay();
}

microseconds LatencyDigest::quantile(double q) const
{
    if (m_total == 0)
        return microseconds(0);
    const double share = std::clamp(q, 0.0, 1.0) * m_total;
    const auto rank = std::max<std::uint32_t>(static_cast<std::uint32_t>(std::ceil(share)), 1);
    std::uint32_t cumulative = 0;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        cumulative += m_counts[bucket];
        if (cumulative >= rank)
            return upperBound(bucket);
    }
    return upperBound(BucketCount - 1);
}

void LatencyDigest::clear()
{
    m_counts.fill(0);
    m_total = 0;
    m_samplesUntilDecay = m_window;
}

void LatencyDigest::decay()
{
    m_total = 0;
    for (std::uint32_t &count : m_counts) {
        count /= 2;
        m_total += count;
    }
    m_samplesUntilDecay = m_window;
}

} // namespace mangoshift
