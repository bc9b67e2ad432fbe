#pragma once

#include "mangoshift/clock.h"
#include "mangoshift/verdict.h"

namespace mangoshift {

/// The maximum time for which a home holds back a reply to send it with others of its batch.
constexpr std::chrono::milliseconds MaxReplyHold{1};
/// Replies are not held back closer than this to the deadline of their batch.
constexpr std::chrono::milliseconds ReplyHoldMargin{10};

/// Returns when a reply must be sent; until then it may be held back to share a frame with other
/// replies of its batch.
///
/// The requester needs all replies of a batch, so delaying the early ones costs it nothing. The
/// last reply (`isLast`) is due at once, and so is a failure, because the requester may retry.
Clock::time_point replyDueAt(const Verdict &verdict, bool isLast, Clock::time_point deadline,
                             Clock::time_point now);

} // namespace mangoshift
