#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"
#include "mangoshift/sourcepicker.h"
#include "mangoshift/storefollower.h"

namespace mangoshift {

/// Fetch: reads a page of the store's listing, of keys after `afterKey`.
struct ListStore
{
    std::string afterKey;
    std::chrono::milliseconds timeout;
};
/// Fetch: watches the store for changes after `revision`. The store responds after `wait` at the
/// latest.
struct WatchStore
{
    std::uint64_t revision;
    std::chrono::milliseconds wait;
    std::chrono::milliseconds timeout;
};
/// Fetch: pulls the changes after `revision` from another VM; the whole state if `revision` is
/// zero. The VM replies after `wait` at the latest.
struct PullFromPeer
{
    VmId vm;
    std::uint64_t revision;
    std::chrono::milliseconds wait;
    std::chrono::milliseconds timeout;
};
using StateFetch = std::variant<ListStore, WatchStore, PullFromPeer>;

/// What to do with the state that another VM has sent.
struct PeerStateUse
{
    /// Whether the state is at least as new as that of this VM, so that it must be applied.
    bool shouldApply = false;
    /// Whether the VM is up to date, so that it stays a source.
    bool isFresh = false;
};

/// Decides how a VM follows the state of the store: which source it fetches from, what it requests,
/// how long it waits for the response, and up to which revision its state is complete.
///
/// One fetch is in flight at a time. The owner performs the fetches that `next` returns and reports
/// how each of them ended. Reads no clock. Not thread safe.
class StateFollower
{
public:
    /// How long a watch of the store waits for a change if other VMs follow this one.
    static constexpr std::chrono::milliseconds FollowerWait{1000};
    /// How long a pull of state waits for a change, or for the next contact that the other VM has
    /// with the store: a little more than `FollowerWait`.
    static constexpr std::chrono::milliseconds PullWait{1200};
    /// The age from which a VM's state is stale and another source is used: the wait of a watch,
    /// the half second that a watcher waits after changes before its next watch, the response time
    /// of a slow store, and what the replies of one VM to the next take.
    static constexpr std::chrono::milliseconds MaxStateAge{1800};

    /// `watchWait` is how long a watch of the store waits for a change if no VM follows this one.
    StateFollower(const Member &self, std::vector<std::string> seeds,
                  std::chrono::milliseconds watchWait, Clock::time_point startedAt);

    void setMembers(MemberViewPtr members) { m_picker.setMembers(std::move(members)); }
    /// Returns the fetch to perform now, which is then in flight; no value if one is in flight
    /// already or none is due before `nextAt`.
    std::optional<StateFetch> next(Clock::time_point now);
    /// Returns when `next` must be called; the greatest time point if a fetch is in flight or there
    /// is no source.
    Clock::time_point nextAt(Clock::time_point now) const;

    /// Handles a page of the listing. `revision` is that of the store when it responded. The
    /// listing is complete if `isListing` returns false afterwards.
    void onPage(std::uint64_t revision, bool isLast, const std::string &lastKey,
                Clock::time_point now);
    /// Handles the response to a watch, which covers the changes up to `revision`.
    void onChanges(std::uint64_t revision, bool hasChanges, Clock::time_point now);
    /// Handles the response that the store no longer holds the changes after the watched revision.
    void onHistoryLost();
    /// Handles a request to the store that failed, was refused or got no response in time.
    void onStoreFailure(Clock::time_point now);
    /// Handles the state of another VM at `revision`, zero if it has none. That VM had its last
    /// contact with the store at `contactAt`. A VM without state takes stale state only if no other
    /// VM may have fresh state: what has left since must not be used again after a start.
    PeerStateUse onPeerState(std::uint64_t revision, Clock::time_point contactAt,
                             Clock::time_point now);
    /// Handles a pull that got no reply in time or whose VM was lost.
    void onPeerFailure(Clock::time_point now);
    /// Returns whether the store has responded for the first time after a failure since the last
    /// call.
    bool takeStoreRecovered() { return m_store.takeRecovered(); }

    /// Returns whether the whole state has been received.
    bool hasState() const { return m_hasState; }
    /// Returns the revision up to which this VM's state is complete.
    std::uint64_t revision() const { return m_store.revision(); }
    /// Returns the revision at which the latest listing of the store began. What a page contains
    /// changed at this revision or earlier, or is received again later.
    std::uint64_t listingRevision() const { return m_store.listingRevision(); }
    bool isListing() const { return m_store.isListing(); }
    /// Returns the source of the fetch in flight; no value if there is none.
    const std::optional<StoreSource> &source() const { return m_source; }
    /// Returns whether the VMs that wait for a reply of this VM should get one now although nothing
    /// has changed: this VM's state has become a good deal newer since the last call that returned
    /// true. So the contact of a watcher with the store reaches each VM after a few replies, and
    /// not after the waits of all VMs on the way. VMs that follow each other in a circle, as may
    /// happen while they do not agree on who is alive, do not keep each other's state fresh.
    bool takeNewContact();
    bool isStoreUnavailable() const { return m_store.isStoreUnavailable(); }
    bool isWatcher() const { return m_picker.isWatcher(); }

private:
    StateFetch fetchFrom(const StoreSource &source, Clock::time_point now);
    PullFromPeer pullFrom(const VmId &vm, Clock::time_point now) const;
    /// Performs a step of the store's follower after a response.
    void onStoreStep(const StoreStep &step, Clock::time_point now);

    SourcePicker m_picker;
    StoreFollower m_store;
    std::chrono::milliseconds m_watchWait;
    bool m_hasState = false;
    /// Whether the fetch in flight continues with the next page of a listing.
    bool m_continuesListing = false;
    std::optional<StoreSource> m_source;
    /// The last contact with the store, of this VM or of the one that its state came from, and the
    /// one that was passed on last.
    Clock::time_point m_contactAt{};
    Clock::time_point m_relayedContactAt{};
    /// When the next fetch is due after a response with changes.
    Clock::time_point m_nextAt{};
};

} // namespace mangoshift
