#include "mangoshift/storefollower.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// The wait after a first failure. It doubles with each consecutive failure.
constexpr std::chrono::milliseconds FirstWait{50};
/// The longest wait after a failure. A store that is available again is noticed within this time,
/// well within the three seconds in which a configuration has to be in force.
constexpr std::chrono::milliseconds LongestWait{400};

/// How long to wait for further changes after a reply with changes. Each call to the store has a
/// cost, and changes come in bursts. A configuration has three seconds to come in force, and a
/// leaving target serves requests for as long.
constexpr std::chrono::milliseconds GatherTime{500};

} // namespace

StoreStep StoreFollower::start()
{
    return next();
}

StoreStep StoreFollower::next() const
{
    if (m_isListing)
        return ReadPage{m_afterKey};
    return WatchChanges{m_revision};
}

void StoreFollower::onAnswer()
{
    m_isBack = m_isBack || m_failures > 0;
    m_failures = 0;
}

StoreStep StoreFollower::onPage(std::uint64_t revision, bool isLast, const std::string &lastKey)
{
    onAnswer();
    // The pages are not one consistent snapshot: changes since the first page must be read again.
    if (m_afterKey.empty())
        m_revision = revision;
    m_afterKey = lastKey;
    if (isLast) {
        m_isListing = false;
        m_afterKey.clear();
    }
    return next();
}

StoreStep StoreFollower::onChanges(std::uint64_t revision, bool hasChanges)
{
    onAnswer();
    m_revision = std::max(m_revision, revision);
    if (hasChanges)
        return WaitBeforeNext{GatherTime};
    return next();
}

StoreStep StoreFollower::onHistoryGone()
{
    onAnswer();
    m_isListing = true;
    m_afterKey.clear();
    return next();
}

StoreStep StoreFollower::onFailure()
{
    // A new watch would report a lost history only when it ends, so everything is listed again.
    m_isListing = true;
    m_afterKey.clear();
    const auto delay = FirstWait * (1U << std::min(m_failures, 3U));
    ++m_failures;
    return WaitBeforeNext{std::min(delay, LongestWait)};
}

StoreStep StoreFollower::onWaited() const
{
    return next();
}

void StoreFollower::skipTo(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
    m_isListing = true;
    m_afterKey.clear();
}

bool StoreFollower::takeIsBack()
{
    return std::exchange(m_isBack, false);
}

} // namespace mangoshift
