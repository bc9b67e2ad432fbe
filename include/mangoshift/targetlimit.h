#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "mangoshift/clock.h"

namespace mangoshift {

/// How long a permit to send one request to a limited target may be used once it is valid.
constexpr std::chrono::milliseconds PermitLifetime{500};

/// The limits on the requests of all VMs together to one incarnation of a target, as this VM knows
/// them, and the permits that this VM holds to send requests within them.
///
/// There are two, of which the lower one is in force: the one that the target has named, and the
/// warm-up limit of its service while the target is cold. A limited target gets a request only for
/// a permit, whatever the request is for: first sends, hedges, retries and probes count alike.
/// Permits come from the limit pool of this VM's failure domain. The named limit is heard from the
/// target itself only, and ends when the target no longer names it. The warm-up limit ends by time.
/// Reads no clock. Not thread safe.
class TargetLimit
{
public:
    /// What a response has changed.
    enum class Change : std::uint8_t {
        None,
        Named,
        Changed,
        Ended,
        Unreadable, ///< The limit cannot be read any more; reported once.
    };
    /// How long a limit holds at least after the target has named it for the last time, while it
    /// names limits that cannot be read. A target whose limit has ended is in use again within 8 s;
    /// the rest of them is for the response that ends it.
    static constexpr std::chrono::milliseconds MinUnreadableTime{7000};
    /// How many requests a limit allows at least while it cannot be read, as one garbled response
    /// says little.
    static constexpr double MinUnreadableRequests = 4.0;

    /// Sets the limit that applies while the target is cold, in requests a second; no value if its
    /// service states none, so that nothing depends on whether the target is cold.
    void setWarmupLimit(std::optional<double> limit);
    /// Records that the target's entry says that it stays cold for `left`. The entry was written
    /// after `writtenAfter`; it does not shorten what has become known since then.
    void onEntryWarmup(Clock::duration left, Clock::time_point writtenAfter, Clock::time_point now);
    /// Records that a response says the same. The time is shortened only by the response to a
    /// request that was sent after it had become known.
    void onResponseWarmup(Clock::duration left, std::optional<Clock::time_point> sentAt,
                          Clock::time_point now);
    /// Treats the target as cold until `until` at least.
    void presumeCold(Clock::time_point until, Clock::time_point now);
    /// Ends the warm-up limit if its time is over. Returns whether it was in force. Call it often,
    /// as the limit stays in force until then.
    bool endWarmup(Clock::time_point now);
    /// Returns whether the target is cold and its service states a limit for that.
    bool isCold() const { return m_warmupLimit && m_coldUntil != Clock::time_point(); }
    /// Returns when the warm-up ends; only of use while the target is cold.
    Clock::time_point coldUntil() const { return m_coldUntil; }

    /// Records the limit that a response names, in requests a second; no value if it names none.
    /// `sentAt` is when the request was sent that it answers; no value if that is not known.
    ///
    /// Responses may arrive in another order than the target sent them. So a limit is raised, or
    /// ended, only by the response to a request that was sent after the limit had been heard.
    Change onResponse(std::optional<double> limit, std::optional<Clock::time_point> sentAt,
                      Clock::time_point now);
    /// Records a response that names a limit which cannot be read. That is no word that the
    /// target's need is over, so the limit in force holds on, for `unreadableTime` at most; then
    /// the response counts as one without a limit, but `heardAt` stays when the limit was last
    /// read: one that another VM has read since is newer.
    Change onUnreadable(std::optional<Clock::time_point> sentAt, Clock::time_point now);
    /// Returns how long a limit, in requests a second, holds while it cannot be read.
    static Clock::duration unreadableTime(double limit);
    /// Returns the limit in force, in requests a second; no value if there is none.
    std::optional<double> value() const;
    bool isLimited() const { return m_named.has_value() || isCold(); }
    /// Returns the limit that the target has named; no value if it names none.
    std::optional<double> named() const { return m_named; }
    /// Returns when the named limit was last heard from the target.
    Clock::time_point heardAt() const { return m_heardAt; }
    /// Returns how old the limit in force is. It is never in doubt while the target is cold.
    Clock::duration age(Clock::time_point now) const
    {
        return isCold() ? Clock::duration::zero() : now - m_heardAt;
    }

    /// Adds a permit that is valid from `validFrom` on.
    void addPermit(Clock::time_point validFrom, Clock::time_point now);
    /// Returns the number of permits that can be used now.
    std::size_t permits(Clock::time_point now) const;
    /// Returns the number of permits that can be used now or later.
    std::size_t heldPermits(Clock::time_point now) const;
    /// Returns when the next permit can be used; no value if this VM holds none.
    std::optional<Clock::time_point> nextPermitAt(Clock::time_point now) const;
    /// Returns until when the permit may be used that `onSent` would use now; without end if there
    /// is no limit.
    Clock::time_point permitEnd(Clock::time_point now) const;
    /// Returns whether a request may be sent: there is no limit, or a permit for it.
    bool allowsRequest(Clock::time_point now) const { return !isLimited() || permits(now) > 0; }
    /// Records that a request is sent, and uses a permit if there is a limit. Returns false if
    /// there is a limit and no permit.
    bool onSent(Clock::time_point now);
    /// Returns how many requests were sent since the start.
    std::uint64_t sent() const { return m_sent; }

private:
    /// Sets the end of the warm-up, if that is later than the known one or `mayShorten`.
    void setColdUntil(Clock::time_point until, bool mayShorten, Clock::time_point heardAt);
    /// Drops permits that were granted for a higher limit than the present one, or without one.
    void dropExcessPermits(std::optional<double> limitBefore);

    std::optional<double> m_named;
    Clock::time_point m_heardAt{};
    std::optional<double> m_warmupLimit;
    /// The default time point if the target is not known to be cold.
    Clock::time_point m_coldUntil{};
    /// When `m_coldUntil` became known.
    Clock::time_point m_coldHeardAt{};
    /// Whether the latest responses named limits that could not be read.
    bool m_isUnreadable = false;
    /// From when on each permit is valid, in ascending order.
    std::deque<Clock::time_point> m_permits;
    std::uint64_t m_sent = 0;
};

} // namespace mangoshift
