// The end of an exchange: the response to the caller, and the log event and metrics that describe
// it.

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <utility>

#include "base/log.h"
#include "entry/requestexchange.h"
#include "http/httpstatus.h"
#include "mangoshift/recordmerge.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// How long the reply to a copy that is no longer needed is waited for before its connection counts
/// as silent: several times the length of the targets' pauses.
constexpr milliseconds UnneededReplyTimeout{1500};
/// When a caller should retry a request that waited in this VM until its time was up: a queue that
/// delayed one request has then drained.
constexpr milliseconds UnsentRetryAfter{300};
/// The greatest length of a request's trace; the first decisions usually explain the later ones.
constexpr std::size_t MaxTraceBytes = 600;
/// One in this many ordinary requests is logged.
constexpr std::size_t SampledOneIn = 64;

int statusOf(const Verdict &verdict)
{
    if (verdict.execution == Execution::NotRun)
        return httpstatus::ServiceUnavailable;
    return verdict.reason == Reason::DeadlineExceeded ? httpstatus::GatewayTimeout
                                                      : httpstatus::BadGateway;
}

std::string millisecondsText(Clock::duration duration)
{
    return std::to_string(std::chrono::duration_cast<milliseconds>(duration).count());
}

} // namespace

HttpResponse failureResponse(int status, const Verdict &verdict)
{
    HttpResponse response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    if (status == httpstatus::ServiceUnavailable && verdict.retryAfter.count() > 0) {
        std::array<char, 32> seconds{};
        std::snprintf(seconds.data(), seconds.size(), "%.3f",
                      std::chrono::duration<double>(verdict.retryAfter).count());
        response.headers.add("Retry-After", seconds.data());
    }
    response.body = "{\"execution\":\"" + std::string(toString(verdict.execution))
        + "\",\"reason\":\"" + std::string(toString(verdict.reason)) + "\"}";
    return response;
}

HttpResponse RequestExchange::mergedAnswer() const
{
    const EntryHeaderNames &names = m_state.adapter.headers;
    std::vector<std::string_view> bodies;
    std::string receipts;
    for (const Part &part : m_parts) {
        if (!part.isAnswered)
            continue;
        bodies.push_back(part.body);
        receipts += (receipts.empty() ? "" : ", ") + part.receipt;
    }
    HttpResponse response;
    response.status = httpstatus::Ok;
    response.headers.add(names.target.requestId, m_request.id);
    response.headers.add(names.partReceipts, receipts);
    response.headers.add(names.missingParts, std::to_string(m_parts.size() - bodies.size()));
    response.body = greatestRecords(bodies, fanOut()->records);
    return response;
}

HttpResponse RequestExchange::forwardedAnswer() const
{
    HttpResponse response;
    response.status = m_response->status;
    response.body = m_response->body;
    for (const auto &[name, value] : m_response->headers.entries())
        if (!isHopByHop(name, m_response->headers))
            response.headers.add(name, value);
    return response;
}

void RequestExchange::respondWithAnswer()
{
    const bool isPartial = m_machine->answeredParts() < m_parts.size();
    HttpResponse response = fanOut() != nullptr ? mergedAnswer() : forwardedAnswer();
    const int status = response.status;
    m_request.connection->respond(std::move(response));
    const Clock::time_point writtenAt = Clock::now();
    if (isPartial && m_isEndedByTime) {
        m_route.replyLead.onReplied(m_partialAnswerFrom, writtenAt);
        m_state.metrics.replyLead.Add({{"route", m_request.route->name}})
            .Set(std::chrono::duration<double>(m_route.replyLead.estimate()).count());
    }
    recordOutcome(status, isPartial ? "partial" : "complete", {Execution::Ran, Reason::Ok});
    finish(UnneededReplyTimeout);
}

void RequestExchange::respondWithFailure(Verdict verdict)
{
    if (verdict.execution == Execution::NotRun && verdict.retryAfter.count() == 0)
        verdict.retryAfter =
            retryDelay(UnsentRetryAfter, m_request.route->priority, m_state.draw());
    if (fanOut() == nullptr && m_response && verdict.execution == Execution::Ran) {
        recordOutcome(m_response->status, "target_failure", verdict);
        m_request.connection->respond(forwardedAnswer());
    } else {
        const int status = statusOf(verdict);
        const char *outcome = verdict.execution == Execution::NotRun ? "refused" : "error";
        recordOutcome(status, m_callerLeftEnd ? "caller_left" : outcome, verdict);
        m_request.connection->respond(failureResponse(status, verdict));
    }
    finish(DisconnectGracePeriod);
}

void RequestExchange::onCallerDisconnected(ConnectionEnd::Cause cause)
{
    if (m_isFinished)
        return;
    addToTrace("caller_left", m_request.route->name, {}, toString(cause).data());
    recordOutcome(0, "caller_left", {Execution::MayHaveRun, Reason::Cancelled});
    finish(DisconnectGracePeriod);
}

