#include "mangoshift/requestmachine.h"

#include <algorithm>

namespace mangoshift {

namespace {

/// The number of refusals after which a part is not retried. With two to ten targets for each
/// service, more refusals mean that all targets are full.
constexpr std::uint32_t MaxRefusals = 3;
/// Hedges are sent at this many moments in a hedge delay at most.
constexpr int HedgeSteps = 8;
constexpr std::chrono::milliseconds MinHedgeStep{1};

} // namespace

RequestMachine::RequestMachine(const RequestTerms &terms)
    : m_terms(terms)
    , m_parts(terms.parts)
{
}

RequestActions RequestMachine::start(Clock::time_point now)
{
    m_startedAt = now;
    RequestActions actions;
    actions.reserve(m_parts.size());
    for (std::size_t i = 0; i < m_parts.size(); ++i)
        actions.emplace_back(send(i, SendCause::First, now));
    return actions;
}

SendPart RequestMachine::send(std::size_t part, SendCause cause, Clock::time_point now)
{
    Part &state = m_parts[part];
    ++state.inFlight;
    ++state.attempts;
    state.isStalled = false;
    state.hedgeAt = now + m_terms.hedgeDelay;
    return {part, cause};
}

void RequestMachine::onSent(std::size_t part)
{
    ++m_parts[part].sent;
}

void RequestMachine::onPlaced(std::size_t part, Clock::time_point now)
{
    m_parts[part].hedgeAt = hedgeTime(now);
}

Clock::time_point RequestMachine::hedgeTime(Clock::time_point now) const
{
    // Parts that become late one shortly after the other are hedged at the same time.
    const Clock::duration step =
        std::max<Clock::duration>(m_terms.hedgeDelay / HedgeSteps, MinHedgeStep);
    const Clock::duration sinceStart = now + m_terms.hedgeDelay - m_startedAt;
    return m_startedAt + step * ((sinceStart + step - Clock::duration(1)) / step);
}

RequestActions RequestMachine::onAnswered(std::size_t part, Clock::time_point now)
{
    RequestActions actions;
    Part &state = m_parts[part];
    --state.inFlight;
    state.sent -= std::min(state.sent, 1U);
    if (m_isFinished || state.state == PartState::Answered)
        return actions;
    if (state.state == PartState::Failed)
        --m_failed;
    state.state = PartState::Answered;
    ++m_answered;
    finishIfDecided(actions, now);
    return actions;
}

bool RequestMachine::canRetry(const Part &part, const Verdict &verdict, Clock::time_point now) const
{
    if (now >= m_terms.deadline)
        return false;
    if (part.attempts >= m_terms.maxAttempts || part.refusals >= MaxRefusals)
        return false;
    return verdict.execution == Execution::NotRun || m_terms.isIdempotent;
}

RequestActions RequestMachine::onFailed(std::size_t part, const Verdict &verdict,
                                        Clock::time_point now)
{
    Part &state = m_parts[part];
    state.sent -= std::min(state.sent, 1U);
    return handleFailure(part, verdict, now);
}

RequestActions RequestMachine::onUndelivered(std::size_t part, const Verdict &verdict,
                                             Clock::time_point now)
{
    return handleFailure(part, verdict, now);
}

RequestActions RequestMachine::handleFailure(std::size_t part, const Verdict &verdict,
                                             Clock::time_point now)
{
    RequestActions actions;
    Part &state = m_parts[part];
    --state.inFlight;
    if (verdict.execution == Execution::NotRun) {
        --state.attempts;
        ++state.refusals;
    }
    if (!recordFailure(state, verdict))
        return actions;
    if (verdict.reason != Reason::NoReplica && canRetry(state, verdict, now))
        actions.emplace_back(send(part, SendCause::Retry, now));
    else
        failPart(state, actions, now);
    return actions;
}

RequestActions RequestMachine::onUnsent(std::size_t part, const Verdict &verdict,
                                        Clock::time_point now)
{
    RequestActions actions;
    Part &state = m_parts[part];
    --state.inFlight;
    --state.attempts;
    if (recordFailure(state, verdict))
        failPart(state, actions, now);
    return actions;
}

bool RequestMachine::recordFailure(const Part &part, const Verdict &verdict)
{
    if (m_isFinished)
        return false;
    m_execution = std::max(m_execution, verdict.execution);
    // The failure of an earlier target tells the caller more than the lack of further targets.
    if (verdict.reason != Reason::NoReplica || m_lastFailure.reason == Reason::Ok)
        m_lastFailure = verdict;
    return part.state == PartState::Pending && part.inFlight == 0;
}

void RequestMachine::failPart(Part &part, RequestActions &actions, Clock::time_point now)
{
    part.state = PartState::Failed;
    ++m_failed;
    finishIfDecided(actions, now);
}

RequestActions RequestMachine::onHedgeDropped(std::size_t part, Clock::time_point now)
{
    RequestActions actions;
    Part &state = m_parts[part];
    --state.inFlight;
    --state.attempts;
    state.canHedge = false;
    // The other copies may have failed while the hedge waited for the budget.
    if (!m_isFinished && state.state == PartState::Pending && state.inFlight == 0)
        failPart(state, actions, now);
    return actions;
}

RequestActions RequestMachine::onHedgeDeferred(std::size_t part, Clock::time_point now)
{
    RequestActions actions = onHedgeDropped(part, now);
    Part &state = m_parts[part];
    state.canHedge = true;
    state.hedgeAt = Clock::time_point::max();
    return actions;
}

RequestActions RequestMachine::onStalled(std::size_t part, bool isStalled, Clock::time_point now)
{
    RequestActions actions;
    m_parts[part].isStalled = isStalled;
    if (!m_isFinished && isStalled)
        finishIfDecided(actions, now);
    return actions;
}

RequestActions RequestMachine::onTimer(Clock::time_point now)
{
    RequestActions actions;
    if (m_isFinished)
        return actions;
    if (now >= m_terms.deadline) {
        m_isFinished = true;
        if (m_answered >= m_terms.minParts)
            actions.emplace_back(ReturnAnswer{});
        else
            actions.emplace_back(makeFailure(Reason::DeadlineExceeded));
        return actions;
    }
    finishIfDecided(actions, now);
    if (m_isFinished || !m_terms.isIdempotent)
        return actions;
    for (std::size_t i = 0; i < m_parts.size(); ++i) {
        Part &part = m_parts[i];
        if (part.state == PartState::Pending && part.canHedge && part.hedgeAt <= now) {
            part.canHedge = false;
            if (part.attempts < m_terms.maxAttempts)
                actions.emplace_back(send(i, SendCause::Hedge, now));
        }
    }
    return actions;
}

void RequestMachine::finishIfDecided(RequestActions &actions, Clock::time_point now)
{
    const std::size_t pending = m_parts.size() - m_answered - m_failed;
    const bool hasMinParts = m_answered >= m_terms.minParts;
    const bool isTimeUp = now >= m_terms.partialAnswerFrom && !m_isReadingArrived;
    if (hasMinParts && (!isWorthWaiting() || isTimeUp)) {
        m_isFinished = true;
        actions.emplace_back(ReturnAnswer{});
    } else if (m_answered + pending < m_terms.minParts) {
        m_isFinished = true;
        actions.emplace_back(makeFailure(m_lastFailure.reason));
    }
}

bool RequestMachine::isWorthWaiting() const
{
    return std::any_of(m_parts.begin(), m_parts.end(), [](const Part &part) {
        return part.state == PartState::Pending && !part.isStalled;
    });
}

ReturnFailure RequestMachine::makeFailure(Reason reason) const
{
    Execution execution = m_execution;
    for (const Part &part : m_parts)
        if (part.state == PartState::Answered)
            execution = Execution::Ran;
        else if (part.sent > 0)
            execution = std::max(execution, Execution::MayHaveRun);
    return {{execution, reason, m_lastFailure.retryAfter}};
}

Clock::time_point RequestMachine::nextEvent() const
{
    Clock::time_point next = m_terms.deadline;
    if (m_answered >= m_terms.minParts)
        next = std::min(next, m_terms.partialAnswerFrom);
    if (!m_terms.isIdempotent)
        return next;
    for (const Part &part : m_parts)
        if (part.state == PartState::Pending && part.canHedge)
            next = std::min(next, part.hedgeAt);
    return next;
}

} // namespace mangoshift
