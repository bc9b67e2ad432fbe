#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "entry/entrystate.h"
#include "entry/incomingrequest.h"
#include "mangoshift/arrivalcheck.h"
#include "mangoshift/requestmachine.h"

namespace mangoshift {

/// The latency quantile of the route's recent parts after which a part is hedged.
constexpr double HedgeQuantile = 0.9;

/// Processes one caller's request from the filters to the final response.
///
/// Performs the actions of a `RequestMachine`: picks targets, sends requests, classifies replies,
/// merges them and responds. Lives until the response is sent or the caller has disconnected; calls
/// in flight then end on their own. Belongs to the entry duty's thread.
class RequestExchange : public std::enable_shared_from_this<RequestExchange>
{
public:
    using OnFinished = std::function<void(const std::shared_ptr<RequestExchange> &)>;

    RequestExchange(EntryState &state, IncomingRequest request, OnFinished onFinished);

    void start();
    /// Handles the disconnection of the caller: nothing more is sent, and the calls in flight are
    /// cancelled after a grace period.
    void onCallerDisconnected(ConnectionEnd::Cause cause);
    /// Handles that the caller has closed its sending side or, more often, has left: nothing more
    /// is sent, and the caller gets what arrives within the grace period, or a final response.
    void onCallerFinished();
    /// Sends nothing more to targets, and takes back what no target has got. The request may end
    /// within, for the given reason.
    void endSending(Reason reason);
    /// Sends the final response now: an answer without the parts that are missing if enough have
    /// arrived, otherwise a failure.
    void finishNow(Reason reason);

    const IncomingRequest &request() const { return m_request; }

private:
    /// How long a target may continue to work for a caller that has disconnected or has received a
    /// failure. The users count work that is done later than half a second after a disconnection.
    static constexpr std::chrono::milliseconds DisconnectGracePeriod{250};

    struct Copy
    {
        TargetHandlePtr target;
        CallNumber call = 0;
        Clock::time_point sentAt{};
        bool isPending = true;
    };

    struct Part
    {
        std::string service;
        /// The permit for the next copy.
        std::optional<HeldPermit> permit;
        /// Whether it was denied a permit and has no other targets than limited ones.
        bool isDenied = false;
        /// The copies that were sent to a target.
        std::vector<Copy> copies;
        bool isWaiting = false;
        Clock::time_point waitingSince{};
        /// Whether a copy was given to a target's connections, so that another one is extra.
        bool hasFirstCopy = false;
        /// Whether a copy may have arrived at a target, which earns extra requests once.
        bool hasReachedTarget = false;
        /// Whether a response that counts as an answer has arrived.
        bool isAnswered = false;
        /// The receipt in that response. A part of a merged answer always has one.
        std::string receipt;
        std::string body;
    };

