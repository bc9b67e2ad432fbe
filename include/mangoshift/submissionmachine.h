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

/// What a submission is to do, as settled by the issuer of its ticket.
struct SubmissionPlan
{
    ShardKey shard;
    /// The homes that can run it, in order of preference.
    std::vector<HomeChoice> homes;
    /// The earlier of the request's deadline and the ticket's expiry.
    Clock::time_point deadline;
};

/// Hands the request to a home, which answers by `deadline`.
struct SendSubmission
{
    ExchangeId exchange = 0;
    VmId home;
    std::string failureDomain;
    ShardKey shard;
    Clock::time_point deadline;
};

/// Tells a home that its answer comes too late.
struct CancelSubmission
{
    ExchangeId exchange = 0;
    VmId home;
    ShardKey shard;
};

/// Ends the submission with its one outcome.
struct FinishSubmission
{
    TicketOutcome outcome;
};

using SubmissionAction = std::variant<SendSubmission, CancelSubmission, ArmTimer, FinishSubmission>;
using SubmissionActions = std::vector<SubmissionAction>;

/// Bounds the retries of submissions to a share of first copies. Not thread safe.
class RetryBudget
{
public:
    /// Earns `share` of a retry for each first copy and saves up at most `burst`.
    RetryBudget(double share, double burst);

    void onFirstCopy();
    /// Takes one retry; returns false where there is none left.
    bool tryTake();

private:
    double m_share;
    double m_burst;
    double m_saved;
};

/// Decides one submission at the issuer of its ticket.
///
/// Guarantees that at most one home at a time holds the request, that another is asked only after
/// the one before said `NotRun` or was never reached, that nothing is sent at or after the
/// deadline, and that exactly one `FinishSubmission` comes out, `NotRun` only where no home that
/// was given the request may have run it. Reads no clock and sends nothing. Not thread safe.
class SubmissionMachine
{
public:
    /// `budget` outlives the machine.
    SubmissionMachine(SubmissionPlan plan, ExchangeIdGenerator nextExchange, RetryBudget &budget);

    /// Begins the submission; call once, with the clock read just before.
    SubmissionActions start(Clock::time_point now);
    /// Takes in a home's reply.
    SubmissionActions onReply(ExchangeId exchange, TicketOutcome outcome, Clock::time_point now);
    /// Takes in that no byte of the request left this VM.
    SubmissionActions onUnsent(ExchangeId exchange, Clock::time_point now);
    /// Takes in that the connection to a home was lost.
    SubmissionActions onHomeLost(const VmId &home);
    /// Takes in that the armed instant has come.
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
    bool isOpen(ExchangeId exchange) const;

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
