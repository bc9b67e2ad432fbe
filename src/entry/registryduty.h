#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "base/metrics.h"
#include "duties/memberexchange.h"
#include "duties/messages.h"
#include "entry/entrysettings.h"
#include "entry/pendingstatepulls.h"
#include "entry/poolaccess.h"
#include "entry/storeconnection.h"
#include "entry/storeview.h"
#include "entry/wireadapter.h"
#include "mangoshift/sourcepicker.h"
#include "mangoshift/storefollower.h"

namespace mangoshift {

/// Where the registry duty hands on what it has learnt.
struct RegistrySinks
{
    std::function<void(RoutingTablePtr)> onRouting;
    std::function<void(std::vector<RegistryChange>)> onTargets;
    /// The registry has been read whole for the first time.
    std::function<void()> onInitialListing;
    /// One read of the store, by its outcome: `ok`, `refused`, `failed` or `history_gone`.
    std::function<void(const char *outcome, Clock::duration)> onRead;
    /// How many VMs there are, at most: the dead are counted until they are forgotten.
    std::function<void(std::size_t)> onFleetSize;
    std::function<void(MemberViewPtr)> onMembers;
    /// A VM of another failure domain was heard.
    std::function<void()> onOtherDomainContact;
    std::function<void(BudgetGrants)> onGrants;
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
};

/// The duty that follows the state of the store: the configuration in force, and which targets
/// there are. It asks the store or another VM, as `SourcePicker` decides, and answers other VMs.
///
/// Puts a configuration in force only if its version is greater than the last, whoever brought it.
class RegistryDuty
{
public:
    /// Throws `asio::system_error` where the address for heartbeats is taken.
    RegistryDuty(const EntrySettings &settings, Member self, const WireAdapter &adapter,
                 RegistrySinks sinks, Metrics &metrics);
    ~RegistryDuty();
    RegistryDuty(const RegistryDuty &) = delete;
    RegistryDuty &operator=(const RegistryDuty &) = delete;

    void start();
    void stop() { m_duty.stop(); }
    /// A frame from another VM, a lost link or VM, a leave, or a request for the state dump.
    /// Returns false where the ring is full.
    bool tryPost(RegistryMessage message) { return m_duty.tryPostMessage(message); }

private:
    using Timer = asio::basic_waitable_timer<Clock>;

    /// How long a question to another VM, or to the store where others rely on this VM, waits for a
    /// change: a VM that is cut off is noticed within this time and the slack.
    static constexpr std::chrono::milliseconds FollowerWait{1000};
    /// How long a peer that did not answer is left alone: as long as a process takes to start
    /// again.
    static constexpr std::chrono::milliseconds PeerBackoff{2000};

    void handle(RegistryMessage &message);
    void onFrame(ControlFrame &message);
    void onView(MemberViewPtr view);
    void armMemberTick();

    void fetchNext();
    void scheduleFetch(Clock::time_point at);
    void perform(const StoreStep &step);
    void fetchFromStore(const std::string &target, std::chrono::milliseconds timeout,
                        bool isListing);
    void onResult(const StoreConnection::Result &result, bool isListing);
    void continueWith(const StoreStep &step);
    void onPage(const StoreResponse &response);
    void replaceTargets(const std::vector<RegisteredTarget> &targets, std::uint64_t revision);
    void onStoreResponse();
    void onStoreFailure(const std::string &why);

    void fetchFromPeer(const VmId &vm);
    void onPeerState(wire::StateReplyT &reply);
    void onPeerFailure(const char *why);
    void applyPeerState(const PeerState &state);

    void applyEntry(const StoreEntry &entry, std::uint64_t revision);
    void applyConfiguration(const RoutingDocument &document, const std::string &bytes,
                            std::uint64_t revision);
    void setLastSource(const StoreSource &source);
    void publish(std::vector<RegistryChange> changes);
    void armExpiry();
    void replyToPull(const PendingStatePull &question);
    void replyToPulls();
    std::string stateJson() const;

    EntrySettings m_settings;
    Member m_self;
    const WireAdapter &m_adapter;
    RegistrySinks m_sinks;
    Metrics &m_metrics;
    Duty<RegistryMessage> m_duty;
    StoreConnection m_connection;
    StoreFollower m_follower;
    StoreView m_storeView;
    SourcePicker m_picker;
    /// Without a peer address this VM knows of no others.
    std::unique_ptr<MemberExchange> m_members;
    PoolAccess m_pool;
    PendingStatePulls m_pendingPulls;
    Timer m_memberTick;
    Timer m_fetchTimer;
    Timer m_pullTimer;
    Timer m_expiryTimer;
    std::vector<RegisteredTarget> m_listedTargets;
    /// What is being asked; no value while nothing is.
    std::optional<StoreSource> m_pendingSource;
    std::optional<StoreSource> m_lastSource;
    std::uint64_t m_pullSequence = 0;
    Clock::time_point m_fetchStartedAt{};
    Clock::time_point m_unavailableSince{};
};

} // namespace mangoshift
