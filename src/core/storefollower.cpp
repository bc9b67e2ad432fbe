#include "mangoshift/storefollower.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// The wait after a first failure; it doubles with each failure on end.
constexpr std::chrono::milliseconds FirstWait{50};
/// The longest wait: a store that is back is heard of within this time, well inside the three
/// seconds in which a configuration has to be in force.
constexpr std::chrono::milliseconds LongestWait{400};

/// How long changes are gathered after some have come. Each call is paid for, and changes come in
/// series; a configuration has three seconds to be in force, a leaving target serves for as long.
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
    // Pages are no snapshot: changes since the first of them have to be seen again.
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

StoreStep StoreFollower::onHistoryLost()
{
    onAnswer();
    m_isListing = true;
    m_afterKey.clear();
    return next();
}

StoreStep StoreFollower::onFailure()
{
    // A new watch would hear of a lost history only at its end, so everything is listed again.
    m_isListing = true;
    m_afterKey.clear();
    const auto delay = FirstWait * (1U << std::min(m_failures, 3U));
    ++m_failures;
    return WaitBeforeNext{std::min(delay, LongestWait)};
}

StoreStep StoreFollower::resume() const
{
    return next();
}

void StoreFollower::skipTo(std::uint64_t revision)
{
    m_revision = std::max(m_revision, revision);
    m_isListing = true;
    m_afterKey.clear();
}

bool StoreFollower::takeRecovered()
{
    return std::exchange(m_isBack, false);
}

} // namespace mangoshift
