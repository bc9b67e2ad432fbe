#pragma once

#include <memory>
#include <string>

#include "mangoshift/clock.h"
#include "mangoshift/submissionmachine.h"
#include "mangoshift/ticketledger.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// A submission with its ticket.
struct SubmissionRequest
{
    Ticket ticket;
    /// Selects the shard; may be empty if the service has one shard.
    std::string shardKey;
    std::shared_ptr<const RequestBody> body;
    Clock::time_point deadline;
};

/// Returns the frame that forwards a submission to the VM that issued its ticket.
FramePtr makeTicketRequestFrame(ExchangeId exchange, const SubmissionRequest &request);
/// Returns the submission that another VM forwarded; its remaining time counts from `arrivedAt`.
SubmissionRequest submissionFrom(wire::TicketRequestT &frame, Ticket ticket,
                                 Clock::time_point arrivedAt);
/// Returns the frame that carries the outcome of a forwarded submission.
FramePtr makeTicketReplyFrame(ExchangeId exchange, TicketOutcome outcome);
/// Returns the frame that sends a submission to the home of its shard.
FramePtr makeSubmissionFrame(const SendSubmission &action, const SubmissionRequest &request);
/// Returns the outcome that a reply carries; an unknown verdict is read as `MayHaveRun`.
TicketOutcome outcomeFrom(wire::TicketReplyT reply);
TicketOutcome outcomeFrom(const wire::ShardReplyT &reply);

} // namespace mangoshift
