// The part of the target directory that sends nothing to targets of evacuated failure domains.

#include <chrono>
#include <random>
#include <set>
#include <string>
#include <utility>

#include <asio/post.hpp>

#include "entry/targetdirectory.h"

namespace mangoshift {

namespace {

/// VMs return to the targets of a domain at random times within this window: the targets may be
/// cold, and with few slots each they cannot take a request of every VM at once.
constexpr std::chrono::milliseconds ReturnWindow{2000};

} // namespace

void TargetDirectory::setEvacuatedDomains(std::set<std::string> failureDomains,
                                          Clock::time_point now)
{
    std::set<std::string> known = std::exchange(m_evacuatedDomains, std::move(failureDomains));
    known.insert(m_evacuatedDomains.begin(), m_evacuatedDomains.end());
    for (const std::string &domain : known)
        m_metrics.domainEvacuated.Add({{"failure_domain", domain}})
            .Set(m_evacuatedDomains.contains(domain) ? 1 : 0);
    std::set<std::string> services;
    for (const auto &[id, handle] : m_byId)
        if (applyEvacuation(*handle, now))
            services.insert(handle->info.service);
    // Posted, because calls of the targets may still be ending.
    for (const std::string &service : services)
        asio::post(m_io, [this, service] { reviewWaiting(service, Clock::now()); });
}

bool TargetDirectory::applyEvacuation(TargetHandle &target, Clock::time_point now)
{
    const bool isEvacuated = m_evacuatedDomains.contains(target.info.failureDomain);
    if (std::exchange(target.isEvacuated, isEvacuated) == isEvacuated)
        return false;
    if (isEvacuated) {
        target.channels.dropWaiting();
        return true;
    }
    std::uniform_real_distribution<double> draw(0.0, 1.0);
    target.returnsAt =
        now + std::chrono::duration_cast<Clock::duration>(ReturnWindow * draw(m_random));
    target.load.resetLimit();
    presumeCold(target, now);
    return true;
}

} // namespace mangoshift
