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

/// The limit that one incarnation of a target has named for the requests of all VMs together, as
/// this VM has heard it, and the permits that this VM holds to send requests within it.
///
/// A limited target gets a request only for a permit, whatever the request is for: first sends,
/// hedges, retries and probes count alike. Permits come from the limit pool of this VM's failure
/// domain. The limit is heard from the target itself only, and ends when the target no longer names
/// it. Reads no clock. Not thread safe.
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
    std::optional<double> value() const { return m_value; }
    bool isLimited() const { return m_value.has_value(); }
    /// Returns when `value` was last heard from the target.
    Clock::time_point heardAt() const { return m_heardAt; }

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
    std::optional<double> m_value;
    Clock::time_point m_heardAt{};
    /// Whether the latest responses named limits that could not be read.
    bool m_isUnreadable = false;
    /// From when on each permit is valid, in ascending order.
    std::deque<Clock::time_point> m_permits;
    std::uint64_t m_sent = 0;
};

} // namespace mangoshift
