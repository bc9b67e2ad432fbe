#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoshift/document.h"
#include "mangoshift/members.h"
#include "mangoshift/placement.h"

namespace mangoshift {

/// A home that can serve a shard: indices into the lists of its `ServicePlan`.
struct PlannedHome
{
    std::uint32_t vm = 0;
    std::uint32_t failureDomain = 0;
    bool operator==(const PlannedHome &) const = default;
};

/// One shard of a service and the homes that can serve it.
struct PlannedShard
{
    ShardKey key;
    std::string name;
    /// In order of preference: the home of each failure domain, then the next VM of each domain.
    std::vector<PlannedHome> homes;
};

/// The fan-out of one service's queries, computed once for one document and one set of live VMs.
/// Immutable, so all queries that were planned on it share it.
struct ServicePlan
{
    std::string service;
    std::vector<PlannedShard> shards;
    std::vector<VmId> vms;
    std::vector<std::string> failureDomains;

    /// Returns the index of a shard in `shards`, or no value if the plan has no such shard.
    std::optional<std::size_t> indexOf(ShardKey key) const;

    std::unordered_map<std::uint64_t, std::size_t> indexByKey;
};

using ServicePlanPtr = std::shared_ptr<const ServicePlan>;

/// Computes the plan of a service.
ServicePlanPtr makeServicePlan(const Service &service, const Document &document,
                               const MemberView &view, const Member &self,
                               const PlacementPolicy &policy);

/// Caches one plan for each service and recomputes it only if the document or the set of live VMs
/// has changed, because ranking all VMs for each shard costs far more than a query. Not thread
/// safe.
class PlanCache
{
public:
    PlanCache(Member self, PlacementPolicy policy)
        : m_self(std::move(self))
        , m_policy(policy)
    {
    }

    /// Returns the plan of `service`, which must belong to `document`.
    ServicePlanPtr planOf(const DocumentPtr &document, const Service &service,
                          const MemberViewPtr &members);
    /// Returns how many plans have been computed.
    std::uint64_t plansMade() const { return m_plansMade; }

private:
    struct Entry
    {
        DocumentPtr document;
        MemberViewPtr members;
        ServicePlanPtr plan;
    };

    Member m_self;
    PlacementPolicy m_policy;
    std::unordered_map<std::string, Entry> m_entries;
    std::uint64_t m_plansMade = 0;
};

} // namespace mangoshift
