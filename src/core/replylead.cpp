#include "mangoshift/replylead.h"

#include <algorithm>

namespace mangoshift {

namespace {

/// A VM that was suspended is late once; its next answers are not.
constexpr std::chrono::milliseconds MaxSample{60};
/// The inverse weights of the newest answer in the average and in the deviation, as in RFC 6298.
constexpr int MeanWeight = 8;
constexpr int DeviationWeight = 4;
constexpr int Deviations = 5;

} // namespace

void ReplyLead::onReplied(Clock::time_point due, Clock::time_point writtenAt)
{
    const auto sample =
        std::clamp<Clock::duration>(writtenAt - due, Clock::duration::zero(), MaxSample);
    if (m_samples++ == 0) {
        m_mean = sample;
        m_deviation = sample / 2;
        return;
    }
    m_deviation += (std::chrono::abs(sample - m_mean) - m_deviation) / DeviationWeight;
    m_mean += (sample - m_mean) / MeanWeight;
}

Clock::duration ReplyLead::estimate() const
{
    return m_samples == 0 ? Clock::duration(Initial)
                          : std::max<Clock::duration>(m_mean + m_deviation * Deviations, Minimum);
}

Clock::time_point ReplyLead::answerBy(Clock::time_point receivedAt, Clock::duration latencyTarget,
                                      const CallerWay &way, Clock::duration bound) const
{
    const Clock::duration lead = way.outside() + std::min(estimate(), bound);
    return receivedAt + latencyTarget - std::min(lead, latencyTarget / 2);
}

} // namespace mangoshift
