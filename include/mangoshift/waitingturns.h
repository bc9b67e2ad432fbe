#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "mangoshift/clock.h"

namespace mangoshift {

/// What is known of a call that waits until a target has a free slot.
struct WaitingTerms
{
    /// Until when an answer is of full use to the caller.
    Clock::time_point usefulUntil;
    /// Until when an answer is of any use to the caller.
    Clock::time_point deadline;
    /// The usual latency of the target's response; zero if it is not known.
    Clock::duration expectedLatency{};
    /// Whether the call takes a turn. One that waits for a permit only, while targets have free
    /// slots, does not.
    bool takesTurn = true;

    /// Returns the latest time at which the call may be sent, so that it can end by its deadline.
    Clock::time_point latestStart() const;
    /// Returns whether a call that is sent now can end while its answer is of full use.
    bool canBeInTime(Clock::time_point now) const;
};

/// Decides in which order the calls that wait for one service are sent, and which are refused
/// because they cannot be served any more.
///
/// Calls that can still be in time go first, the one with the earliest `usefulUntil` before the
/// others. Calls that will be late get the turns that are left, and one in `LateTurnInterval` turns
/// in any case, so that each call either gets a turn or is refused. A call is refused as soon as it
/// cannot end by its deadline, or would not get its turn before `latestStart` at the rate of the
/// recent turns. The owner holds the calls and passes their terms; indices in results refer to
/// them. Reads no clock. Not thread safe.
class WaitingTurns
{
public:
    static constexpr std::uint32_t LateTurnInterval = 16;

    enum class Refusal : std::uint8_t {
        NoTime, ///< The call cannot end by its deadline.
        NoTurn, ///< Too many calls are ahead of the call.
    };
    struct Refused
    {
        std::size_t call;
        Refusal why;
    };
    struct Plan
    {
        /// The calls to be sent, in order.
        std::vector<std::size_t> turns;
        /// The calls that must not be sent any more.
        std::vector<Refused> refused;
    };

    Plan plan(std::span<const WaitingTerms> calls, Clock::time_point now) const;

    /// Handles that a call starts to wait for its turn. `isFirst` tells that no other call does.
    void onQueued(bool isFirst, Clock::time_point now);
    /// Handles that a call that waited is sent.
    void onSent(const WaitingTerms &call, Clock::time_point now);

    /// Returns how long it takes to send `calls` waiting calls at the rate of the recent turns; no
    /// value if there were too few turns recently.
    std::optional<Clock::duration> timeForTurns(std::size_t calls) const;

private:
    /// The turns since a call that will be late was sent.
    std::uint32_t m_turnsSinceLate = 0;
    /// The intervals that the average is known from, up to the number that it reaches back.
    int m_intervals = 0;
    /// Whether no call was sent since calls wait.
    bool m_isFirstTurn = true;
    /// The moving average of the time between two turns while calls wait.
    Clock::duration m_interval{};
    Clock::time_point m_lastTurnAt{};
};

} // namespace mangoshift
