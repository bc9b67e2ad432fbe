#include "mangoshift/targetstanding.h"

#include <algorithm>
#include <vector>

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// A pause ends later by up to this share of it, and by at most `MaxPauseSpread`.
constexpr double PauseSpreadShare = 0.125;
constexpr milliseconds MaxPauseSpread{500};
/// Bounds of the window over which callers return. A part of it is as long as a few of the users'
/// shorter requests take.
constexpr milliseconds MinReturnWindow{150};
constexpr milliseconds MaxReturnWindow{1500};
/// The window is divided between this many ranks of priority; further ranks share the last part.
constexpr std::uint32_t ReturnRanks = 3;

} // namespace

bool TargetStanding::onNotice(const TargetNotice &notice, double draw, Clock::time_point now)
{
    bool isChanged = notice.isLeaving && !m_isLeaving;
    m_isLeaving = m_isLeaving || notice.isLeaving;
    if (notice.pause.count() <= 0)
        return isChanged;
    const auto spread = std::min<Clock::duration>(
        std::chrono::duration_cast<Clock::duration>(notice.pause * PauseSpreadShare),
        MaxPauseSpread);
    const Clock::time_point until =
        now + notice.pause + std::chrono::duration_cast<Clock::duration>(spread * draw);
    if (now + notice.pause > m_pausedUntil) {
        m_pausedUntil = until;
        isChanged = true;
    }
    return isChanged;
}

TargetStandings::TargetStandings(std::size_t limit)
    : m_limit(limit)
{
}

std::shared_ptr<TargetStanding> TargetStandings::of(const TargetId &id, std::uint64_t startedAt)
{
    Record &record = m_records[{id, startedAt}];
    if (!record.standing)
        record.standing = std::make_shared<TargetStanding>();
    record.lastUse = ++m_uses;
    std::shared_ptr<TargetStanding> standing = record.standing;
    if (m_records.size() > m_limit)
        dropUnused();
    return standing;
}

void TargetStandings::dropUnused()
{
    // Half of the limit is dropped at a time, so that this is done rarely.
    std::vector<std::uint64_t> uses;
    for (const auto &[key, record] : m_records)
        uses.push_back(record.lastUse);
    const auto middle = uses.begin() + static_cast<std::ptrdiff_t>(uses.size() / 2);
    std::nth_element(uses.begin(), middle, uses.end());
    std::erase_if(m_records, [oldest = *middle](const auto &each) {
        return each.second.lastUse < oldest && each.second.standing.use_count() == 1;
    });
}

milliseconds retryDelay(Clock::duration delay, std::uint32_t priority, double draw)
{
    const auto until = std::max(std::chrono::duration_cast<milliseconds>(delay), milliseconds(0));
    const milliseconds part = std::clamp(until / 2, MinReturnWindow, MaxReturnWindow) / ReturnRanks;
    const std::uint32_t rank = std::min(priority, ReturnRanks - 1);
    return until + part * rank
        + milliseconds(static_cast<std::int64_t>(static_cast<double>(part.count()) * draw));
}

} // namespace mangoshift
