#include "mangoshift/transitdelay.h"

#include <algorithm>

namespace mangoshift {

namespace {

/// The fastest message of the current and the previous window counts.
constexpr std::chrono::minutes Window{1};

} // namespace

std::chrono::microseconds TransitDelay::onMessage(std::chrono::microseconds sentAt,
                                                  Clock::time_point receivedAt)
{
    using std::chrono::microseconds;
    const microseconds offset =
        std::chrono::duration_cast<microseconds>(receivedAt.time_since_epoch()) - sentAt;
    addOffset(offset, receivedAt);
    const microseconds smallestOffset =
        std::min(*m_smallestOffset, m_previousSmallestOffset.value_or(offset));
    return offset - smallestOffset;
}

void TransitDelay::onRoundTrip(Clock::time_point requestedAt, std::chrono::microseconds repliedAt)
{
    using std::chrono::microseconds;
    addOffset(std::chrono::duration_cast<microseconds>(requestedAt.time_since_epoch()) - repliedAt,
              requestedAt);
}

void TransitDelay::addOffset(std::chrono::microseconds offset, Clock::time_point now)
{
    if (!m_smallestOffset || now - m_windowStart >= Window) {
        m_previousSmallestOffset = m_smallestOffset;
        m_smallestOffset.reset();
        m_windowStart = now;
    }
    m_smallestOffset = std::min(m_smallestOffset.value_or(offset), offset);
}

} // namespace mangoshift
