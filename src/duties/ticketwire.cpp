#include "duties/ticketwire.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "duties/verdictwire.h"
#include "duties/wiretime.h"

namespace mangoshift {

FramePtr makeTicketRequestFrame(ExchangeId exchange, const SubmissionRequest &request)
{
    const Clock::time_point now = Clock::now();
    wire::TicketRequestT frame;
    frame.exchange = exchange;
    frame.ticket = formatTicket(request.ticket);
    frame.service = request.body->service;
    frame.shard_key = request.shardKey;
    frame.sent_at_us = toWireTime(now);
    frame.deadline_us = toWireTimeLeft(request.deadline, now);
    frame.request_id = request.body->requestId;
    frame.traceparent = request.body->traceparent;
    frame.body = request.body->body;
    return makeFrame(std::move(frame));
}

SubmissionRequest submissionFrom(wire::TicketRequestT &frame, Ticket ticket,
                                 Clock::time_point arrivedAt)
{
    auto body = std::make_shared<RequestBody>();
    body->requestId = std::move(frame.request_id);
    body->service = std::move(frame.service);
    body->traceparent = std::move(frame.traceparent);
    body->body = std::move(frame.body);
    body->isIdempotent = false;
    return {std::move(ticket), std::move(frame.shard_key), std::move(body),
            arrivedAt + std::chrono::microseconds(frame.deadline_us)};
}

FramePtr makeTicketReplyFrame(ExchangeId exchange, TicketOutcome outcome)
{
    wire::TicketReplyT reply;
    reply.exchange = exchange;
    reply.execution = static_cast<std::uint8_t>(outcome.verdict.execution);
    reply.reason = static_cast<std::uint8_t>(outcome.verdict.reason);
    reply.retry_after_ms = static_cast<std::uint32_t>(outcome.verdict.retryAfter.count());
    reply.body = std::move(outcome.result);
    return makeFrame(std::move(reply));
}

FramePtr makeSubmissionFrame(const SendSubmission &action, const SubmissionRequest &request)
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
    return {verdictFromWire(reply.execution, reply.reason, reply.retry_after_ms),
            std::move(reply.body)};
}

TicketOutcome outcomeFrom(const wire::ShardReplyT &reply)
{
    return {verdictFromWire(reply.execution, reply.reason, reply.retry_after_ms), reply.rows};
}

} // namespace mangoshift
