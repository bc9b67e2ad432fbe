#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "base/metrics.h"
#include "duties/memberexchange.h"
#include "duties/messages.h"
#include "entry/capacityaccess.h"
#include "entry/entrysettings.h"
#include "entry/pendingstatepulls.h"
#include "entry/permitaccess.h"
#include "entry/poolaccess.h"
#include "entry/storeconnection.h"
#include "entry/storeview.h"
#include "entry/wireadapter.h"
#include "mangoshift/statefollower.h"

namespace mangoshift {

/// Receivers of what the registry duty obtains from the store and from other VMs.
struct RegistrySinks
{
    std::function<void(RoutingTablePtr)> onRouting;
    std::function<void(std::vector<RegistryChange>)> onTargets;
    /// All failure domains to whose targets nothing must be sent.
    std::function<void(std::set<std::string>)> onEvacuations;
    /// All targets have been listed for the first time.
    std::function<void()> onInitialListing;
    /// One read of the store with its duration and its outcome: `ok`, `refused`, `failed` or
    /// `history_gone`.
    std::function<void(const char *outcome, Clock::duration)> onRead;
    /// The number of known VMs. Dead VMs count until they are forgotten, so that the number is an
    /// upper bound.
    std::function<void(std::size_t)> onFleetSize;
    std::function<void(MemberViewPtr)> onMembers;
    /// Called upon contact with a VM of another failure domain.
    std::function<void()> onOtherDomainContact;
    std::function<void(BudgetGrants)> onGrants;
    std::function<void(PermitReply)> onPermits;
    std::function<void(CapacityOutlooks)> onOutlooks;
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
};

/// The duty that follows the state of the store: the configuration in force and the targets. It
/// fetches the state from the store or from another VM, as `StateFollower` decides, and replies to
/// the state pulls of other VMs.
///
/// A configuration is put in force only if its version is greater than that of the last, whichever
/// source it came from.
class RegistryDuty
{
public:
    /// Throws `asio::system_error` if the address for heartbeats is in use.
    RegistryDuty(const EntrySettings &settings, Member self, const WireAdapter &adapter,
                 RegistrySinks sinks, Metrics &metrics);
    ~RegistryDuty();
    RegistryDuty(const RegistryDuty &) = delete;
    RegistryDuty &operator=(const RegistryDuty &) = delete;

    void start();
    void stop() { m_duty.stop(); }
    /// Posts a message to the duty. Returns false if the ring is full.
    bool tryPost(RegistryMessage message) { return m_duty.tryPostMessage(message); }
    /// Posts a message that is never rejected; see `Duty::postLatest`.
    template <typename Kind>
    void postLatest(Kind value)
    {
        m_duty.postLatest(std::move(value));
    }

private:
    using Timer = asio::basic_waitable_timer<Clock>;

    void handle(RegistryMessage &message);
    void onFrame(ControlFrame &message);
    void onView(MemberViewPtr view);
    void armMemberTick();

    /// Starts the next fetch, or arranges to be called when it is due.
    void fetchNext();
    void fetchFromStore(const std::string &uri, std::chrono::milliseconds timeout, bool isListing);
    void onResult(const StoreConnection::Result &result, bool isListing);
    void onChanges(const StoreResponse &response);
    void onPage(const StoreResponse &response);
    /// Called after a listing or the state of another VM was applied; `isFirst` if it was the
    /// first.
    void onTargetsUpdated(bool isFirst);
    /// Records a response of the store.
    void onStoreContact();
    void onStoreFailure(const std::string &why);

    void fetchFromPeer(const PullFromPeer &pull);
    void onPeerState(wire::StateReplyT &reply);
    void onPeerFailure(const char *why);
    void applyPeerState(const PeerState &state, std::uint64_t before, const StoreSource &source);
    /// Records the end of a pull; `failure` is null if the state was fresh.
    void endPull(const StoreSource &source, const char *failure);
    /// Returns whether a pull is in flight.
    bool isPulling() const;

    void applyEntry(const StoreEntry &entry, std::uint64_t revision);
    void applyConfiguration(const RoutingDocument &document, const std::string &bytes,
                            const StoreSource &source);
    /// Records the source that state was last received from, and logs when it changes.
    void setLastSource(const StoreSource &source);
    void publish(std::vector<RegistryChange> changes);
    void publish(const std::vector<EvacuationChange> &changes, const StoreSource &source);
    void applyEvacuation(const EvacuationEntry &evacuation, const std::string &key,
                         std::uint64_t revision);
    void armExpiry();
    void replyToPull(const PendingStatePull &pull);
    KnownState knownState() const;
    /// Replies to the pending pulls that this VM has changes for.
    void replyToPulls();
    std::string stateJson() const;

    EntrySettings m_settings;
    Member m_self;
    const WireAdapter &m_adapter;
    RegistrySinks m_sinks;
    Metrics &m_metrics;
    Duty<RegistryMessage> m_duty;
    StoreConnection m_connection;
    StateFollower m_follower;
    StoreView m_storeView;
    /// Null if the settings contain no peer address.
    std::unique_ptr<MemberExchange> m_members;
    PoolAccess m_pool;
    PermitAccess m_permits;
    CapacityAccess m_capacity;
    PendingStatePulls m_pendingPulls;
    Timer m_memberTick;
    Timer m_fetchTimer;
    Timer m_pullTimer;
    Timer m_expiryTimer;
    /// What the pages of the listing in progress contain.
    std::vector<RegisteredTarget> m_listedTargets;
    std::set<std::string> m_listedEvacuations;
    std::optional<StoreSource> m_lastSource;
    std::uint64_t m_pullSequence = 0;
    Clock::time_point m_fetchStartedAt{};
    Clock::time_point m_unavailableSince{};
};

} // namespace mangoshift
