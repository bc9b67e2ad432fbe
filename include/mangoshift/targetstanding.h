#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "mangoshift/clock.h"
#include "mangoshift/targetcapacity.h"
#include "mangoshift/targetlimit.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// What a target says about itself in a response.
struct TargetNotice
{
    /// Whether the target is about to leave.
    bool isLeaving = false;
    /// How long the target wants no requests from this VM; zero if it does not say so.
    std::chrono::milliseconds pause{0};
    /// The requests a second that the target takes from all VMs together; no value if it does not
    /// say so.
    std::optional<double> limit = std::nullopt;
    /// Whether the target names a limit that cannot be read, and none that can.
    bool isLimitUnreadable = false;
    /// How long the target stays cold, zero if it is not; no value if it does not say so.
    std::optional<std::chrono::milliseconds> warmupLeft = std::nullopt;
    /// The load that the target states; no value if it does not.
    std::optional<StatedLoad> load = std::nullopt;

    bool operator==(const TargetNotice &) const = default;
};

/// Whether one incarnation of a target may get requests from this VM, as far as the target has said
/// so itself.
///
/// A target that leaves gets no further requests. A target that asks for a pause gets none until
/// the pause is over. Neither is undone by a later response, nor by anything that the registry, the
/// configuration or another VM says. Reads no clock. Not thread safe.
class TargetStanding
{
public:
    /// Records what a response says about leaving and pauses. A pause ends up to an eighth later
    /// than asked for, at most half a second, by `draw` (0 to 1, random), so that the VMs do not
    /// all return at once. Returns whether the target may get less than before.
    bool onNotice(const TargetNotice &notice, double draw, Clock::time_point now);

    bool isLeaving() const { return m_isLeaving; }
    /// Returns whether the target may get a request.
    bool mayReceive(Clock::time_point now) const { return !m_isLeaving && now >= m_pausedUntil; }
    /// Returns from when on the target may get requests; the greatest time point if it leaves.
    Clock::time_point opensAt() const
    {
        return m_isLeaving ? Clock::time_point::max() : m_pausedUntil;
    }
    TargetLimit &limit() { return m_limit; }
    const TargetLimit &limit() const { return m_limit; }

private:
    bool m_isLeaving = false;
    Clock::time_point m_pausedUntil{};
    TargetLimit m_limit;
};

/// The standings of all incarnations of targets. They outlast the targets' registry entries, so
/// that a target that is listed again keeps what it has said. Not thread safe.
class TargetStandings
{
public:
    /// Beyond `limit` standings, the least recently requested ones that nothing else holds are
    /// dropped.
    explicit TargetStandings(std::size_t limit);

    /// Returns the standing of the target `id` that started at `startedAt`.
    std::shared_ptr<TargetStanding> of(const TargetId &id, std::uint64_t startedAt);
    std::size_t size() const { return m_records.size(); }

private:
    struct Record
    {
        std::shared_ptr<TargetStanding> standing;
        std::uint64_t lastUse = 0;
    };

    void dropUnused();

    std::size_t m_limit;
    std::uint64_t m_uses = 0;
    std::map<std::pair<TargetId, std::uint64_t>, Record> m_records;
};

/// Returns when a caller that cannot be served now should retry, if capacity returns after `delay`.
///
/// Callers are spread over a window after that time, so that they do not return together. Urgent
/// requests (`priority` 0) get the first part of the window: they have the least time left, and a
/// target that has just returned serves little at first. `draw` is a random number from 0 to 1.
std::chrono::milliseconds retryDelay(Clock::duration delay, std::uint32_t priority, double draw);

} // namespace mangoshift
