#pragma once

#include <chrono>
#include <cstddef>

#include "mangoshift/clock.h"

namespace mangoshift {

/// What is known of the way between a caller and this VM when a request has been read.
struct CallerWay
{
    /// The time of a round trip; zero if it is not known.
    Clock::duration roundTrip{};
    /// The mean deviation of that time.
    Clock::duration deviation{};
    /// How long the request had arrived before it was read.
    Clock::duration unread{};
    /// Whether the connection was opened for this request, so that the caller has waited for that
    /// too.
    bool isOpenedForRequest = false;

    /// Returns how much of the time that a caller measures is usually not spent inside this VM, at
    /// most.
    Clock::duration outside() const
    {
        return unread + roundTrip * (isOpenedForRequest ? 2 : 1) + deviation * 2;
    }
};

/// Decides when the wait for further parts of an answer has to end, so that the answer reaches its
/// caller within the latency target.
///
/// Two things take time after that decision: this VM merges and writes the answer, and the answer
/// travels. The way is measured for each connection. What this VM needs is learned from the answers
/// that it ended by the time: from when each was due to when it was given to the network. That
/// includes how late timers fire, the responses that were read before the decision, the merge and
/// the write, at the speed that this VM has now. The estimate is the moving average of recent
/// answers plus five times their mean deviation, much as for the retransmission timer of TCP (RFC
/// 6298): an answer that is late is worth next to nothing, and one that ends a little earlier lacks
/// few parts.
///
/// It holds for a load of queries of one kind, with as many parts each: keep one for each route.
///
///     ReplyLead lead;
///     const auto answerBy = lead.answerBy(receivedAt, 100ms, way, 30ms);
///     ...
///     lead.onReplied(answerBy, Clock::now());
///
/// Reads no clock. Not thread safe.
class ReplyLead
{
public:
    /// What an answer is expected to need before any was measured.
    static constexpr std::chrono::milliseconds Initial{10};
    /// What it is expected to need at least: what happens to it in the system's buffers and on the
    /// link of this VM is not measured.
    static constexpr std::chrono::milliseconds Minimum{2};

    /// Records an answer that was due at `due`, because the wait for further parts ended then, and
    /// that was given to the network at `writtenAt`.
    void onReplied(Clock::time_point due, Clock::time_point writtenAt);
    /// Returns what this VM needs from the decision until the answer has left.
    Clock::duration estimate() const;
    /// Returns when the wait for further parts has to end for a request that was read at
    /// `receivedAt`. At most `bound` is kept for this VM's own work, and at least half of the
    /// latency target is left for the parts.
    Clock::time_point answerBy(Clock::time_point receivedAt, Clock::duration latencyTarget,
                               const CallerWay &way, Clock::duration bound) const;
    std::size_t samples() const { return m_samples; }

private:
    Clock::duration m_mean{};
    Clock::duration m_deviation{};
    std::size_t m_samples = 0;
};

} // namespace mangoshift
