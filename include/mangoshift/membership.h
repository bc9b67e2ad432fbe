#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/document.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// The state of a VM as seen by another one. The values are those on the wire.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Leaving };

/// One VM's entry in the membership table.
struct MemberRecord
{
    Member member;
    /// Incremented only by the VM itself: to refute the claims of other VMs about it, when it
    /// starts serving and when it leaves.
    std::uint64_t revision = 0;
    MemberState state = MemberState::Alive;
};

/// Returns whether `record` replaces `held`, which describes the same VM. The greater revision
/// wins; with equal revisions, dead wins over leaving, leaving over suspect, and suspect over
/// alive. With equal states too, the greater incarnation wins.
bool supersedes(const MemberRecord &record, const MemberRecord &held);

enum class HeartbeatKind : std::uint8_t { Ping, Ack, PingRequest };

/// A message that VMs exchange over UDP.
struct HeartbeatMessage
{
    HeartbeatKind kind = HeartbeatKind::Ping;
    /// The number of a ping, which its ack repeats.
    std::uint64_t sequence = 0;
    MemberRecord sender;
    /// In a ping request, the VM to ping. In the ack to a ping request, the VM that was pinged.
    VmId subject;
    /// The configuration version that the sender holds.
    ConfigVersion configVersion = 0;
    /// The hash of the sender's table; see `Membership::tableHash`.
    std::uint64_t membersHash = 0;
    /// Changed records that the message propagates.
    std::vector<MemberRecord> updates;
};

/// Sends a heartbeat to an `IP:port`.
struct SendHeartbeat
{
    std::string address;
    HeartbeatMessage message;
};

/// Requests the whole membership table of a VM. The reply goes to `Membership::onTable`.
struct PullMembers
{
    VmId vm;
};

/// Notifies that `Membership::view` has changed.
struct ViewChanged
{
};

/// Notifies that a VM's state has changed, for the log.
struct MemberStateChanged
{
    VmId vm;
    MemberState state = MemberState::Alive;
    std::uint64_t revision = 0;
};

using MembershipAction = std::variant<SendHeartbeat, PullMembers, ViewChanged, MemberStateChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// Times and sizes of the membership protocol.
struct MembershipOptions
{
    /// The interval between two calls of `Membership::onTick`.
    std::chrono::milliseconds tickInterval{100};
    /// The interval between two probes, and the time after which a probe without an ack has failed.
    /// Each probe goes to one member.
    std::chrono::milliseconds probePeriod{300};
    /// How long a probe may stay without an ack before it is repeated through other VMs.
    std::chrono::milliseconds probeTimeout{120};
    /// How long a suspect may take to refute the suspicion before it counts as dead, for up to ten
    /// VMs. In larger fleets the time grows with the logarithm of the number of VMs.
    std::chrono::milliseconds suspicionTimeout{1000};
    /// A gap between two ticks of at least this long counts as a pause, after which this VM's view
    /// is stale.
    std::chrono::milliseconds pauseThreshold{1000};
    /// The interval between two rounds of candidate probes by a VM that knows of no live peer.
    /// Candidates are VMs that are listed by the platform or known to be dead, and do not count as
    /// alive.
    std::chrono::milliseconds isolatedProbePeriod{300};
    /// The interval between two candidate probes by any other VM.
    std::chrono::milliseconds candidateProbePeriod{2000};
    /// How long after the platform's first list a new VM waits for acks before it counts as joined
    /// without them.
    std::chrono::milliseconds joinTimeout{2000};
    /// How long after a pause a VM declares no suspect dead, unless its view ceases to be stale
    /// earlier.
    std::chrono::milliseconds staleViewTimeout{5000};
    /// How long records of dead VMs are kept if the platform's list does not contain them.
    std::chrono::minutes deadRetention{10};
    /// How many VMs are requested to repeat a probe that got no ack.
    std::size_t indirectProbes = 3;
    /// How many VMs are notified immediately of a new configuration version. Regular heartbeats
    /// notify the others.
    std::size_t announceFanOut = 2;
    /// How many VMs are notified immediately when this VM leaves. Gossip notifies the others.
    std::size_t leaveFanOut = 64;
    /// The bytes of updates in one heartbeat, so that it fits into one datagram of 1,200 bytes.
    std::size_t maxUpdateBytes = 800;
    /// The bytes a second that pulls of whole tables may take.
    std::size_t pullBytesPerSecond = 1024;
};

/// Decides which VMs are alive, by probes, indirect probes, suspicion and gossip (SWIM).
///
/// Each period this VM probes one member, so that the messages that a VM sends in a second do not
/// depend on the number of VMs. Timeouts count only the time during which this process ran: the
/// delay of a late tick extends them. After a pause the view is stale until a probe sent since then
/// is acknowledged, or the platform's list has been requested and received since then.
///
/// Performs no input or output: events and the time go in, actions come out. Not thread safe.
class Membership
{
public:
    /// Creates the membership of the VM `self`, which knows no other VM yet. `seed` seeds the
    /// random choice of VMs to probe.
    Membership(Member self, MembershipOptions options, std::uint64_t seed, Clock::time_point now);

