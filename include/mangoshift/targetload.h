#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "mangoshift/clock.h"
#include "mangoshift/slotlimit.h"
#include "mangoshift/targetcapacity.h"
#include "mangoshift/targetoutlook.h"

namespace mangoshift {

/// Tracks how busy, how slow and how responsive one target is, from this VM's requests to it.
///
/// Reads no clock. Not thread safe.
class TargetLoad
{
public:
    explicit TargetLoad(std::uint32_t slots = 1)
        : m_limit(slots)
        , m_slots(slots)
    {
    }

    /// Sets whether slowness and limit are learned by `TargetCapacity`.
    void setLearnsCapacity(bool learns);
    /// Returns what was learned of the target; null if nothing is.
    const TargetCapacity *capacity() const { return m_capacity ? &*m_capacity : nullptr; }
    /// Records the load that the target states.
    void onStatedLoad(const StatedLoad &load, Clock::time_point now);
    /// Returns whether `TargetCapacity::isSlow` has changed.
    bool updateSlow(Clock::time_point now) { return m_capacity && m_capacity->updateSlow(now); }
    /// Records that a request was sent.
    void onSent() { ++m_inFlight; }
    /// Records a response. `expected` is the usual latency of this kind of request; zero if it is
    /// not known.
    void onAnswered(Clock::duration latency, Clock::duration expected, Clock::time_point now);
    /// Records that the target refused a request without running it.
    void onRefused(Clock::time_point now);
    /// Records that a request was lost, or that no connection could be opened.
    void onLost(Clock::time_point now);
    /// Records that a request was dropped before any byte of it was sent.
    void onUnsent() { --m_inFlight; }
    /// Records that a response is overdue, as most come within `usualTime`. The target is avoided
    /// until it responds, or for a limited time. If it has answered nothing else for as long, the
    /// number of concurrent requests grows from one again.
    void onOverdue(Clock::duration usualTime, Clock::time_point now);
    /// Takes what the VMs of the failure domain know of the target, which raises its cost until it
    /// expires. If the target has stopped responding, it is avoided. Responses to this VM's own
    /// requests that are newer take precedence.
    void onOutlook(const TargetOutlook &outlook, Clock::time_point now);
    /// Lets the number of concurrent requests grow from one again, for a target that returns.
    void resetLimit();
    /// Sets when the target's warm-up ends; until then it counts as slower.
    void setWarmupEnd(Clock::time_point until) { m_warmupEnd = until; }

    /// Sets how many times as much a request costs here as at a target that is as busy and as fast,
    /// for reasons that do not change with the load.
    void setRelativeCost(double cost) { m_relativeCost = cost; }

    /// Returns true while the target should get requests only if there is no other target.
    bool isAvoided(Clock::time_point now) const
    {
        return isAvoidedAfterStall(now) || isAvoidedByOutlook(now);
    }
    /// Returns true while the target is avoided for what this VM itself has seen of it.
    bool isAvoidedAfterStall(Clock::time_point now) const { return now < m_avoidUntil; }
    /// Returns true while the failure domain says that the target does not respond, and no response
    /// to this VM contradicts it. It still gets a few requests, which find out when it responds.
    bool isAvoidedByOutlook(Clock::time_point now) const
    {
        return m_outlook.isUnresponsive && now < m_outlookUntil;
    }
    /// Returns true from a lost or overdue request until the next response.
    bool isUnresponsive() const { return m_consecutiveFailures > 0; }
    /// Returns true if several consecutive requests got no response; one may be due to a pause.
    bool isFailing() const;
    /// Returns true while the target is failing and a request that probes it is in flight.
    bool isEjected() const { return isFailing() && !hasCapacity(); }
    /// Returns the relative cost of one more request; lower is better.
    double cost(Clock::time_point now) const;
    std::uint32_t inFlight() const { return m_inFlight; }
    /// Returns true if one more request may be sent to the target now. Because other VMs send to
    /// the target too, the limit is adaptive: it starts at one, grows up to the target's slots
    /// while responses come in time, and shrinks when they are slow or requests are refused.
    bool hasCapacity() const { return m_inFlight < limit(); }
    std::uint32_t limit() const;
    /// Returns the average of the ratio of measured to expected latency.
    double slowness(Clock::time_point now) const;

private:
    void startAvoidance(Clock::time_point now);
    /// Returns how many times as much a request costs as at a target that is as busy: by the
    /// slowness that this VM has measured, and by the outlook.
    double slownessWithOutlook(Clock::time_point now) const;

    SlotLimit m_limit;
    std::uint32_t m_slots;
    std::optional<TargetCapacity> m_capacity;
    /// Whether a request was lost or overdue and no response has come in time since.
    bool m_awaitsTimelyResponse = false;
    Clock::time_point m_lastAnswerAt{};
    std::uint32_t m_inFlight = 0;
    double m_slowness = 1.0;
    double m_relativeCost = 1.0;
    std::uint32_t m_consecutiveFailures = 0;
    Clock::time_point m_avoidUntil{};
    Clock::time_point m_warmupEnd{};
    TargetOutlook m_outlook;
    Clock::time_point m_outlookUntil{};
};

/// Picks a target at random, with a weight that falls with the square of its cost. Avoided targets
/// are picked only if all targets are avoided. `draw` is a random number from 0 to 1. Returns the
/// index of the target, or no value if there are no targets.
std::optional<std::size_t> pickTarget(std::span<const TargetLoad *const> targets,
                                      Clock::time_point now, double draw);

} // namespace mangoshift
