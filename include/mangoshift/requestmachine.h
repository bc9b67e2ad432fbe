#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/verdict.h"

namespace mangoshift {

/// What a request's route and its caller allow.
struct RequestTerms
{
    /// One for a forwarded request, the number of shards for a fan-out.
    std::size_t parts = 1;
    /// How many parts a successful answer holds at least.
    std::size_t minParts = 1;
    /// How many targets may run the same part.
    std::uint32_t maxAttempts = 1;
    bool isIdempotent = false;
    /// How long a part may be late before a second copy is sent; idempotent requests only.
    Clock::duration hedgeDelay{};
    /// From when on an answer without all parts is given as soon as it holds `minParts`.
    Clock::time_point partialAnswerFrom;
    /// When the caller gets a final answer whatever is missing.
    Clock::time_point deadline;
};

/// Why a part is sent to a target.
enum class SendCause : std::uint8_t { First, Hedge, Retry };

/// One copy of a part is to be sent to a target that has not had it.
struct SendPart
{
    std::size_t part;
    SendCause cause;
};
/// The caller gets the parts that are in.
struct ReturnAnswer
{
};
/// The caller gets a failure; the verdict says whether any part may have run.
struct ReturnFailure
{
    Verdict verdict;
};
using RequestAction = std::variant<SendPart, ReturnAnswer, ReturnFailure>;
using RequestActions = std::vector<RequestAction>;

/// Drives one caller's request from its first send to its final answer.
///
/// A request that is not idempotent is sent to a second target only where the first has surely not
/// run it. An idempotent one is hedged when it is late, and sent again after a failure, within
/// `maxAttempts` targets a part. A failure is given at once when the least parts cannot be had any
/// more. The owner performs the actions in their order and reports what becomes of each send; after
/// `ReturnAnswer` or `ReturnFailure` nothing more is asked of it. Reads no clock. Not thread safe.
class RequestMachine
{
public:
    explicit RequestMachine(const RequestTerms &terms);

    RequestActions start(Clock::time_point now);
    /// Takes in that a part is answered.
    RequestActions onAnswered(std::size_t part, Clock::time_point now);
    /// Takes in that one copy of a part has failed.
    RequestActions onFailed(std::size_t part, const Verdict &verdict, Clock::time_point now);
    /// Takes in that a copy that was no hedge could not be sent at all: asking again at once would
    /// end alike, so the part has failed unless another copy of it is in flight.
    RequestActions onUnsent(std::size_t part, const Verdict &verdict, Clock::time_point now);
    /// Takes in that a hedge was not sent, for want of a target or of budget.
    void onHedgeDropped(std::size_t part);
    /// To be called at `nextEvent`.
    RequestActions onTimer(Clock::time_point now);

    /// Returns when `onTimer` has something to do.
    Clock::time_point nextEvent() const;
    bool isFinished() const { return m_isFinished; }
    std::size_t answeredParts() const { return m_answered; }

private:
    enum class PartState : std::uint8_t { Pending, Answered, Failed };

    struct Part
    {
        PartState state = PartState::Pending;
        std::uint32_t inFlight = 0;
        /// Copies that a target may have run, those in flight included.
        std::uint32_t attempts = 0;
        std::uint32_t refusals = 0;
        bool mayHedge = true;
        Clock::time_point hedgeAt;
    };

    SendPart send(std::size_t part, SendCause cause, Clock::time_point now);
    /// Returns whether a failure is left to deal with: the part is pending, with no copy in flight.
    bool noteFailure(const Part &part, const Verdict &verdict);
    void fail(Part &part, RequestActions &actions, Clock::time_point now);
    bool mayRetry(const Part &part, const Verdict &verdict) const;
    void finishIfDecided(RequestActions &actions, Clock::time_point now);
    ReturnFailure failure(Reason reason) const;

    RequestTerms m_terms;
    std::vector<Part> m_parts;
    std::size_t m_answered = 0;
    std::size_t m_failed = 0;
    /// The worst that is known of any copy that has failed.
    Execution m_execution = Execution::NotRun;
    Verdict m_lastFailure;
    bool m_isFinished = false;
};

} // namespace mangoshift