    /// Checks all timeouts and starts probes. To be called every `MembershipOptions::tickInterval`.
    MembershipActions onTick(Clock::time_point now);
    /// Handles a heartbeat from another VM. Ignores it if it does not name its sender.
    MembershipActions onHeartbeat(const HeartbeatMessage &message, Clock::time_point now);
    /// Handles the platform's list. The list lags behind, so it only names VMs to probe: a VM's own
    /// heartbeat tells more reliably whether it is alive or leaving. The list may contain this VM.
    /// `requestedAt` is when the list was requested.
    MembershipActions onPlatformList(const std::vector<Member> &listed,
                                     Clock::time_point requestedAt, Clock::time_point now);
    /// Merges another VM's table into this VM's.
    MembershipActions onTable(const std::vector<MemberRecord> &table, Clock::time_point now);
    /// Sends an extra heartbeat to `vm`, unless it is empty, and to a few other VMs, so that they
    /// soon receive this VM's configuration version.
    MembershipActions announce(const VmId &vm);
    /// Sends an extra heartbeat to a few VMs of other failure domains, to find out soon whether
    /// they can be reached. Includes VMs that count as dead if too few others are known.
    MembershipActions pingOtherDomains();
    /// Announces that this VM can be a home from now on. Does nothing if it already could.
    MembershipActions startServing();
    /// Announces that this VM is leaving. Does nothing if it is already leaving.
    MembershipActions leave();

    /// Sets the configuration version that heartbeats carry.
    void setConfigVersion(ConfigVersion version) { m_configVersion = version; }

    /// Returns the VMs that do not count as dead, including this VM.
    MemberViewPtr view() const { return m_view; }
    /// Returns every record, including those of dead VMs and this VM's own.
    std::vector<MemberRecord> table() const;
    /// Returns a hash of the table without dead VMs. Equal tables have equal hashes.
    std::uint64_t tableHash() const;
    /// Marks the view as stale because this VM was paused until now, however that was detected.
    void onPaused(Clock::time_point now);
    /// Returns whether this VM was paused and has since received neither an ack of a ping that it
    /// sent after the pause nor a platform list that it requested after the pause.
    bool isViewStale() const { return m_isViewStale; }
    /// Returns whether enough peers have sent an ack, or the join timeout after the platform's
    /// first list has passed. Without a list one peer is enough; with a list two are needed, or all
    /// known peers if there are fewer.
    bool hasJoined(Clock::time_point now) const;
    /// Returns this VM's own record.
    const MemberRecord &self() const { return m_self; }

private:
    struct Entry
    {
        MemberRecord record;
        Clock::time_point changedAt;
        /// When a suspect counts as dead.
        Clock::time_point deadAt;
    };

    /// The probe of the current period.
    struct Probe
    {
        VmId vm;
        std::uint64_t sequence = 0;
        /// When the probe is repeated through other VMs, and when it has failed.
        Clock::time_point indirectAt;
        Clock::time_point failAt;
        bool isIndirect = false;
    };

    /// A ping sent on behalf of another VM.
    struct RelayedProbe
    {
        std::string requesterAddress;
        std::uint64_t requesterSequence = 0;
        VmId subject;
        Clock::time_point expiresAt;
    };

    void extendTimeouts(Clock::duration gap, Clock::time_point now);
    void checkProbe(Clock::time_point now);
    void expireSuspects(Clock::time_point now);
    void startProbe(Clock::time_point now);
    void probeCandidates(Clock::time_point now);
    void removeDead(Clock::time_point now);
    void sendClaims();
    void ackPing(const HeartbeatMessage &message);
    void relayPing(const HeartbeatMessage &message, Clock::time_point now);
    void onAck(const HeartbeatMessage &message);
    void pullIfDue(const HeartbeatMessage &message, Clock::time_point now);
    void applyRecord(const MemberRecord &record, Clock::time_point now);
    void refute(const MemberRecord &claim, Clock::time_point now);
    void setRecord(Entry &entry, const MemberRecord &record, Clock::time_point now);
    void changeState(const VmId &vm, MemberState state, Clock::time_point now);
    void sendHeartbeat(const std::string &address, const VmId &to, HeartbeatMessage message);
    void addUpdates(HeartbeatMessage &message, const VmId &to);
    void queueUpdate(const VmId &vm);
    std::optional<VmId> nextMember();
    std::optional<Member> nextCandidate();
    Clock::duration scaledSuspicionTimeout() const;
    Clock::duration pullInterval() const;
    std::size_t liveCount() const;
    MembershipActions takeActions();

    MembershipOptions m_options;
    std::mt19937_64 m_random;
    MemberRecord m_self;
    ConfigVersion m_configVersion = 0;
    std::map<VmId, Entry> m_entries;
    std::map<VmId, Member> m_listedMembers;
    bool m_hasPlatformList = false;
    Clock::time_point m_firstListedAt;
    MemberViewPtr m_view;
    bool m_isViewDirty = true;

    Clock::time_point m_lastTickAt;
    Clock::time_point m_nextProbeAt;
    Clock::time_point m_nextCandidateProbeAt;
    Clock::time_point m_lastChangeAt;
    Clock::time_point m_lastPullAt;
    bool m_hasPulled = false;
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, RelayedProbe> m_relayed;
    std::vector<VmId> m_probeOrder;
    std::vector<VmId> m_candidateOrder;
    /// How many more times each changed record is to be propagated.
    std::map<VmId, std::size_t> m_pendingUpdates;
    /// Claims by other VMs that a VM which counts as alive here is suspect or dead. They are sent
    /// to that VM, so that it can refute them.
    std::deque<MemberRecord> m_claims;
    std::uint64_t m_lastSequence = 0;

    bool m_isViewStale = false;
    Clock::time_point m_pauseEndedAt;
    std::uint64_t m_sequenceAtPauseEnd = 0;
    /// The first peers that sent an ack; `hasJoined` needs no more than two.
    std::vector<VmId> m_ackedBy;
    MembershipActions m_actions;
};

} // namespace mangoshift
