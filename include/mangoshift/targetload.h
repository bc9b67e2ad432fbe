#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "mangoshift/clock.h"
#include "mangoshift/slotlimit.h"

namespace mangoshift {

/// What this VM's own requests show of one target: how busy, how slow, whether it stalls.
///
/// Reads no clock. Not thread safe.
class TargetLoad
{
public:
    explicit TargetLoad(std::uint32_t slots = 1)
        : m_limit(slots)
    {
    }

    void onSent() { ++m_inFlight; }
    /// Takes in an answer. `expected` is what this kind of request usually takes; zero where that
    /// is not known.
    void onAnswered(Clock::duration latency, Clock::duration expected, Clock::time_point now);
    /// Takes in that the target refused a request unrun.
    void onRefused(Clock::time_point now);
    /// Takes in that a request was lost, or that no connection could be made.
    void onLost(Clock::time_point now);
    /// Takes in that a request was dropped before any of it was sent.
    void onUnsent() { --m_inFlight; }
    /// Takes in that an answer is overdue: the target is avoided until it answers, or for a while.
    void onOverdue(Clock::time_point now);
    /// Takes in how much longer the target is slow after its start.
    void setWarmupEnd(Clock::time_point until) { m_warmUntil = until; }

    /// Returns true while the target should get work only where there is no other.
    bool isAvoided(Clock::time_point now) const { return now < m_avoidUntil; }
    /// Returns true from a lost or overdue answer on until the next answer.
    bool isUnresponsive() const { return m_strikes > 0; }
    /// Returns true where several requests on end got no answer: one alone may be a pause.
    bool isFailing() const;
    /// Returns the expected cost of one more request; lower is better.
    double cost(Clock::time_point now) const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /// Returns true where the target may be given one more request now. The limit begins at one and
    /// moves within the target's slots, as other VMs send to it too: up while answers come in time,
    /// down when they are slow or refused.
    bool hasCapacity() const { return m_inFlight < m_limit.limit(); }
    std::uint32_t limit() const { return m_limit.limit(); }
    /// Returns how many times as long as usual its recent answers took.
    double slowness() const { return m_slowness; }

private:
    void avoid(Clock::time_point now);

    SlotLimit m_limit;
    std::uint32_t m_inFlight = 0;
    double m_slowness = 1.0;
    std::uint32_t m_strikes = 0;
    Clock::time_point m_avoidUntil{};
    Clock::time_point m_warmUntil{};
};

/// Picks one of the targets, more often the less it costs; one that is avoided only where all are.
/// `draw` is a random number of 0 to 1. Returns no value where there is no target.
std::optional<std::size_t> pickTarget(std::span<const TargetLoad *const> targets,
                                      Clock::time_point now, double draw);

} // namespace mangoshift
