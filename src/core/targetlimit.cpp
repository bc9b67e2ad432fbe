#include "mangoshift/targetlimit.h"

#include <algorithm>
#include <utility>

#include "mangoshift/limitpool.h"

namespace mangoshift {

std::optional<double> TargetLimit::value() const
{
    if (!isCold())
        return m_named;
    return std::min(*m_warmupLimit, m_named.value_or(*m_warmupLimit));
}

void TargetLimit::setWarmupLimit(std::optional<double> limit)
{
    const std::optional<double> before = value();
    m_warmupLimit = limit;
    dropExcessPermits(before);
}

void TargetLimit::onEntryWarmup(Clock::duration left, Clock::time_point writtenAfter,
                                Clock::time_point now)
{
    const bool isKnown = now < m_coldUntil;
    if (!isKnown && left <= Clock::duration::zero())
        return;
    setColdUntil(now + left, writtenAfter >= m_coldHeardAt, isKnown ? m_coldHeardAt : now);
}

void TargetLimit::onResponseWarmup(Clock::duration left, std::optional<Clock::time_point> sentAt,
                                   Clock::time_point now)
{
    if (now >= m_coldUntil && left <= Clock::duration::zero())
        return;
    setColdUntil(now + left, sentAt && *sentAt >= m_coldHeardAt, now);
}

void TargetLimit::presumeCold(Clock::time_point until, Clock::time_point now)
{
    m_coldHeardAt = now;
    setColdUntil(until, false, now);
}

void TargetLimit::setColdUntil(Clock::time_point until, bool mayShorten, Clock::time_point heardAt)
{
    if (until < m_coldUntil && !mayShorten)
        return;
    const std::optional<double> before = value();
    m_coldUntil = until;
    m_coldHeardAt = heardAt;
    dropExcessPermits(before);
}

bool TargetLimit::endWarmup(Clock::time_point now)
{
    if (now < m_coldUntil)
        return false;
    const std::optional<double> before = value();
    const bool wasCold = isCold();
    m_coldUntil = Clock::time_point();
    dropExcessPermits(before);
    return wasCold;
}

void TargetLimit::dropExcessPermits(std::optional<double> limitBefore)
{
    const std::optional<double> limit = value();
    if (limit.has_value() != limitBefore.has_value() || (limit && *limit < *limitBefore))
        m_permits.clear();
}

TargetLimit::Change TargetLimit::onResponse(std::optional<double> limit,
                                            std::optional<Clock::time_point> sentAt,
                                            Clock::time_point now)
{
    m_isUnreadable = false;
    const bool isLower = limit && (!m_named || *limit < *m_named);
    const bool isNewer = sentAt && *sentAt >= m_heardAt;
    if (limit == m_named) {
        m_heardAt = now;
        return Change::None;
    }
    if (!isLower && !isNewer)
        return Change::None;
    const Change change = !m_named ? Change::Named : !limit ? Change::Ended : Change::Changed;
    const std::optional<double> before = value();
    m_named = limit;
    m_heardAt = now;
    dropExcessPermits(before);
    return change;
}

TargetLimit::Change TargetLimit::onUnreadable(std::optional<Clock::time_point> sentAt,
                                              Clock::time_point now)
{
    if (!m_named)
        return Change::None;
    const Clock::time_point heardAt = m_heardAt;
    if (now - heardAt < unreadableTime(*m_named))
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
