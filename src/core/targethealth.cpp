#include "mangoshift/targethealth.h"

#include <algorithm>

namespace mangoshift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// The weight of a new sample in the moving average is one over this number.
constexpr int AverageSamples = 8;
/// The same for a sample that follows an idle time of at least `IdleAfter`.
constexpr int AverageSamplesAfterIdle = 2;
/// A sample counts for at most this many times the average.
constexpr int LargestSampleFactor = 3;
constexpr milliseconds IdleAfter{400};
constexpr std::uint32_t SamplesForQuantiles = 20;
constexpr std::uint32_t SamplesBetweenQuantiles = 15;
constexpr double SlowQuantile = 0.95;
/// A call that has taken less than this many times the median latency is not worth a hedge.
constexpr int SlowMedianFactor = 2;
constexpr double TailQuantile = 0.99;
constexpr std::uint32_t FailuresToEject = 3;
constexpr milliseconds FirstShedPause{2};
constexpr milliseconds MaxShedPause{64};
constexpr milliseconds FirstUnreachableProbeInterval{20};
constexpr milliseconds FirstProbeInterval{500};
constexpr milliseconds FirstSlowProbeInterval{25};
constexpr milliseconds MaxSlowProbeInterval{1000};
constexpr milliseconds MaxProbeInterval{4000};
constexpr Clock::time_point Never = Clock::time_point::max();
/// An ordinary request is used as a probe after this many intervals without a probe.
constexpr int OverdueIntervals = 3;

} // namespace

std::string_view toString(TargetCondition condition)
{
    switch (condition) {
    case TargetCondition::Active:
        return "active";
    case TargetCondition::Slow:
        return "slow";
    case TargetCondition::Failing:
        return "failing";
    case TargetCondition::Draining:
        return "draining";
    }
    return "unknown";
}

void TargetHealth::onSuccess(microseconds latency, Clock::time_point now)
{
    m_consecutiveFailures = 0;
    m_shedPause = milliseconds(0);
    m_isLatencyKnown = true;
    addSample(latency, now);
    m_digest.record(latency);
    updateSlowLatency();
}

void TargetHealth::onAbandoned(microseconds latency, Clock::time_point now)
{
    // The true latency is unknown but at least this long, so it can only raise the average.
    if (latency <= m_typicalLatency)
        return;
    m_isLatencyKnown = false;
    addSample(latency, now);
}

void TargetHealth::onShed(Clock::time_point now)
{
    m_shedPause = std::clamp(m_shedPause * 2, FirstShedPause, MaxShedPause);
    m_pausedUntil = std::max(m_pausedUntil, now + m_shedPause);
}

void TargetHealth::onDraining(Clock::time_point now)
{
    if (m_condition != TargetCondition::Draining)
        eject(TargetCondition::Draining, now);
}

void TargetHealth::onUnreachable(Clock::time_point now)
{
    if (m_condition == TargetCondition::Active) {
        m_condition = TargetCondition::Failing;
        m_probeInterval = FirstUnreachableProbeInterval;
        m_nextProbe = now + m_probeInterval;
    }
}

bool TargetHealth::onFailure(Clock::time_point)
{
    return ++m_consecutiveFailures >= FailuresToEject && m_condition == TargetCondition::Active;
}

void TargetHealth::eject(TargetCondition condition, Clock::time_point now)
{
    m_condition = condition;
    m_probeInterval =
        condition == TargetCondition::Slow ? FirstSlowProbeInterval : FirstProbeInterval;
    m_nextProbe = condition == TargetCondition::Draining ? Never : now + m_probeInterval;
}

void TargetHealth::restore(Clock::time_point now)
{
    m_condition = TargetCondition::Active;
    m_consecutiveFailures = 0;
    m_pausedUntil = now;
}

void TargetHealth::onProbeSent(Clock::time_point now)
{
    const milliseconds longest =
        m_condition == TargetCondition::Slow ? MaxSlowProbeInterval : MaxProbeInterval;
    m_probeInterval = std::min(m_probeInterval * 2, longest);
    m_nextProbe = now + m_probeInterval;
}

bool TargetHealth::isProbeOverdue(Clock::time_point now) const
{
    return isProbeDue(now) && now >= m_nextProbe + m_probeInterval * OverdueIntervals;
}

void TargetHealth::updateSlowLatency()
{
    // Each quantile takes a pass over the digest, so they are not computed for every sample.
    if (m_digest.samples() < SamplesForQuantiles || m_samplesUntilSlowLatency-- != 0)
        return;
    m_samplesUntilSlowLatency = SamplesBetweenQuantiles;
    const microseconds minSlowLatency =
        std::min(m_digest.quantile(TailQuantile), m_digest.quantile(0.5) * SlowMedianFactor);
    m_slowLatency = std::max(m_digest.quantile(SlowQuantile), minSlowLatency);
}

void TargetHealth::addSample(microseconds latency, Clock::time_point now)
{
    // After an idle time the average says little about the current latency.
    const bool wasIdle = now - latency >= m_lastSample + IdleAfter;
    const int samples = wasIdle ? AverageSamplesAfterIdle : AverageSamples;
    // A single straggler must not make a fast target look slow.
    const microseconds bounded = std::min(latency, m_typicalLatency * LargestSampleFactor);
    // Probes are rare, so the latest one says more than the average of earlier calls.
    const bool isFirst = m_samples == 0 || m_condition == TargetCondition::Slow;
    m_typicalLatency =
        isFirst ? latency : m_typicalLatency + (bounded - m_typicalLatency) / samples;
    ++m_samples;
    m_lastSample = now;
}

} // namespace mangoshift
