#include "mangoshift/connectionshare.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace mangoshift {

namespace {

/// The number of connections beyond the target's slots, so that a stuck connection does not block a
/// slot.
constexpr std::size_t SpareConnections = 1;
/// The part of a target's limit that kept connections may use on average. The rest is for single
/// requests.
constexpr double KeptShare = 0.75;
/// A hash spreads VMs unevenly: this many standard deviations are left too.
constexpr double SpreadDeviations = 3.0;
/// How many times as likely a target of the same failure domain is kept as another. Where a service
/// has more targets in one domain than in another, that loads some with more connections than
/// others, by less than the rest that `KeptShare` leaves.
constexpr double NearWeight = 3.0;

/// Returns a number from 0 to 1 that depends on the VM and the name only.
double drawFor(const VmId &vm, const std::string &name)
{
    const XXH64_hash_t hash = XXH64(name.data(), name.size(), XXH64(vm.data(), vm.size(), 0));
    return std::ldexp(static_cast<double>(hash), -64);
}

/// Returns how many of the VMs are to keep a connection to a target, on average.
double keptPerTarget(std::size_t limit, std::size_t vms)
{
    const double most = static_cast<double>(limit);
    // The greatest that it is for any share of the VMs.
    const double spread = std::sqrt(static_cast<double>(vms)) / 2;
    return std::clamp(most - SpreadDeviations * spread, 0.0, KeptShare * most);
}

/// Returns the rank of a target by weighted rendezvous hash; the lowest is the first.
double rankOf(const ConnectionSharers &sharers, const RegisteredTarget &target)
{
    const bool isNear = target.failureDomain == sharers.failureDomain;
    return -std::log(std::max(drawFor(sharers.vm, target.id), 1e-18)) / (isNear ? NearWeight : 1.0);
}

} // namespace

std::vector<ConnectionTerms> shareConnections(std::span<const RegisteredTarget *const> targets,
                                              std::size_t limit, const ConnectionSharers &sharers)
{
    const std::size_t vms = std::max<std::size_t>(sharers.vms, 1);
    std::vector<ConnectionTerms> terms;
    terms.reserve(targets.size());
    for (const RegisteredTarget *target : targets)
        terms.push_back({std::clamp<std::size_t>(limit / vms, 1, target->slots + SpareConnections),
                         limit >= vms});
    if (limit >= vms)
        return terms;
    const double keptByEach =
        keptPerTarget(limit, vms) * static_cast<double>(targets.size()) / static_cast<double>(vms);
    // Some VMs keep one more than the others, by a draw that is the same each time.
    const double draw = targets.empty() ? 0.0 : drawFor(sharers.vm, targets.front()->service);
    const auto kept = static_cast<std::size_t>(keptByEach + draw);
    std::vector<std::pair<double, std::size_t>> ranks;
    ranks.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
        ranks.emplace_back(rankOf(sharers, *targets[i]), i);
    std::sort(ranks.begin(), ranks.end());
    for (std::size_t i = 0; i < std::min(kept, ranks.size()); ++i)
        terms[ranks[i].second].keepsIdle = true;
    return terms;
}

} // namespace mangoshift
