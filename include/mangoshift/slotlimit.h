#pragma once

#include <cstdint>

#include "mangoshift/clock.h"

namespace mangoshift {

/// An adaptive limit on the number of concurrent requests to one target.
///
/// The limit starts at one, because the target may be cold. It grows by one after as many successes
/// as the limit, and is halved when the target sheds a request. It is halved at most once in 10 ms,
/// because one short overload sheds many requests. It never exceeds the target's slots. Not thread
/// safe.
class SlotLimit
{
public:
    explicit SlotLimit(std::uint32_t slots = 1);

    /// Sets the upper bound of the limit; zero counts as one.
    void setSlots(std::uint32_t slots);
    /// Records that a request succeeded without undue delay.
    void onSuccess();
    /// Records that the target shed a request.
    void onShed(Clock::time_point now);
    /// Resets the limit to one, for a target that may be cold.
    void reset();

    std::uint32_t limit() const { return m_limit; }

private:
    std::uint32_t m_slots;
    std::uint32_t m_limit = 1;
    std::uint32_t m_successes = 0;
    Clock::time_point m_nextDecrease{};
};

} // namespace mangoshift
