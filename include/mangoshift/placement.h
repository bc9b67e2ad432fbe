#pragma once

#include <string>
#include <variant>
#include <vector>

#include "mangoshift/document.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// The VMs that may send a shard's requests to its replicas in one failure domain, or to all of its
/// replicas.
struct HomeChoice
{
    /// The failure domain of the replicas; empty for all replicas.
    std::string failureDomain;
    /// In order of preference: the home, then the VMs that take over from it.
    std::vector<VmId> vms;
};

/// Gives each shard one home VM in each failure domain that holds replicas of the shard, by
/// rendezvous hash among the live VMs of that domain. One process then manages all slots of those
/// replicas.
struct RendezvousHomes
{
};

/// Gives each shard one home VM in each region that holds replicas of the shard, by rendezvous hash
/// among the live VMs of that region. The home uses all replicas, whatever their failure domain, so
/// that a slow or lost replica can be compared with others, which take over from it.
struct RegionHomes
{
};

/// Makes every VM the home of every shard. Each VM then sends to targets itself, within its share
/// of their slots.
struct LocalHomes
{
};

/// Selects how homes are chosen.
using PlacementPolicy = std::variant<RendezvousHomes, RegionHomes, LocalHomes>;

/// Returns the homes of `shard`: one choice for each failure domain, or for each region with
/// `RegionHomes`, that has replicas of the shard. The domain of `self` comes first, then the other
/// domains of its region, then the rest. A failure domain with replicas but no live VM is served by
/// the live VMs of all domains. Leaving and starting VMs are not homes. Returns no choice if no
/// live VM can be a home, except with `LocalHomes`, where `self` is always the only home.
std::vector<HomeChoice> homesOf(const Shard &shard, const Document &document,
                                const MemberView &view, const Member &self,
                                const PlacementPolicy &policy);

/// Returns the rendezvous weight of `vm` for `key`. The VM with the greatest weight is the home.
std::uint64_t rendezvousWeight(ShardKey key, const VmId &vm);

} // namespace mangoshift
