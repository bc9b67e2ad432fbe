#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/verdict.h"

namespace mangoshift {

/// The limits that the route and the caller set for a request.
struct RequestTerms
{
    /// The number of parts: one for a forwarded request, the number of shards for a fan-out.
    std::size_t parts = 1;
    /// The minimum number of parts in a successful answer.
    std::size_t minParts = 1;
    /// The maximum number of targets that may run the same part.
    std::uint32_t maxAttempts = 1;
    bool isIdempotent = false;
    /// How long a part may be pending before it is hedged; applies to idempotent requests only.
    Clock::duration hedgeDelay{};
    /// From this time on, a partial answer is returned as soon as it holds `minParts` parts.
    Clock::time_point partialAnswerFrom;
    /// When this VM sends the final response, whichever parts are missing.
    Clock::time_point deadline;
};

/// Why a part is sent to a target.
enum class SendCause : std::uint8_t { First, Hedge, Retry };

/// Action: sends one copy of a part to a target that has not received the part yet.
struct SendPart
{
    std::size_t part;
    SendCause cause;
};
/// Action: returns to the caller the parts that have been answered.
struct ReturnAnswer
{
};
/// Action: returns a failure to the caller; the verdict says whether any part may have run.
struct ReturnFailure
{
    Verdict verdict;
};
using RequestAction = std::variant<SendPart, ReturnAnswer, ReturnFailure>;
using RequestActions = std::vector<RequestAction>;

/// Drives one caller's request from its first send to its final response.
///
/// A request that is not idempotent is sent to a second target only if the first has certainly not
/// run it. An idempotent request is hedged when it is late and retried after a failure; each part
/// may run on at most `maxAttempts` targets. The request fails at once when `minParts` parts can no
/// longer be answered. The owner performs the actions in order and reports of each `SendPart` when
/// its first byte is given to the network and how it ends; no action follows `ReturnAnswer` or
/// `ReturnFailure`. A copy that is given up before its first byte is sent must never be sent, as
/// the caller may have been told that the request has not run. Reads no clock. Not thread safe.
class RequestMachine
{
public:
    explicit RequestMachine(const RequestTerms &terms);

    /// Sends the first copy of each part; must be called once.
    RequestActions start(Clock::time_point now);
    /// Handles that a copy may arrive at a target from now on. Until then it waits inside this VM:
    /// for a target, for a permit, for the end of a pause or for a connection.
    void onSent(std::size_t part);
    /// Handles that a target was chosen for a copy of a part: from now on it may be late. Until
    /// then a further copy would wait for the same targets.
    void onPlaced(std::size_t part, Clock::time_point now);
    /// Handles a target's response to a copy of a part.
    RequestActions onAnswered(std::size_t part, Clock::time_point now);
    /// Sets whether the responses are being read that had arrived before a decision by the time.
    /// Meanwhile the time ends no wait for parts, as all of these responses count; `onTimer` must
    /// be called afterwards.
    void setReadingArrived(bool isReading) { m_isReadingArrived = isReading; }
    /// Handles the failure of one copy of a part that was sent.
    RequestActions onFailed(std::size_t part, const Verdict &verdict, Clock::time_point now);
    /// Handles a copy of a part for which a target was chosen and that ended before it was sent.
    RequestActions onUndelivered(std::size_t part, const Verdict &verdict, Clock::time_point now);
    /// Handles a copy, other than a hedge, that could not be sent at all. A retry at once would
    /// fail in the same way, so the part fails unless another copy of it is in flight.
    RequestActions onUnsent(std::size_t part, const Verdict &verdict, Clock::time_point now);
    /// Handles a hedge that was not sent for lack of a target or of budget; the part is not hedged
    /// again, and fails if no other copy of it is in flight.
    RequestActions onHedgeDropped(std::size_t part, Clock::time_point now);
    /// Handles a hedge that was not sent because the part still waits for a target; it is hedged
    /// later, if it is late after one was chosen.
    RequestActions onHedgeDeferred(std::size_t part, Clock::time_point now);
    /// Handles that a part waits only for targets that fail, or no longer does. An answer that
    /// holds `minParts` parts does not wait for such a part.
    RequestActions onStalled(std::size_t part, bool isStalled, Clock::time_point now);
    /// Returns the verdict on a request that fails now for a reason of its owner's.
    Verdict failureNow(Reason reason) const { return makeFailure(reason).verdict; }
    /// Sends due hedges, or finishes the request if its time is up; must be called at `nextEvent`.
    RequestActions onTimer(Clock::time_point now);

    /// Returns when `onTimer` must be called next.
    Clock::time_point nextEvent() const;
    bool isFinished() const { return m_isFinished; }
    std::size_t answeredParts() const { return m_answered; }

private:
    enum class PartState : std::uint8_t { Pending, Answered, Failed };

    struct Part
    {
        PartState state = PartState::Pending;
        /// The number of copies that have not ended, including those that wait inside this VM.
        std::uint32_t inFlight = 0;
        /// The number of copies in flight that may have arrived at a target.
        std::uint32_t sent = 0;
        /// The number of copies that a target may have run, including those in flight.
        std::uint32_t attempts = 0;
        /// The number of copies that targets refused without running them.
        std::uint32_t refusals = 0;
        bool canHedge = true;
        bool isStalled = false;
        Clock::time_point hedgeAt;
    };

    /// Returns when a copy is late that was given to a target at `now`.
    Clock::time_point hedgeTime(Clock::time_point now) const;
    SendPart send(std::size_t part, SendCause cause, Clock::time_point now);
    RequestActions handleFailure(std::size_t part, const Verdict &verdict, Clock::time_point now);
    /// Records the failure of a copy. Returns true if the part must now be retried or marked as
    /// failed, because it has neither a response nor another copy in flight.
    bool recordFailure(const Part &part, const Verdict &verdict);
    void failPart(Part &part, RequestActions &actions, Clock::time_point now);
    bool canRetry(const Part &part, const Verdict &verdict, Clock::time_point now) const;
    void finishIfDecided(RequestActions &actions, Clock::time_point now);
    /// Returns whether a part is pending for which an answer is to wait.
    bool isWorthWaiting() const;
    ReturnFailure makeFailure(Reason reason) const;

    RequestTerms m_terms;
    std::vector<Part> m_parts;
    Clock::time_point m_startedAt{};
    std::size_t m_answered = 0;
    std::size_t m_failed = 0;
    /// The worst execution state of all copies that have failed.
    Execution m_execution = Execution::NotRun;
    Verdict m_lastFailure;
    bool m_isReadingArrived = false;
    bool m_isFinished = false;
};

} // namespace mangoshift
