#include "mangoshift/statefollower.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// How long one page of a listing may take: the store responds in 4 ms, and in about 200 ms when it
/// is slow.
constexpr milliseconds ListTimeout{1500};
/// How much longer than its wait a watch may take.
constexpr milliseconds WatchSlack{700};
/// How much longer than its wait a pull may take, to allow for a VM that runs several times slower
/// than usual.
constexpr milliseconds PeerReplySlack{500};
/// How much newer the contact with the store must be to be passed on by itself. Well above what
/// replies take, so that it does not go round in a circle of VMs.
constexpr milliseconds MinContactStep{300};
/// How long a VM without state waits for one reply: several times what a listing of the store
/// takes, as the other VM may have just begun one.
constexpr milliseconds FirstReplyTimeout{300};
/// How long a peer is not picked as the source after it failed to reply or its state was stale:
/// as long as a process takes to restart. Also the shortest such time for the store on a VM that
/// is not a watcher.
constexpr milliseconds PeerBackoff{2000};

} // namespace

StateFollower::StateFollower(const Member &self, std::vector<std::string> seeds,
                             milliseconds watchWait, Clock::time_point startedAt)
    : m_picker(self, std::move(seeds), startedAt)
    , m_watchWait(watchWait)
{
}

std::optional<StateFetch> StateFollower::next(Clock::time_point now)
{
    if (std::exchange(m_continuesListing, false))
        return fetchFrom(*m_source, now);
    if (m_source || now < m_nextAt)
        return std::nullopt;
    m_source = m_picker.pick(now);
    if (!m_source)
        return std::nullopt;
    return fetchFrom(*m_source, now);
}

Clock::time_point StateFollower::nextAt(Clock::time_point now) const
{
    if (m_continuesListing)
        return now;
    if (m_source)
        return Clock::time_point::max();
    return std::max(m_nextAt, m_picker.retryAt(now));
}

PullFromPeer StateFollower::pullFrom(const VmId &vm, Clock::time_point now) const
{
    if (!m_hasState)
        return {vm, 0, PullWait, FirstReplyTimeout};
    milliseconds wait = PullWait;
    // A pull must not delay the next attempt to reach the store.
    if (const auto retryAt = m_picker.storeRetryAt())
        wait = std::clamp(std::chrono::duration_cast<milliseconds>(*retryAt - now), milliseconds(0),
                          PullWait);
    return {vm, revision(), wait, wait + PeerReplySlack};
}

StateFetch StateFollower::fetchFrom(const StoreSource &source, Clock::time_point now)
{
    if (const auto *peer = std::get_if<FromPeer>(&source))
        return pullFrom(peer->vm, now);
    const StoreStep step = m_store.resume();
    if (const auto *page = std::get_if<ReadPage>(&step))
        return ListStore{page->afterKey, ListTimeout};
    const milliseconds wait = m_picker.hasFollowers() ? FollowerWait : m_watchWait;
    return WatchStore{revision(), wait, wait + WatchSlack};
}

void StateFollower::onStoreStep(const StoreStep &step, Clock::time_point now)
{
    m_picker.onSourceSucceeded(FromStore{}, now, now);
    m_contactAt = now;
    m_continuesListing = std::holds_alternative<ReadPage>(step);
    if (m_continuesListing)
        return;
    m_source.reset();
    if (const auto *wait = std::get_if<WaitBeforeNext>(&step))
        m_nextAt = now + wait->delay;
}

void StateFollower::onPage(std::uint64_t revision, bool isLast, const std::string &lastKey,
                           Clock::time_point now)
{
    onStoreStep(m_store.onPage(revision, isLast, lastKey), now);
    if (isLast && !std::exchange(m_hasState, true))
        m_picker.setHasState();
}

void StateFollower::onChanges(std::uint64_t revision, bool hasChanges, Clock::time_point now)
{
    onStoreStep(m_store.onChanges(revision, hasChanges), now);
}

void StateFollower::onHistoryLost()
{
    m_store.onHistoryLost();
    m_continuesListing = true;
}

void StateFollower::onStoreFailure(Clock::time_point now)
{
    const StoreStep step = m_store.onFailure();
    // Watchers check first whether the store is back; the other VMs receive the state from them.
    const milliseconds delay = std::get<WaitBeforeNext>(step).delay;
    m_picker.onSourceFailed(
        FromStore{}, now + (m_picker.isWatcher() ? delay : std::max(delay, PeerBackoff)), now);
    m_continuesListing = false;
    m_source.reset();
}

PeerStateUse StateFollower::onPeerState(std::uint64_t revision, Clock::time_point contactAt,
                                        Clock::time_point now)
{
    PeerStateUse use;
    use.isFresh = revision != 0 && now - contactAt < MaxStateAge;
    if (use.isFresh) {
        m_picker.onSourceSucceeded(*m_source, contactAt, now);
        m_source.reset();
    } else {
        onPeerFailure(now);
    }
    use.shouldApply = revision != 0
        && (m_hasState ? revision >= this->revision()
                       : use.isFresh || !m_picker.hasUntriedPeer(now));
    if (use.shouldApply) {
        m_contactAt = std::max(m_contactAt, contactAt);
        m_store.skipTo(revision);
        if (!std::exchange(m_hasState, true))
            m_picker.setHasState();
    }
    return use;
}

bool StateFollower::takeNewContact()
{
    if (!m_hasState || m_contactAt < m_relayedContactAt + MinContactStep)
        return false;
    m_relayedContactAt = m_contactAt;
    return true;
}

void StateFollower::onPeerFailure(Clock::time_point now)
{
    m_picker.onSourceFailed(*m_source, now + PeerBackoff, now);
    m_source.reset();
}

} // namespace mangoshift
