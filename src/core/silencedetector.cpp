#include "mangoshift/silencedetector.h"

#include <utility>

namespace mangoshift {

void SilenceDetector::onSent(Clock::time_point now)
{
    if (!m_pendingSince)
        m_pendingSince = now;
}

void SilenceDetector::onReceived()
{
    m_pendingSince.reset();
    m_pingedAt.reset();
}

SilenceDetector::Advice SilenceDetector::check(Clock::time_point now)
{
    const auto previous = std::exchange(m_lastCheck, now);
    if (!m_pendingSince)
        return Advice::Nothing;
    if (previous && now - *previous > PauseThreshold) {
        m_pendingSince = now;
        m_pingedAt.reset();
        return Advice::Nothing;
    }
    if (m_pingedAt)
        return now - *m_pingedAt >= GiveUpAfter ? Advice::GiveUp : Advice::Nothing;
    if (now - *m_pendingSince < PingAfter)
        return Advice::Nothing;
    m_pingedAt = now;
    return Advice::Ping;
}

} // namespace mangoshift
