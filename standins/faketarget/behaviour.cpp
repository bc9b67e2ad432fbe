#include "faketarget/behaviour.h"

#include <nlohmann/json.hpp>

namespace mangoshift {

using std::chrono::microseconds;

void applyChange(Behaviour &behaviour, const nlohmann::json &change)
{
    behaviour.serviceTime =
        microseconds(change.value("service_time_us", behaviour.serviceTime.count()));
    behaviour.connectCost =
        microseconds(change.value("connect_cost_us", behaviour.connectCost.count()));
    behaviour.stragglerShare = change.value("straggler_share", behaviour.stragglerShare);
    behaviour.stragglerTime =
        microseconds(change.value("straggler_us", behaviour.stragglerTime.count()));
    behaviour.slowFactor = change.value("slow_factor", behaviour.slowFactor);
    behaviour.oldestSnapshot = change.value("oldest_snapshot", behaviour.oldestSnapshot);
    behaviour.newestSnapshot = change.value("newest_snapshot", behaviour.newestSnapshot);
    behaviour.queueLimit = change.value("queue_limit", behaviour.queueLimit);
    behaviour.shedThreshold = change.value("shed_over", behaviour.shedThreshold);
    behaviour.isDraining = change.value("draining", behaviour.isDraining);
    behaviour.crashBeforeResponse =
        change.value("crash_before_answer", behaviour.crashBeforeResponse);
    behaviour.crashBeforeRun = change.value("crash_before_run", behaviour.crashBeforeRun);
    behaviour.isSilent = change.value("silent", behaviour.isSilent);
}

} // namespace mangoshift
