#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace mangoshift {

/// The name of a VM, as the platform's list and the VM's settings give it.
using VmId = std::string;

/// A VM and its state, as it announces them to its peers.
struct Member
{
    VmId vm;
    std::string failureDomain;
    std::string region;
    /// IP address and port on which the VM receives frames (TCP) and heartbeats (UDP).
    std::string peerAddress;
    /// Random for each start of the process; distinguishes it from earlier runs on the same VM.
    std::uint64_t incarnation = 0;
    /// A leaving VM finishes its pending requests and gets no new ones.
    bool isLeaving = false;
    /// A starting VM has no configuration in force yet, so it is not the home of any shard.
    bool isStarting = false;
};

/// The VMs that count as alive at one moment, including this VM. Immutable.
struct MemberView
{
    /// Grows with each change of this VM's view. Not comparable between VMs.
    std::uint64_t generation = 0;
    std::vector<Member> members;
};

using MemberViewPtr = std::shared_ptr<const MemberView>;

} // namespace mangoshift
