#pragma once

#include <cstdint>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Bounds how many requests a target is given at once, from how it took the earlier ones.
///
/// Starts at one, since a target may be cold; grows by one for each round of successes; is halved
/// when the target sheds, at most once in a short while, since one moment of overload sheds many
/// requests. Never exceeds the target's slots. Not thread safe.
class SlotLimit
{
public:
    explicit SlotLimit(std::uint32_t slots = 1);

    /// Sets the greatest limit, which is at least one.
    void setSlots(std::uint32_t slots);
    /// Takes in that a request succeeded without undue delay.
    void onSuccess();
    /// Takes in that the target shed a request.
    void onShed(Clock::time_point now);
    /// Begins anew at one, for a target that may be cold.
    void reset();

    std::uint32_t limit() const { return m_limit; }

private:
    std::uint32_t m_slots;
    std::uint32_t m_limit = 1;
    std::uint32_t m_successes = 0;
    Clock::time_point m_nextDecrease{};
};

} // namespace mangoshift
