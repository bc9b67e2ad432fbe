#include "mangoshift/targetlimit.h"

#include <algorithm>
#include <utility>

#include "mangoshift/limitpool.h"

namespace mangoshift {

TargetLimit::Change TargetLimit::onResponse(std::optional<double> limit,
                                            std::optional<Clock::time_point> sentAt,
                                            Clock::time_point now)
{
    m_isUnreadable = false;
    const bool isLower = limit && (!m_value || *limit < *m_value);
    const bool isNewer = sentAt && *sentAt >= m_heardAt;
    if (limit == m_value) {
        m_heardAt = now;
        return Change::None;
    }
    if (!isLower && !isNewer)
        return Change::None;
    const Change change = !m_value ? Change::Named : !limit ? Change::Ended : Change::Changed;
    m_value = limit;
    m_heardAt = now;
    // Permits that were granted for a higher limit are more than a lower one allows.
    if (change != Change::Changed || isLower)
        m_permits.clear();
    return change;
}

TargetLimit::Change TargetLimit::onUnreadable(std::optional<Clock::time_point> sentAt,
                                              Clock::time_point now)
{
    if (!m_value)
        return Change::None;
    const Clock::time_point heardAt = m_heardAt;
    if (now - heardAt < unreadableTime(*m_value))
        return std::exchange(m_isUnreadable, true) ? Change::None : Change::Unreadable;
    const Change change = onResponse(std::nullopt, sentAt, now);
    // Another VM may have read the limit since.
    m_heardAt = heardAt;
    return change;
}

Clock::duration TargetLimit::unreadableTime(double limit)
{
    const std::chrono::duration<double> time(MinUnreadableRequests
                                             / std::max(limit, LimitPool::MinLimit));
    return std::max<Clock::duration>(MinUnreadableTime, std::chrono::ceil<Clock::duration>(time));
}

void TargetLimit::addPermit(Clock::time_point validFrom, Clock::time_point now)
{
    // Permits that were never used are forgotten here.
    while (!m_permits.empty() && m_permits.front() <= now - PermitLifetime)
        m_permits.pop_front();
    m_permits.insert(std::upper_bound(m_permits.begin(), m_permits.end(), validFrom), validFrom);
}

std::size_t TargetLimit::permits(Clock::time_point now) const
{
    const auto firstValid =
        std::upper_bound(m_permits.begin(), m_permits.end(), now - PermitLifetime);
    return static_cast<std::size_t>(std::upper_bound(firstValid, m_permits.end(), now)
                                    - firstValid);
}

std::size_t TargetLimit::heldPermits(Clock::time_point now) const
{
    return static_cast<std::size_t>(
        m_permits.end()
        - std::upper_bound(m_permits.begin(), m_permits.end(), now - PermitLifetime));
}

std::optional<Clock::time_point> TargetLimit::nextPermitAt(Clock::time_point now) const
{
    const auto next = std::upper_bound(m_permits.begin(), m_permits.end(), now - PermitLifetime);
    if (next == m_permits.end())
        return std::nullopt;
    return std::max(*next, now);
}

Clock::time_point TargetLimit::permitEnd(Clock::time_point now) const
{
    if (!isLimited())
        return Clock::time_point::max();
    const auto oldest = std::upper_bound(m_permits.begin(), m_permits.end(), now - PermitLifetime);
    return oldest == m_permits.end() || *oldest > now ? now : *oldest + PermitLifetime;
}

bool TargetLimit::onSent(Clock::time_point now)
{
    if (isLimited()) {
        while (!m_permits.empty() && m_permits.front() <= now - PermitLifetime)
            m_permits.pop_front();
        if (m_permits.empty() || m_permits.front() > now)
            return false;
        m_permits.pop_front();
    }
    ++m_sent;
    return true;
}

} // namespace mangoshift
