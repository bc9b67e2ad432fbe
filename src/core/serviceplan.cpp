#include "mangoshift/serviceplan.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// Returns the index of `value` in `list`. Appends the value if the list does not contain it.
std::uint32_t indexIn(std::vector<std::string> &list, const std::string &value)
{
    const auto it = std::find(list.begin(), list.end(), value);
    if (it == list.end())
        list.push_back(value);
    else
        return static_cast<std::uint32_t>(it - list.begin());
    return static_cast<std::uint32_t>(list.size() - 1);
}

/// Returns the VMs of all choices in order of preference, and adds them to the lists of `plan`.
std::vector<PlannedHome> flattenChoices(const std::vector<HomeChoice> &choices, ServicePlan &plan)
{
    std::size_t depth = 0;
    for (const HomeChoice &choice : choices)
        depth = std::max(depth, choice.vms.size());
    std::vector<PlannedHome> homes;
    for (std::size_t rank = 0; rank < depth; ++rank)
        for (const HomeChoice &choice : choices)
            if (rank < choice.vms.size())
                homes.push_back({indexIn(plan.vms, choice.vms[rank]),
                                 indexIn(plan.failureDomains, choice.failureDomain)});
    return homes;
}

} // namespace

std::optional<std::size_t> ServicePlan::indexOf(ShardKey key) const
{
    const auto it = indexByKey.find(key.value);
    return it == indexByKey.end() ? std::nullopt : std::optional(it->second);
}

ServicePlanPtr makeServicePlan(const Service &service, const Document &document,
                               const MemberView &view, const Member &self,
                               const PlacementPolicy &policy)
{
    auto plan = std::make_shared<ServicePlan>();
    plan->service = service.name;
    plan->shards.reserve(service.shards.size());
    for (const Shard &shard : service.shards) {
        plan->indexByKey.emplace(shard.key.value, plan->shards.size());
        std::vector<PlannedHome> homes =
            flattenChoices(homesOf(shard, document, view, self, policy), *plan);
        plan->shards.push_back({shard.key, shard.name, std::move(homes)});
    }
    return plan;
}

ServicePlanPtr PlanCache::planOf(const DocumentPtr &document, const Service &service,
                                 const MemberViewPtr &members)
{
    Entry &entry = m_entries[service.name];
    if (entry.document != document || entry.members != members) {
        entry = {document, members,
                 makeServicePlan(service, document->document(), *members, m_self, m_policy)};
        ++m_plansMade;
    }
    return entry.plan;
}

} // namespace mangoshift
