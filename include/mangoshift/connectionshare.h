#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "mangoshift/members.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// This VM's part of the connections that one target accepts from all VMs.
struct ConnectionTerms
{
    /// How many connections may be open at once.
    std::size_t most = 1;
    /// Whether they are kept while they are idle. Otherwise each is closed after its response.
    bool keepsIdle = true;

    bool operator==(const ConnectionTerms &) const = default;
};

/// Who shares the connections of a service's targets.
struct ConnectionSharers
{
    /// The name of this VM and its failure domain.
    VmId vm;
    std::string failureDomain;
    /// The number of VMs that may hold connections.
    std::size_t vms = 1;
};

/// Divides the connections that the targets of one service accept, `limit` each, among the VMs,
/// without any message between them. Returns the terms of each target, in the order of `targets`.
///
/// While there is at least one connection to each target for each VM, all are kept. With more VMs
/// than that, a target would reset the connections that are too many, with the requests on them.
/// Then a VM keeps connections only to some of the targets of each service. It chooses them by
/// rendezvous hash of its own name, with a greater weight for its own failure domain, so that each
/// target is kept by about as many VMs as the others and few change when a target comes or goes. To
/// the other targets it connects for a single request, for which a part of the limit is left.
///
/// It holds for a load where a request seldom needs more than the kept targets: hedges, retries,
/// and the time for which a kept target fails.
std::vector<ConnectionTerms> shareConnections(std::span<const RegisteredTarget *const> targets,
                                              std::size_t limit, const ConnectionSharers &sharers);

} // namespace mangoshift
