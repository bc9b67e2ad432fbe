#pragma once

#include <chrono>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Decides whether this VM is cut off from the other failure domains, so that callers are better
/// served elsewhere.
///
/// Two things have to come together, as either alone has other causes: the targets that answer this
/// VM do not suffice for the routes in force, and no VM of another domain answers it either. Where
/// targets fail for everybody, the other VMs still answer, and leaving the balancer would help
/// nobody; one that has never heard another domain has none to hand its callers to. Reads no clock.
/// Not thread safe.
class ReachMonitor
{
public:
    /// Takes in that a VM of another failure domain was heard.
    void onOtherDomainContact(Clock::time_point now);
    /// Takes in whether the targets that answer suffice for some of the routes in force. Returns
    /// true where VMs of other domains are to be pinged now. To be called several times a second.
    bool onTargetReach(bool suffices, Clock::time_point now);

    bool isCutOff() const { return m_isCutOff; }

private:
    void decide(Clock::time_point now);

    bool m_suffices = true;
    bool m_isCutOff = false;
    Clock::time_point m_insufficientSince{};
    Clock::time_point m_heardAt{};
    Clock::time_point m_nextPing{};
};

} // namespace mangoshift
