#include "mangoshift/slotlimit.h"

#include <algorithm>

namespace mangoshift {

namespace {

/// The minimum time between two decreases.
constexpr std::chrono::milliseconds DecreaseInterval{10};

} // namespace

SlotLimit::SlotLimit(std::uint32_t slots)
    : m_slots(std::max<std::uint32_t>(slots, 1))
{
}

void SlotLimit::setSlots(std::uint32_t slots)
{
    m_slots = std::max<std::uint32_t>(slots, 1);
    m_limit = std::min(m_limit, m_slots);
}

void SlotLimit::onSuccess()
{
    if (m_limit == m_slots || ++m_successes < m_limit)
        return;
    m_successes = 0;
    ++m_limit;
}

void SlotLimit::onShed(Clock::time_point now)
{
    m_successes = 0;
    if (now < m_nextDecrease)
        return;
    m_limit = std::max<std::uint32_t>(m_limit / 2, 1);
    m_nextDecrease = now + DecreaseInterval;
}

void SlotLimit::reset()
{
    m_limit = 1;
    m_successes = 0;
}

} // namespace mangoshift
