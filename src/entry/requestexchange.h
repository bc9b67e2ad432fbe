#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "entry/entrystate.h"
#include "entry/incomingrequest.h"
#include "mangoshift/requestmachine.h"

namespace mangoshift {

/// One caller's request from the filters to its final answer.
///
/// Performs the actions of a `RequestMachine`: picks targets, sends, judges what comes back, merges
/// and answers. Lives until the answer is given or the caller has left; calls that are under way
/// then end by themselves. Belongs to the entry duty's thread.
class RequestExchange : public std::enable_shared_from_this<RequestExchange>
{
public:
    using Finished = std::function<void(const std::shared_ptr<RequestExchange> &)>;

    RequestExchange(EntryState &state, IncomingRequest request, Finished finished);

    void start();
    /// Takes in that the caller has left: nothing more is sent, and targets are told soon.
    void onCallerLeft();
    /// Gives the final answer now, whatever is missing.
    void finishNow(Reason reason);

    const IncomingRequest &request() const { return m_request; }

private:
    /// How long a target works on for a caller that has left. The users count work half a second
    /// after.
    static constexpr std::chrono::milliseconds CallerLeftGracePeriod{250};

    struct Copy
    {
        TargetHandlePtr target;
        CallNumber call = 0;
        bool isPending = true;
    };

    struct Part
    {
        std::string service;
        /// Those that were sent to a target.
        std::vector<Copy> copies;
        bool isWaiting = false;
        /// Whether any copy has reached, or may still reach, a target.
        bool mayHaveArrived = false;
        std::string receipt;
        std::string body;
    };

    void perform(RequestActions actions);
    RequestActions sendPart(const SendPart &action, Clock::time_point now);
    /// Whom an extra request is paid from; first ones are free.
    enum class Payment : std::uint8_t { None, Share, Pool };
    RequestActions callTarget(const SendPart &action, Payment payment, Clock::time_point now);
    void countSend(SendCause cause);
    RequestActions onExtraDenied(const SendPart &action, Clock::time_point now);
    void onPoolReply(const SendPart &action, bool isGranted);
    RequestActions onUnsent(const SendPart &action, const Verdict &verdict, Clock::time_point now);
    void onSent(std::size_t part, const TargetHandlePtr &target, CallNumber call);
    void onReply(std::size_t part, const TargetHandlePtr &target, TargetReply reply);
    /// Returns no value where the reply answers the part.
    std::optional<Verdict> classifyReply(const TargetReply &reply) const;
    void reportOverdue(const Part &part, Clock::time_point now);
    /// Whether this VM is cut off from too many targets for a successful answer.
    bool isCutOffFromTargets() const;
    /// Whether queues are too long for enough parts to be in time.
    bool hasTooLongQueues(Clock::time_point now) const;
    void respondWithAnswer();
    HttpResponse mergedAnswer() const;
    HttpResponse forwardedAnswer() const;
    void respondWithFailure(const Verdict &verdict);
    void finish(std::chrono::milliseconds gracePeriod);
    void armTimer();
    /// Adds a decision to the request's trace, with the time since its receipt.
    void addToTrace(const char *what, const std::string &service, const TargetId &target,
                    const char *why);
    void recordOutcome(int status, const char *outcome, const Verdict &verdict) const;
    std::string missingParts() const;
    const FanOutTo *fanOut() const { return std::get_if<FanOutTo>(&m_request.route->destination); }

    EntryState &m_state;
    IncomingRequest m_request;
    Finished m_finished;
    RouteState &m_route;
    Clock::duration m_expectedLatency{};
    Clock::time_point m_replyBy;
    /// How many parts a successful answer holds at least.
    std::size_t m_leastParts = 1;
    ForwardedRequestPtr m_forwarded;
    std::vector<Part> m_parts;
    std::optional<RequestMachine> m_machine;
    /// The last answer of a target that may be passed on as it is.
    std::optional<HttpResponse> m_response;
    asio::basic_waitable_timer<Clock> m_timer;
    /// What was decided besides first sends, bounded; written when the request ends.
    std::string m_trace;
    std::size_t m_hedges = 0;
    std::size_t m_retries = 0;
    std::size_t m_denied = 0;
    bool m_isFinished = false;
};

/// Returns the answer of a request that no target has answered.
HttpResponse failureResponse(int status, const Verdict &verdict);

} // namespace mangoshift
