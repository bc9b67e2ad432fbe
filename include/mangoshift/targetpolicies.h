#pragma once

namespace mangoshift {

/// Which sources of knowledge about targets a VM uses besides its own latest requests.
struct TargetPolicies
{
    /// Whether the VM learns how much load each target handles well.
    bool learnsCapacity = false;
    /// Whether the VMs of a failure domain tell each other what they have seen of targets.
    bool sharesCapacity = false;
    /// Whether a failure domain is avoided as a whole when several of its targets have stopped
    /// responding together; see `DomainReach`.
    bool avoidsSilentDomains = false;

    bool operator==(const TargetPolicies &) const = default;
};

} // namespace mangoshift
