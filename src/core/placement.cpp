#include "mangoshift/placement.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

#include <xxhash.h>

namespace mangoshift {

namespace {

/// The most VMs in a choice: the home and those that take over from it, one after the other.
constexpr std::size_t MaxVmsPerChoice = 3;

template <typename Accept>
std::vector<VmId> rankedVms(ShardKey key, const MemberView &view, Accept accept)
{
    std::vector<std::pair<std::uint64_t, const Member *>> ranked;
    for (const Member &member : view.members)
        if (!member.isLeaving && !member.isStarting && accept(member))
            ranked.emplace_back(rendezvousWeight(key, member.vm), &member);
    std::sort(ranked.begin(), ranked.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second->vm < b.second->vm;
    });
    std::vector<VmId> vms;
    for (const auto &[weight, member] : ranked) {
        if (vms.size() == MaxVmsPerChoice)
            break;
        vms.push_back(member->vm);
    }
    return vms;
}

std::string regionOf(const std::string &failureDomain, const MemberView &view)
{
    const auto it = std::find_if(view.members.begin(), view.members.end(), [&](const Member &each) {
        return each.failureDomain == failureDomain;
    });
    return it == view.members.end() ? std::string() : it->region;
}

std::vector<HomeChoice> rendezvousHomes(const Shard &shard, const std::set<std::string> &domains,
                                        const MemberView &view)
{
    std::vector<HomeChoice> choices;
    for (const std::string &domain : domains) {
        std::vector<VmId> vms = rankedVms(
            shard.key, view, [&](const Member &each) { return each.failureDomain == domain; });
        if (vms.empty())
            vms = rankedVms(shard.key, view, [](const Member &) { return true; });
        if (!vms.empty())
            choices.push_back(HomeChoice{domain, std::move(vms)});
    }
    return choices;
}

std::vector<HomeChoice> regionHomes(const Shard &shard, const std::set<std::string> &domains,
                                    const MemberView &view, const Member &self)
{
    std::set<std::string> regions;
    for (const std::string &domain : domains)
        regions.insert(regionOf(domain, view));
    std::vector<HomeChoice> choices;
    for (const std::string &region : regions) {
        std::vector<VmId> vms =
            rankedVms(shard.key, view, [&](const Member &each) { return each.region == region; });
        // The region of a failure domain without a live VM is unknown. If there is no other region,
        // VMs of any region serve the shard.
        if (vms.empty() && regions.size() == 1)
            vms = rankedVms(shard.key, view, [](const Member &) { return true; });
        if (vms.empty())
            continue;
        HomeChoice choice{std::string(), std::move(vms)};
        choices.insert(region == self.region ? choices.begin() : choices.end(), std::move(choice));
    }
    return choices;
}

} // namespace

std::uint64_t rendezvousWeight(ShardKey key, const VmId &vm)
{
    return XXH64(vm.data(), vm.size(), key.value);
}

std::vector<HomeChoice> homesOf(const Shard &shard, const Document &document,
                                const MemberView &view, const Member &self,
                                const PlacementPolicy &policy)
{
    std::set<std::string> domains;
    for (const std::size_t replica : shard.replicas)
        domains.insert(document.targets[replica].failureDomain);

    if (std::holds_alternative<LocalHomes>(policy))
        return {HomeChoice{std::string(), {self.vm}}};
    if (std::holds_alternative<RegionHomes>(policy))
        return regionHomes(shard, domains, view, self);
    std::vector<HomeChoice> choices = rendezvousHomes(shard, domains, view);

    const auto distance = [&](const HomeChoice &choice) {
        if (choice.failureDomain == self.failureDomain)
            return 0;
        return regionOf(choice.failureDomain, view) == self.region ? 1 : 2;
    };
    // Domains at the same distance are ordered by hash, so that the load of a domain without a
    // replica is spread over the others.
    std::sort(choices.begin(), choices.end(), [&](const HomeChoice &a, const HomeChoice &b) {
        if (distance(a) != distance(b))
            return distance(a) < distance(b);
        const VmId salt = self.vm + "/";
        return rendezvousWeight(shard.key, salt + a.failureDomain)
            > rendezvousWeight(shard.key, salt + b.failureDomain);
    });
    return choices;
}

} // namespace mangoshift
