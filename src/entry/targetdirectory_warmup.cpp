// The part of the target directory that limits the requests to cold targets.

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include <asio/post.hpp>

#include "base/log.h"
#include "entry/targetdirectory.h"

namespace mangoshift {

void TargetDirectory::setWarmup(const WarmupTerms &terms, Clock::duration targetReportInterval)
{
    m_warmupTerms = terms;
    m_targetReportInterval = targetReportInterval;
    updateWarmupLimits();
}

Clock::duration TargetDirectory::boundedWarmup(const TargetHandle &target,
                                               Clock::duration time) const
{
    if (!m_routing)
        return time;
    const auto longest = m_routing->serviceOf(target.info.service).maxWarmup;
    return longest ? std::min<Clock::duration>(time, *longest) : time;
}

void TargetDirectory::changeWarmup(TargetHandle &target,
                                   const std::function<void(TargetLimit &)> &change)
{
    TargetLimit &limit = target.standing->limit();
    const bool wasCold = limit.isCold();
    const std::optional<double> before = limit.value();
    change(limit);
    const std::optional<double> after = limit.value();
    // No permit for this limit was used for the calls that wait for a connection.
    if (after && (!before || *after < *before))
        target.channels.dropWaiting();
    if (limit.isCold() && !wasCold)
        logEvent(LogLevel::Info, "target_cold",
                 {{"target", target.info.id},
                  {"service", target.info.service},
                  {"limit_per_s", std::to_string(*after)}});
    else if (wasCold && !limit.isCold())
        onWarm(target);
}

void TargetDirectory::onWarm(TargetHandle &target)
{
    logEvent(LogLevel::Info, "target_warm",
             {{"target", target.info.id}, {"service", target.info.service}});
    // As after a limit that has ended, the load comes back one request at a time at first.
    target.load.resetLimit();
    // Posted, because calls of the target may still be ending.
    asio::post(m_io,
               [this, service = target.info.service] { reviewWaiting(service, Clock::now()); });
}

void TargetDirectory::onWarmupEntry(TargetHandle &target, Clock::time_point now)
{
    const double rate = m_routing ? m_routing->serviceOf(target.info.service).warmupRate : 0.0;
    const Clock::duration left = boundedWarmup(target, target.info.warmupLeft);
    changeWarmup(target, [&](TargetLimit &limit) {
        limit.endWarmup(now);
        limit.setWarmupLimit(m_warmupTerms.limit(rate));
        limit.onEntryWarmup(left, now - entryAge(), now);
        limit.endWarmup(now);
    });
}

void TargetDirectory::onWarmupNotice(TargetHandle &target, const TargetNotice &notice,
                                     std::optional<Clock::time_point> sentAt, Clock::time_point now)
{
    if (!notice.warmupLeft)
        return;
    const Clock::duration left = boundedWarmup(target, *notice.warmupLeft);
    changeWarmup(target, [&](TargetLimit &limit) {
        limit.onResponseWarmup(left, sentAt, now);
        limit.endWarmup(now);
    });
}

void TargetDirectory::presumeCold(TargetHandle &target, Clock::time_point now)
{
    const Clock::time_point until = now + boundedWarmup(target, entryAge());
    changeWarmup(target, [&](TargetLimit &limit) {
        limit.presumeCold(until, now);
        limit.endWarmup(now);
    });
}

void TargetDirectory::updateWarmupLimits()
{
    const Clock::time_point now = Clock::now();
    for (const auto &[id, handle] : m_byId) {
        const double rate = m_routing ? m_routing->serviceOf(handle->info.service).warmupRate : 0.0;
        const TargetHandle &target = *handle;
        changeWarmup(*handle, [&](TargetLimit &limit) {
            limit.endWarmup(now);
            limit.setWarmupLimit(m_warmupTerms.limit(rate));
            // The target may have been listed before the configuration was known.
            const Clock::duration left = limit.coldUntil() - now;
            const Clock::duration longest = boundedWarmup(target, left);
            if (longest < left)
                limit.onResponseWarmup(longest, now, now);
            limit.endWarmup(now);
        });
    }
}

void TargetDirectory::endWarmups(Clock::time_point now)
{
    std::size_t cold = 0;
    for (const auto &[id, handle] : m_byId) {
        if (handle->standing->limit().endWarmup(now))
            onWarm(*handle);
        cold += handle->standing->limit().isCold() ? 1 : 0;
    }
    m_metrics.coldTargets.Set(static_cast<double>(cold));
}

} // namespace mangoshift
