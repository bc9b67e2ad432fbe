// The part of the target directory that records how calls to targets end.

#include <utility>

#include <asio/post.hpp>

#include "base/log.h"
#include "entry/targetdirectory.h"
#include "http/httpstatus.h"

namespace mangoshift {

bool isSpoilt(const HttpResponse &response, const EntryHeaderNames &names)
{
    if (response.headers.contains("content-encoding"))
        return true;
    const bool isSuccess = response.status >= 200 && response.status < 300;
    return isSuccess && response.headers.value(names.receipt).empty();
}

void TargetDirectory::onCallEnded(const TargetHandlePtr &target, Clock::duration expected,
                                  const TargetCallResult &reply)
{
    const bool wasFailing = target->load.isFailing();
    recordOutcome(*target, expected, reply, Clock::now());
    onFailingMayHaveChanged(*target, wasFailing);
}

void TargetDirectory::onOverdue(const TargetHandlePtr &target, Clock::duration usualTime,
                                Clock::time_point sentAt, Clock::time_point now)
{
    const bool wasFailing = target->load.isFailing();
    target->load.onOverdue(usualTime, now);
    if (m_policies.sharesCapacity)
        m_recorder.onOverdue(target->limitKey, now);
    onFailingMayHaveChanged(*target, wasFailing);
    const std::string &domain = target->info.failureDomain;
    if (m_policies.avoidsSilentDomains
        && m_domainReach.onOverdue(domain, target->info.id, sentAt, now)) {
        m_metrics.domainSilent.Add({{"failure_domain", domain}}).Set(1);
        logEvent(LogLevel::Warning, "domain_silent", {{"failure_domain", domain}});
    }
}

void TargetDirectory::onDomainResponse(const TargetHandle &target, Clock::time_point now)
{
    const std::string &domain = target.info.failureDomain;
    if (!m_domainReach.onResponse(domain, now))
        return;
    m_metrics.domainSilent.Add({{"failure_domain", domain}}).Set(0);
    logEvent(LogLevel::Info, "domain_responds", {{"failure_domain", domain}});
}

void TargetDirectory::recordOutcome(TargetHandle &target, Clock::duration expected,
                                    const TargetCallResult &reply, Clock::time_point now)
{
    recordForPool(target, expected, reply, now);
    TargetLoad &load = target.load;
    switch (reply.end) {
    case TargetCallResult::End::Responded:
        if (reply.response.status == httpstatus::ServiceUnavailable
            || reply.response.status == httpstatus::TooManyRequests)
            load.onRefused(now);
        else if (reply.response.status == httpstatus::MisdirectedRequest)
            onMisdirected(target, now);
        else if (isSpoilt(reply.response, m_adapter.headers))
            load.onLost(now);
        else
            load.onAnswered(now - reply.sentAt, expected, now);
        break;
    case TargetCallResult::End::Unsent:
        load.onUnsent();
        break;
    case TargetCallResult::End::NotConnected:
    case TargetCallResult::End::Lost:
    case TargetCallResult::End::Malformed:
    case TargetCallResult::End::Abandoned:
        load.onLost(now);
        break;
    }
}

void TargetDirectory::onMisdirected(TargetHandle &target, Clock::time_point now)
{
    target.load.onLost(now);
    if (std::exchange(target.isMisdirected, true))
        return;
    logEvent(LogLevel::Warning, "target_misdirected",
             {{"target", target.info.id},
              {"service", target.info.service},
              {"address", target.info.address}});
}

void TargetDirectory::onFailingMayHaveChanged(const TargetHandle &target, bool wasFailing)
{
    const bool isFailing = target.load.isFailing();
    if (isFailing == wasFailing)
        return;
    logEvent(LogLevel::Info, isFailing ? "target_failing" : "target_answers",
             {{"target", target.info.id}, {"service", target.info.service}});
    // Posted, because the caller may be looking at the waiting calls.
    if (isFailing)
        asio::post(m_io,
                   [this, service = target.info.service] { reviewWaiting(service, Clock::now()); });
}

} // namespace mangoshift
