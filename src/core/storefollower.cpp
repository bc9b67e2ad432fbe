#include "mangoshift/storefollower.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// The wait after a first failure. It doubles with each consecutive failure.
constexpr std::chrono::milliseconds InitialRetryDelay{50};
/// The longest wait after a failure. A store that is available again is noticed within this time,
/// well within the three seconds in which a configuration has to be in force.
constexpr std::chrono::milliseconds MaxRetryDelay{400};

/// How long to wait for further changes after a reply with changes. Each call to the store has a
/// cost, and changes come in bursts. A configuration has three seconds to come in force, and a
/// leaving target serves requests for as long.
constexpr std::chrono::milliseconds BatchDelay{500};

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

void StoreFollower::recordSuccess()
{
    m_hasRecovered = m_hasRecovered || m_consecutiveFailures > 0;
    m_consecutiveFailures = 0;
}

StoreStep StoreFollower::onPage(std::uint64_t revision, bool isLast, const std::string &lastKey)
{
    recordSuccess();
    // The pages are not one consistent snapshot: changes since the first page must be read again.
    if (m_afterKey.empty())
        m_listingRevision = revision;
    m_afterKey = lastKey;
    if (isLast) {
        m_revision = m_listingRevision;
        m_isListing = false;
        m_afterKey.clear();
    }
    return next();
}

StoreStep StoreFollower::onChanges(std::uint64_t revision, bool hasChanges)
{
    recordSuccess();
    m_revision = std::max(m_revision, revision);
    if (hasChanges)
        return WaitBeforeNext{BatchDelay};
    return next();
}

StoreStep StoreFollower::onHistoryLost()
{
    recordSuccess();
    m_isListing = true;
    m_afterKey.clear();
    return next();
}

StoreStep StoreFollower::onFailure()
{
    // A new watch would report a lost history only when it ends, so everything is listed again.
    m_isListing = true;
    m_afterKey.clear();
    const auto delay = InitialRetryDelay * (1U << std::min(m_consecutiveFailures, 3U));
    ++m_consecutiveFailures;
    return WaitBeforeNext{std::min(delay, MaxRetryDelay)};
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
    return std::exchange(m_hasRecovered, false);
}

} // namespace mangoshift
