#include "mangoshift/permitroute.h"

#include <utility>

namespace mangoshift {

void PermitRoute::setOwners(const VmId &own, std::optional<VmId> other, Clock::time_point now)
{
    if (own != m_own)
        m_settledAt = now + SettleTime;
    m_own = own;
    m_other = std::move(other);
}

const VmId &PermitRoute::ownerToAsk(Clock::time_point now) const
{
    return m_other && now < m_settledAt ? *m_other : m_own;
}

} // namespace mangoshift