void RequestExchange::onCallerFinished()
{
    if (m_isFinished)
        return;
    addToTrace("caller_left", m_request.route->name, {},
               toString(ConnectionEnd::Cause::CallerClosed).data());
    m_callerLeftEnd = Clock::now() + DisconnectGracePeriod;
    endSending(Reason::Cancelled);
    if (m_isFinished)
        return;
    const bool hasPending = std::any_of(m_parts.begin(), m_parts.end(), [](const Part &part) {
        return std::any_of(part.copies.begin(), part.copies.end(),
                           [](const Copy &copy) { return copy.isPending; });
    });
    if (hasPending)
        armTimer();
    else
        finishNow(Reason::Cancelled);
}

void RequestExchange::abandonCalls(Clock::duration gracePeriod)
{
    for (const Part &part : m_parts)
        for (const Copy &copy : part.copies)
            if (copy.isPending)
                copy.target->channels.abandon(
                    copy.call, std::chrono::duration_cast<milliseconds>(gracePeriod));
}

void RequestExchange::endSending(Reason reason)
{
    if (m_isFinished)
        return;
    m_sendingEndedBy = reason;
    // Calls that wait for a connection end as not sent.
    abandonCalls(DisconnectGracePeriod);
    dropWaitingParts(reason);
}

void RequestExchange::dropWaitingParts(Reason reason)
{
    for (std::size_t i = 0; i < m_parts.size() && !m_isFinished; ++i) {
        Part &part = m_parts[i];
        if (!part.isWaiting)
            continue;
        const Clock::time_point now = Clock::now();
        m_state.directory.dropWaiting(part.service, m_forwarded);
        endWait(part, "dropped", now);
        perform(m_machine->onUnsent(i, {Execution::NotRun, reason}, now));
    }
}

void RequestExchange::finishNow(Reason reason)
{
    endSending(reason);
    readArrived();
    if (m_isFinished)
        return;
    if (m_machine->answeredParts() >= m_minParts)
        respondWithAnswer();
    else
        respondWithFailure(m_machine->failureNow(reason));
}

void RequestExchange::finish(milliseconds gracePeriod)
{
    m_isFinished = true;
    m_timer.cancel();
    const Clock::time_point now = Clock::now();
    for (Part &part : m_parts) {
        if (part.isWaiting)
            m_state.directory.dropWaiting(part.service, m_forwarded);
        endWait(part, "dropped", now);
    }
    const Clock::duration untilCallerLeftEnd =
        m_callerLeftEnd.value_or(Clock::time_point::max()) - now;
    abandonCalls(std::clamp<Clock::duration>(untilCallerLeftEnd, milliseconds(0), gracePeriod));
    m_onFinished(shared_from_this());
}

void RequestExchange::addToTrace(const char *what, const std::string &service,
                                 const TargetId &target, const char *why)
{
    if (m_trace.size() >= MaxTraceBytes)
        return;
    m_trace += m_trace.empty() ? "" : ";";
    m_trace += millisecondsText(Clock::now() - m_request.receivedAt);
    m_trace += std::string(":") + what + ":" + service;
    m_trace += target.empty() ? "" : "@" + target;
    m_trace += *why == '\0' ? "" : std::string(":") + why;
}

std::string RequestExchange::missingParts() const
{
    std::string missing;
    for (const Part &part : m_parts) {
        if (part.isAnswered)
            continue;
        missing += (missing.empty() ? "" : ",") + part.service;
        for (const Copy &copy : part.copies)
            missing += "@" + copy.target->info.id;
        if (missing.size() >= MaxTraceBytes)
            break;
    }
    return missing;
}

void RequestExchange::recordOutcome(int status, const char *outcome, const Verdict &verdict) const
{
    const Clock::duration took = Clock::now() - m_request.receivedAt;
    const Route &route = *m_request.route;
    m_state.metrics.entryRequests
        .Add({{"route", route.name},
              {"outcome", outcome},
              {"reason", std::string(toString(verdict.reason))}})
        .Increment();
    m_state.metrics.entrySeconds.Add({{"route", route.name}}, latencyBuckets())
        .Observe(std::chrono::duration<double>(took).count());
    const bool isLate = took > route.latencyTarget;
    const bool isOrdinary =
        verdict.isOk() && !isLate && m_machine->answeredParts() == m_parts.size();
    // Sampled by the request id, so that all VMs that see a request make the same choice.
    if (isOrdinary && std::hash<std::string>()(m_request.id) % SampledOneIn != 0)
        return;
    logEvent(LogLevel::Info, "request_ended",
             {{"request", m_request.id},
              {"route", route.name},
              {"config_version", std::to_string(m_request.routing->version())},
              {"outcome", outcome},
              {"status", std::to_string(status)},
              {"execution", std::string(toString(verdict.execution))},
              {"reason", std::string(toString(verdict.reason))},
              {"took_ms", millisecondsText(took)},
              {"answer_by_ms", millisecondsText(m_partialAnswerFrom - m_request.receivedAt)},
              {"way_ms", millisecondsText(m_request.way.outside())},
              {"parts",
               std::to_string(m_machine->answeredParts()) + "/" + std::to_string(m_parts.size())},
              {"hedges", std::to_string(m_hedges)},
              {"retries", std::to_string(m_retries)},
              {"denied", std::to_string(m_denied)},
              {"missing", missingParts()},
              {"trace", m_trace}});
}

} // namespace mangoshift
