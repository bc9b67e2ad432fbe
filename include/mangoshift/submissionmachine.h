#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/exchange.h"
#include "mangoshift/outcome.h"
#include "mangoshift/placement.h"
#include "mangoshift/querymachine.h"
#include "mangoshift/ticketledger.h"

namespace mangoshift {

/// The plan of a submission, made by the issuer of its ticket.
struct SubmissionPlan
{
    ShardKey shard;
    /// The homes that can run the request, in order of preference.
    std::vector<HomeChoice> homes;
    /// The earlier of the request's deadline and the ticket's expiry.
    Clock::time_point deadline;
};

/// Action: sends the request to a home, which must reply by `deadline`.
struct SendSubmission
{
    ExchangeId exchange = 0;
    VmId home;
    std::string failureDomain;
    ShardKey shard;
    Clock::time_point deadline;
};

/// Action: tells a home that its reply is no longer needed.
struct CancelSubmission
{
    ExchangeId exchange = 0;
    VmId home;
    ShardKey shard;
};

/// Action: ends the submission with its only outcome.
struct FinishSubmission
{
    TicketOutcome outcome;
};

using SubmissionAction = std::variant<SendSubmission, CancelSubmission, ArmTimer, FinishSubmission>;
using SubmissionActions = std::vector<SubmissionAction>;

/// Limits the retries of submissions to a fraction of first copies. Not thread safe.
class RetryBudget
{
public:
    /// The budget earns `share` tokens for each first copy, holds at most `burst` tokens and starts
    /// full.
    RetryBudget(double share, double burst);

    /// Records that a first copy was sent.
    void onFirstCopy();
    /// Spends one token for one retry. Returns false if there is no token.
    bool trySpend();

private:
    double m_share;
    double m_burst;
    double m_tokens;
};

/// Drives one submission at the issuer of its ticket.
///
/// Guarantees that:
/// - at most one home holds the request at any time;
/// - the request is sent to the next home only after the previous one replied `NotRun` or was never
///   reached;
/// - nothing is sent at or after the deadline;
/// - exactly one `FinishSubmission` is returned, with `NotRun` only if no home can have run the
///   request.
///
/// Reads no clock and sends nothing: the owner performs the actions. Not thread safe.
class SubmissionMachine
{
public:
    /// `budget` must outlive the machine.
    SubmissionMachine(SubmissionPlan plan, ExchangeIdGenerator nextExchange, RetryBudget &budget);

    /// Starts the submission; must be called once, with a `now` that was read just before.
    SubmissionActions start(Clock::time_point now);
    /// Handles a home's reply.
    SubmissionActions onReply(ExchangeId exchange, TicketOutcome outcome, Clock::time_point now);
    /// Handles an exchange of which no byte has left this VM.
    SubmissionActions onUnsent(ExchangeId exchange, Clock::time_point now);
    /// Handles the loss of the connection to a home.
    SubmissionActions onHomeLost(const VmId &home);
    /// Handles the expiry of the armed timer.
    SubmissionActions onTimer(Clock::time_point now);

    bool isFinished() const { return m_isFinished; }

private:
    struct Attempt
    {
        ExchangeId exchange = 0;
        VmId home;
    };

    SubmissionActions sendNext(Clock::time_point now);
    SubmissionActions finish(TicketOutcome outcome);
    bool isPending(ExchangeId exchange) const;

    SubmissionPlan m_plan;
    ExchangeIdGenerator m_nextExchange;
    RetryBudget &m_budget;
    std::vector<std::pair<VmId, std::string>> m_candidates;
    std::size_t m_nextCandidate = 0;
    std::optional<Attempt> m_attempt;
    TicketOutcome m_lastRefusal{{Execution::NotRun, Reason::NoReplica}, {}};
    bool m_isFinished = false;
};

} // namespace mangoshift
