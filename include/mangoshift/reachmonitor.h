#pragma once

#include <chrono>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Decides whether this VM is cut off from the other failure domains, in which case other VMs serve
/// callers better.
///
/// Two conditions must hold together, because each alone has other causes: this VM reaches too few
/// targets for the routes in force, and no VM of another failure domain replies to its pings. If
/// targets fail for every VM, the other VMs still reply, and removing this VM from the load
/// balancer would not help. A VM that has never been in contact with another domain does not count
/// as cut off, because no other VM could take its callers. Reads no clock. Not thread safe.
class ReachMonitor
{
public:
    /// Records contact with a VM of another failure domain.
    void onOtherDomainContact(Clock::time_point now);
    /// Records whether this VM reaches enough targets to serve any of the routes in force. Returns
    /// whether VMs of other domains are to be pinged now. To be called several times a second.
    bool onTargetReach(bool hasEnoughTargets, Clock::time_point now);

    /// Returns whether this VM counts as cut off.
    bool isCutOff() const { return m_isCutOff; }

private:
    void update(Clock::time_point now);

    bool m_hasEnoughTargets = true;
    bool m_isCutOff = false;
    Clock::time_point m_insufficientSince{};
    Clock::time_point m_lastContact{};
    Clock::time_point m_nextPingAt{};
};

} // namespace mangoshift
