#pragma once

#include <chrono>
#include <optional>

#include "mangoshift/clock.h"
#include "mangoshift/limitpool.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// Decides which pool owner a VM asks for permits.
///
/// That is the owner of its own failure domain, unless this VM has known it as the owner for less
/// than `SettleTime`: a new owner grants nothing at first, then only a part, so the owner of
/// another domain is asked meanwhile. A permit is charged to the pool that grants it, whichever
/// domain it is used in, so the parts of all domains still add up to no more than the limit. Reads
/// no clock. Not thread safe.
class PermitRoute
{
public:
    /// How long a new owner does not grant its whole part.
    static constexpr std::chrono::milliseconds SettleTime =
        LimitPool::HandoverTime + LimitPool::NewOwnerTime;

    /// Sets the owner of this domain's pool, and that of another domain's if one is known.
    void setOwners(const VmId &own, std::optional<VmId> other, Clock::time_point now);
    /// Returns the owner of this domain's pool.
    const VmId &own() const { return m_own; }
    /// Returns the owner to ask for permits.
    const VmId &ownerToAsk(Clock::time_point now) const;

private:
    VmId m_own;
    std::optional<VmId> m_other;
    Clock::time_point m_settledAt{};
};

} // namespace mangoshift