    void perform(RequestActions actions);
    RequestActions sendPart(const SendPart &action, Clock::time_point now);
    /// The budget that pays for a send: none for first requests, else this VM's share or the pool.
    /// What was taken back has been paid for and counted.
    enum class Payment : std::uint8_t { None, Share, Pool, Made };
    RequestActions callTarget(const SendPart &action, Payment payment, Clock::time_point now);
    void countSend(SendCause cause);
    /// Adds to the trace why there is no target for a part.
    void addAbsenceToTrace(const Part &part, const TargetAbsence &absence);
    /// Records how long a call waited inside this VM and why that ended.
    void recordWait(Clock::duration wait, const char *end) const;
    void endWait(Part &part, const char *end, Clock::time_point now) const;
    /// Returns the verdict on what no target can take.
    Verdict noTargetVerdict(const TargetAbsence &absence, Clock::time_point now) const;
    /// Handles a waiting part for which no target is left.
    void onNoTarget(const SendPart &action, const TargetAbsence &absence);
    RequestActions onExtraDenied(const SendPart &action, Clock::time_point now);
    void onPoolReply(const SendPart &action, bool isGranted);
    RequestActions onUnsent(const SendPart &action, const Verdict &verdict, Clock::time_point now);
    /// Handles that a copy may arrive at a target from now on.
    void onFirstByte(std::size_t part);
    /// Handles that a copy was given to a target's connections.
    void onSent(std::size_t part, const TargetHandlePtr &target, CallNumber call);
    /// Sends again a copy that waited for a connection until its target was closed to it. The copy
    /// counts as neither tried nor refused.
    RequestActions onTakenBack(std::size_t part, const TargetHandlePtr &target,
                               Clock::time_point now);
    void onReply(std::size_t part, const TargetHandlePtr &target, TargetCallResult reply);
    /// Returns the failure that a reply stands for; no value if the reply answers the part.
    std::optional<Verdict> classifyReply(const TargetCallResult &reply) const;
    void reportOverdue(const Part &part, Clock::time_point now);
    /// Reports the calls for which there will be hedges, after reading what has arrived. Done
    /// before the first hedge is placed, as calls that are overdue together may show that a failure
    /// domain cannot be reached.
    void reportOverdue(const RequestActions &actions);
    /// Returns whether this VM is cut off and reaches too few targets for a successful answer.
    bool isCutOffFromTargets() const;
    /// Returns whether too few parts have targets for a successful answer, and until when. Adds the
    /// parts without targets to the trace if so.
    std::optional<CoverageGap> coverageGap(Clock::time_point now);
    /// Starts the request, or refuses it if the limits of targets leave too few parts.
    void onPermits(const PermitOutcome &outcome, const std::vector<HeldPermit> &permits);
    /// Handles that a waiting part has stalled, or no longer is.
    void onStalled(std::size_t part, bool isStalled);
    /// Returns whether the queues are too long for enough parts to be answered in time.
    bool hasTooLongQueues(Clock::time_point now) const;
    void respondWithAnswer();
    HttpResponse mergedAnswer() const;
    HttpResponse forwardedAnswer() const;
    void respondWithFailure(Verdict verdict);
    /// Ends the calls in flight after a grace period, in which their responses are still received.
    void abandonCalls(Clock::duration gracePeriod);
    /// Takes back the parts that wait for a target.
    void dropWaitingParts(Reason reason);
    void finish(std::chrono::milliseconds gracePeriod);
    /// Handles the responses that have arrived and were not read yet because the thread was busy.
    /// To be called before a decision by the time; the request may finish within.
    void readArrived();
    /// Does the same for the copies of one part.
    void readArrived(const Part &part);
    void armTimer();
    void onTimer();
    /// Appends a decision to the request's trace, with the time since the request was received.
    void addToTrace(const char *what, const std::string &service, const TargetId &target,
                    const char *why);
    void recordOutcome(int status, const char *outcome, const Verdict &verdict) const;
    std::string missingParts() const;
    const FanOutTo *fanOut() const { return std::get_if<FanOutTo>(&m_request.route->destination); }

    EntryState &m_state;
    IncomingRequest m_request;
    OnFinished m_onFinished;
    RouteState &m_route;
    Clock::duration m_expectedLatency{};
    Clock::duration m_hedgeDelay{};
    Clock::time_point m_partialAnswerFrom;
    /// The least number of parts that a successful answer contains.
    std::size_t m_minParts = 1;
    ForwardedRequestPtr m_forwarded;
    std::vector<Part> m_parts;
    std::optional<RequestMachine> m_machine;
    /// The last response of a target that may be forwarded as it is.
    std::optional<HttpResponse> m_response;
    asio::basic_waitable_timer<Clock> m_timer;
    /// Why nothing more is sent to targets; no value while requests may be sent.
    std::optional<Reason> m_sendingEndedBy;
    /// When the request ends because its caller has probably left; no value before it has.
    std::optional<Clock::time_point> m_callerLeftEnd;
    /// The decisions other than first sends, bounded in size; logged when the request ends.
    std::string m_trace;
    std::size_t m_hedges = 0;
    std::size_t m_retries = 0;
    std::size_t m_denied = 0;
    /// Whether the wait for further parts was ended by the time, with enough parts for an answer.
    bool m_isEndedByTime = false;
    bool m_isFinished = false;
};

/// Returns the response to a request that no target has answered.
HttpResponse failureResponse(int status, const Verdict &verdict);

} // namespace mangoshift
