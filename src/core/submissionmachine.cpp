#include "mangoshift/submissionmachine.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// A home's deadline is this much before the issuer's, so that its last reply arrives in time.
constexpr std::chrono::milliseconds ReplyMargin{10};

/// Returns the first-choice home of every domain, then every second choice, and so on.
std::vector<std::pair<VmId, std::string>> orderCandidates(const std::vector<HomeChoice> &homes)
{
    std::vector<std::pair<VmId, std::string>> candidates;
    std::size_t maxChoices = 0;
    for (const HomeChoice &choice : homes)
        maxChoices = std::max(maxChoices, choice.vms.size());
    for (std::size_t rank = 0; rank < maxChoices; ++rank)
        for (const HomeChoice &choice : homes)
            if (rank < choice.vms.size())
                candidates.emplace_back(choice.vms[rank], choice.failureDomain);
    return candidates;
}

} // namespace

RetryBudget::RetryBudget(double share, double burst)
    : m_share(share)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void RetryBudget::onFirstCopy()
{
    m_tokens = std::min(m_tokens + m_share, m_burst);
}

bool RetryBudget::trySpend()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

SubmissionMachine::SubmissionMachine(SubmissionPlan plan, ExchangeIdGenerator nextExchange,
                                     RetryBudget &budget)
    : m_plan(std::move(plan))
    , m_nextExchange(std::move(nextExchange))
    , m_budget(budget)
    , m_candidates(orderCandidates(m_plan.homes))
{
}

SubmissionActions SubmissionMachine::start(Clock::time_point now)
{
    m_budget.onFirstCopy();
    return sendNext(now);
}

SubmissionActions SubmissionMachine::onReply(ExchangeId exchange, TicketOutcome outcome,
                                             Clock::time_point now)
{
    if (!isPending(exchange))
        return {};
    m_attempt.reset();
    if (outcome.verdict.execution != Execution::NotRun)
        return finish(std::move(outcome));
    m_lastRefusal = std::move(outcome);
    const bool canRetry = m_nextCandidate < m_candidates.size() && m_budget.trySpend();
    return canRetry ? sendNext(now) : finish(m_lastRefusal);
}

SubmissionActions SubmissionMachine::onUnsent(ExchangeId exchange, Clock::time_point now)
{
    if (!isPending(exchange))
        return {};
    m_attempt.reset();
    m_lastRefusal = {{Execution::NotRun, Reason::Lost}, {}};
    // No request has reached a target, so the retry is free.
    return sendNext(now);
}

SubmissionActions SubmissionMachine::onHomeLost(const VmId &home)
{
    if (m_isFinished || !m_attempt || m_attempt->home != home)
        return {};
    return finish({{Execution::MayHaveRun, Reason::Lost}, {}});
}

SubmissionActions SubmissionMachine::onTimer(Clock::time_point now)
{
    if (m_isFinished || now < m_plan.deadline || !m_attempt)
        return {};
    SubmissionActions actions{CancelSubmission{m_attempt->exchange, m_attempt->home, m_plan.shard}};
    for (SubmissionAction &each : finish({{Execution::MayHaveRun, Reason::DeadlineExceeded}, {}}))
        actions.push_back(std::move(each));
    return actions;
}

SubmissionActions SubmissionMachine::sendNext(Clock::time_point now)
{
    if (m_nextCandidate >= m_candidates.size())
        return finish(m_lastRefusal);
    const Clock::time_point homeDeadline = m_plan.deadline - ReplyMargin;
    if (now >= homeDeadline)
        return finish({{Execution::NotRun, Reason::DeadlineExceeded}, {}});
    const auto &[home, domain] = m_candidates[m_nextCandidate++];
    m_attempt = Attempt{m_nextExchange(), home};
    return {ArmTimer{m_plan.deadline},
            SendSubmission{m_attempt->exchange, home, domain, m_plan.shard, homeDeadline}};
}

SubmissionActions SubmissionMachine::finish(TicketOutcome outcome)
{
    m_isFinished = true;
    return {FinishSubmission{std::move(outcome)}};
}

bool SubmissionMachine::isPending(ExchangeId exchange) const
{
    return !m_isFinished && m_attempt && m_attempt->exchange == exchange;
}

} // namespace mangoshift
