#include "mangoshift/replyhold.h"

#include <algorithm>

namespace mangoshift {

Clock::time_point replyDueAt(const Verdict &verdict, bool isLast, Clock::time_point deadline,
                             Clock::time_point now)
{
    if (isLast || !verdict.isOk())
        return now;
    return std::max(now, std::min(now + MaxReplyHold, deadline - ReplyHoldMargin));
}

} // namespace mangoshift
