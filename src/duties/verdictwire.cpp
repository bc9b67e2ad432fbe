#include "duties/verdictwire.h"

#include <chrono>

namespace mangoshift {

Verdict verdictFromWire(std::uint8_t execution, std::uint8_t reason, std::uint32_t retryAfterMs)
{
    if (execution > static_cast<std::uint8_t>(Execution::Ran)
        || reason > static_cast<std::uint8_t>(Reason::BudgetSpent))
        return {Execution::MayHaveRun, Reason::BadReply};
    return {static_cast<Execution>(execution), static_cast<Reason>(reason),
            std::chrono::milliseconds(retryAfterMs)};
}

} // namespace mangoshift
