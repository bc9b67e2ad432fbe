#include "duties/ticketwire.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "duties/wiretime.h"

namespace mangoshift {

namespace {

Verdict verdictFrom(std::uint8_t execution, std::uint8_t reason, std::uint32_t retryAfterMs)
{
    if (execution > static_cast<std::uint8_t>(Execution::Ran)
        || reason > static_cast<std::uint8_t>(Reason::BudgetSpent))
        return {Execution::MayHaveRun, Reason::BadReply};
    return {static_cast<Execution>(execution), static_cast<Reason>(reason),
            std::chrono::milliseconds(retryAfterMs)};
}

} // namespace

FramePtr ticketRequestFrame(ExchangeId exchange, const SubmissionRequest &request)
{
    const Clock::time_point now = Clock::now();
    wire::TicketRequestT wire;
    wire.exchange = exchange;
    wire.ticket = formatTicket(request.ticket);
    wire.service = request.body->service;
    wire.shard_key = request.shardKey;
    wire.sent_at_us = toWireTime(now);
    wire.deadline_us = toWireTimeLeft(request.deadline, now);
    wire.request_id = request.body->requestId;
    wire.traceparent = request.body->traceparent;
    wire.body = request.body->body;
    return makeFrame(std::move(wire));
}

SubmissionRequest submissionFrom(wire::TicketRequestT &wire, Ticket ticket,
                                 Clock::time_point arrivedAt)
{
    auto body = std::make_shared<RequestBody>();
    body->requestId = std::move(wire.request_id);
    body->service = std::move(wire.service);
    body->traceparent = std::move(wire.traceparent);
    body->body = std::move(wire.body);
    body->isIdempotent = false;
    return {std::move(ticket), std::move(wire.shard_key), std::move(body),
            arrivedAt + std::chrono::microseconds(wire.deadline_us)};
}

FramePtr ticketReplyFrame(ExchangeId exchange, TicketOutcome outcome)
{
    wire::TicketReplyT reply;
    reply.exchange = exchange;
    reply.execution = static_cast<std::uint8_t>(outcome.verdict.execution);
    reply.reason = static_cast<std::uint8_t>(outcome.verdict.reason);
    reply.retry_after_ms = static_cast<std::uint32_t>(outcome.verdict.retryAfter.count());
    reply.body = std::move(outcome.result);
    return makeFrame(std::move(reply));
}

FramePtr submissionFrame(const SendSubmission &action, const SubmissionRequest &request)
{
    const RequestBody &body = *request.body;
    const Clock::time_point now = Clock::now();
    wire::ShardBatchT batch;
    batch.exchange = action.exchange;
    batch.service = body.service;
    batch.failure_domain = action.failureDomain;
    batch.sent_at_us = toWireTime(now);
    batch.deadline_us = toWireTimeLeft(action.deadline, now);
    batch.priority = body.priority;
    batch.idempotent = false;
    batch.request_id = body.requestId;
    batch.traceparent = body.traceparent;
    batch.body = body.body;
    batch.idempotency_key = formatTicket(request.ticket);
    batch.shards = {action.shard.value};
    return makeFrame(std::move(batch));
}

TicketOutcome outcomeFrom(wire::TicketReplyT reply)
{
    return {verdictFrom(reply.execution, reply.reason, reply.retry_after_ms),
            std::move(reply.body)};
}

TicketOutcome outcomeFrom(const wire::ShardReplyT &reply)
{
    return {verdictFrom(reply.execution, reply.reason, reply.retry_after_ms), reply.rows};
}

} // namespace mangoshift
