#pragma once

#include <memory>
#include <string>

#include "mangoshift/clock.h"
#include "mangoshift/submissionmachine.h"
#include "mangoshift/ticketledger.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// A submission as it stands with the issuer of its ticket.
struct SubmissionRequest
{
    Ticket ticket;
    /// Picks the shard; may be empty where the service has one shard.
    std::string shardKey;
    std::shared_ptr<const RequestBody> body;
    Clock::time_point deadline;
};

/// Packs a submission that goes to the issuer of its ticket.
FramePtr makeTicketRequestFrame(ExchangeId exchange, const SubmissionRequest &request);
/// Reads what another VM passed on; its time left counts from `arrivedAt`.
SubmissionRequest submissionFrom(wire::TicketRequestT &frame, Ticket ticket,
                                 Clock::time_point arrivedAt);
FramePtr makeTicketReplyFrame(ExchangeId exchange, TicketOutcome outcome);
/// Packs a submission that goes to the home of its shard.
FramePtr makeSubmissionFrame(const SendSubmission &action, const SubmissionRequest &request);
/// Reads an outcome; a verdict that this version does not know counts as `MayHaveRun`.
TicketOutcome outcomeFrom(wire::TicketReplyT reply);
TicketOutcome outcomeFrom(const wire::ShardReplyT &reply);

} // namespace mangoshift
