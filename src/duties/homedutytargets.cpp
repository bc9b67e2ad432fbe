#include "duties/homeduty.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/address.h"
#include "base/jsontext.h"

namespace mangoshift {

namespace {

constexpr std::chrono::milliseconds HealthInterval{2000};
constexpr std::chrono::milliseconds HealthTimeout{1000};
constexpr int HealthyStatus = 200;

} // namespace

void HomeDuty::updateCallMetrics()
{
    const SchedulerCounters now = m_scheduler.counters();
    const auto add = [this](const char *kind, std::uint64_t count) {
        if (count != 0)
            m_options.metrics->targetCalls.Add({{"kind", kind}})
                .Increment(static_cast<double>(count));
    };
    add("first", now.firstCopies - m_reportedCounters.firstCopies);
    add("hedge", now.hedges - m_reportedCounters.hedges);
    add("retry", now.retries - m_reportedCounters.retries);
    add("probe", now.probes - m_reportedCounters.probes);
    m_reportedCounters = now;
}

std::string HomeDuty::poolKey(const Target &target)
{
    return target.name + '@' + target.address;
}

TargetPool &HomeDuty::poolOf(const Target &target)
{
    std::unique_ptr<TargetPool> &pool = m_pools[poolKey(target)];
    if (!pool)
        pool = std::make_unique<TargetPool>(m_duty.io(), *parseAddress(target.address),
                                            maxConnections(target));
    return *pool;
}

std::size_t HomeDuty::maxConnections(const Target &target) const
{
    // One connection per slot, and one for cancellations.
    const std::size_t slots = std::max<std::size_t>(target.slots / m_sharingVms, 1);
    const std::size_t share = std::max<std::size_t>(target.connections / m_sharingVms, 1);
    return std::min(slots + 1, share);
}

void HomeDuty::closeRemovedPools()
{
    for (auto it = m_removedPools.begin(); it != m_removedPools.end();) {
        const auto pool = m_pools.find(*it);
        const bool isInUse = pool != m_pools.end() && !pool->second->isIdle();
        if (!isInUse && pool != m_pools.end())
            m_pools.erase(pool);
        it = isInUse ? std::next(it) : m_removedPools.erase(it);
    }
}

/// Probes the health of draining targets, which get no requests until they serve again.
void HomeDuty::checkDrainingTargets()
{
    if (m_document)
        for (const TargetStatus &status : m_scheduler.targetStatus())
            if (status.condition == TargetCondition::Draining)
                for (const Target &target : m_document->document().targets)
                    if (target.name == status.name && target.address == status.address)
                        checkHealth(target);
    m_healthTimer.expires_after(HealthInterval);
    m_healthTimer.async_wait([this](asio::error_code error) {
        if (!error)
            checkDrainingTargets();
    });
}

void HomeDuty::checkHealth(const Target &target)
{
    PooledRequest request;
    request.callId = "health-" + std::to_string(++m_lastHealthCheck);
    request.message.method = "GET";
    request.message.target = "/healthz";
    request.deadline = Clock::now() + HealthTimeout;
    request.isCancellable = false;
    poolOf(target).send(std::move(request), [this, name = target.name](const HttpResult &result) {
        if (result.end == HttpResult::End::Responded && result.response.status == HealthyStatus
            && result.response.headers.value("mangoshift-draining") != "true")
            perform(m_scheduler.onServing(name, Clock::now()));
    });
}

void HomeDuty::schedulePoolClosing()
{
    // Posted, because the pool to close may be the one whose callback is running.
    if (std::exchange(m_isClosingScheduled, true))
        return;
    asio::post(m_duty.io(), [this] {
        m_isClosingScheduled = false;
        closeRemovedPools();
    });
}

std::string HomeDuty::stateJson() const
{
    nlohmann::json targets = nlohmann::json::array();
    for (const TargetStatus &each : m_scheduler.targetStatus()) {
        const auto pool = m_pools.find(each.name + '@' + each.address);
        const bool hasPool = pool != m_pools.end();
        targets.push_back(
            {{"target", each.name},
             {"failure_domain", each.failureDomain},
             {"slots", each.slots},
             {"slot_limit", each.slotLimit},
             {"slots_in_use", each.slotsInUse},
             {"calls_sent", each.callsSent},
             {"condition", toString(each.condition)},
             {"typical_latency_us", each.typicalLatency.count()},
             {"connections", hasPool ? pool->second->openConnections() : 0},
             {"silent_connections", hasPool ? pool->second->silentConnections() : 0}});
    }
    const SchedulerCounters &sent = m_scheduler.counters();
    return jsonText(nlohmann::json{{"targets", std::move(targets)},
                                   {"waiting", m_scheduler.waitingRequests()},
                                   {"in_flight", m_scheduler.callsInFlight()},
                                   {"first_copies", sent.firstCopies},
                                   {"hedges", sent.hedges},
                                   {"retries", sent.retries},
                                   {"probes", sent.probes},
                                   {"refused", sent.refused},
                                   {"ring", m_duty.ringSize()},
                                   {"ring_rejected", m_duty.rejected()}});
}

} // namespace mangoshift
