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
    const microseconds quickest = std::min(*m_smallest, m_smallestBefore.value_or(offset));
    return offset - quickest;
}

void TransitDelay::onRoundTrip(Clock::time_point askedAt, std::chrono::microseconds answeredAt)
{
    using std::chrono::microseconds;
    addOffset(std::chrono::duration_cast<microseconds>(askedAt.time_since_epoch()) - answeredAt,
              askedAt);
}

void TransitDelay::addOffset(std::chrono::microseconds offset, Clock::time_point now)
{
    if (!m_smallest || now - m_windowStart >= Window) {
        m_smallestBefore = m_smallest;
        m_smallest.reset();
        m_windowStart = now;
    }
    m_smallest = std::min(m_smallest.value_or(offset), offset);
}

} // namespace mangoshift
