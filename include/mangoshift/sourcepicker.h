#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// The state is requested from the store itself.
struct FromStore
{
    bool operator==(const FromStore &) const = default;
};
/// The state is requested from another VM, which got it from the store or from a further VM.
struct FromPeer
{
    VmId vm;
    bool operator==(const FromPeer &) const = default;
};
using StoreSource = std::variant<FromStore, FromPeer>;

/// Returns the name of the VM, or `store`.
std::string toString(const StoreSource &source);

/// Decides where a VM requests the state of the store: from the store, or from another VM.
///
/// In each failure domain the first few VMs by rendezvous hash watch the store, so that the store's
/// load does not grow with the fleet. The other VMs form a tree below these watchers, in the order
/// of the hash, so that each VM serves a few others however large the domain is. A VM whose parent
/// does not reply with fresh state uses the watchers, first those that its parent does not depend
/// on, then the store, then the watchers of the other domains. A watcher tries a store
/// that has failed once more before it uses other VMs, because a watch may be cut while the store
/// is sound, and leaves a failing store alone for longer only if it still serves other VMs. A
/// starting VM uses VMs that have already started, so that it can serve even while the store is
/// unavailable. Reads no clock. Not thread safe.
class SourcePicker
{
public:
    /// `seeds` are the peer addresses through which starting VMs find each other. A VM without a
    /// peer address uses only the store.
    SourcePicker(Member self, std::vector<std::string> seeds, Clock::time_point startedAt);

    /// Sets the VMs that count as alive.
    void setMembers(MemberViewPtr members) { m_members = std::move(members); }
    /// Records that this VM has the state of the store, even if that state is stale.
    void setHasState() { m_hasState = true; }
    /// Returns the source to use now, or no value if there is none before `retryAt`.
    std::optional<StoreSource> pick(Clock::time_point now) const;
    /// Returns the earliest time, `now` or later, at which a source may be used, but at most the
    /// end of the period in which a starting VM uses only other VMs. Returns the greatest time
    /// point if there is no source.
    Clock::time_point retryAt(Clock::time_point now) const;
    /// Records that a source replied with fresh state. `contactAt` is when that source had its last
    /// contact with the store; `now` if it is the store.
    void onSourceSucceeded(const StoreSource &source, Clock::time_point contactAt,
                           Clock::time_point now);
    /// Records that a source sent no reply, or a reply with stale state. The source is not used
    /// again before `retryAt`.
    void onSourceFailed(const StoreSource &source, Clock::time_point retryAt,
                        Clock::time_point now);
    /// Returns whether this VM has no state yet and there is a VM that may send it state and has
    /// not failed.
    bool hasUntriedPeer(Clock::time_point now) const;
    /// Returns when a watcher whose store has failed is to try the store again; no value if the
    /// store has not failed, or if this VM is not a watcher.
    std::optional<Clock::time_point> storeRetryAt() const;

    const Member &self() const { return m_self; }
    /// Returns whether this VM is one of the watchers of its failure domain.
    bool isWatcher() const;
    /// Returns whether any VM of this VM's failure domain is not a watcher.
    bool hasFollowers() const;

private:
    bool hasPeers() const { return !m_self.peerAddress.empty(); }
    bool isSeed(const Member &member) const;
    bool isJoining(Clock::time_point now) const;
    /// Returns the sources that a VM without state uses before any others.
    std::vector<StoreSource> initialSources(Clock::time_point now) const;
    std::vector<const Member *> rankedDomainMembers(const std::string &domain) const;
    /// Returns the sources in this VM's failure domain, but for the store.
    std::vector<StoreSource> domainSources() const;
    std::vector<StoreSource> sources(Clock::time_point now) const;
    Clock::time_point avoidedUntil(const StoreSource &source) const;
    /// Returns whether the source has failed since the last success.
    bool hasFailed(const StoreSource &source) const;
    /// Returns whether the store, which has failed once, is to be tried before any other VM.
    bool isRecheckingStore() const;

    Member m_self;
    std::vector<std::string> m_seeds;
    Clock::time_point m_startedAt;
    bool m_hasState = false;
    MemberViewPtr m_members;
    /// The sources that have failed since the last success.
    std::vector<StoreSource> m_failedSources;
    /// Until when the store, and each peer that has failed, are not used.
    Clock::time_point m_storeAvoidedUntil{};
    /// The number of consecutive failures of the store, and when the last one was.
    std::uint32_t m_storeFailures = 0;
    Clock::time_point m_storeFailedAt{};
    /// Whether another VM had contact with the store after it failed this VM.
    bool m_doesStoreServeOthers = false;
    std::map<VmId, Clock::time_point> m_peersAvoidedUntil;
};

} // namespace mangoshift
