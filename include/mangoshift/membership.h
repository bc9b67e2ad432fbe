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

/// What one VM holds of another. The values are those of the wire.
enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Leaving };

/// One VM's entry in the membership table.
struct MemberRecord
{
    Member member;
    /// Raised only by the VM itself, to refute what others say of it.
    std::uint64_t revision = 0;
    MemberState state = MemberState::Alive;
};

/// Returns whether `record` replaces `held`, both being of the same VM. The greater revision wins;
/// with equal ones dead wins over leaving, leaving over suspect, suspect over alive.
bool supersedes(const MemberRecord &record, const MemberRecord &held);

enum class HeartbeatKind : std::uint8_t { Ping, Ack, PingRequest };

/// What VMs send each other over UDP.
struct HeartbeatMessage
{
    HeartbeatKind kind = HeartbeatKind::Ping;
    std::uint64_t sequence = 0;
    MemberRecord sender;
    /// Of a ping request: the VM to ping. Of an answer to one: the VM that answered.
    VmId subject;
    ConfigVersion configVersion = 0;
    std::uint64_t membersHash = 0;
    std::vector<MemberRecord> updates;
};

/// Asks for a heartbeat to be sent to an `IP:port`.
struct SendHeartbeat
{
    std::string address;
    HeartbeatMessage message;
};

/// Asks for the whole table of a VM; its answer goes to `Membership::onTable`.
struct PullMembers
{
    VmId vm;
};

/// Says that `Membership::view` has changed.
struct ViewChanged
{
};

/// Says that a VM's state has changed, for the log.
struct MemberStateChanged
{
    VmId vm;
    MemberState state = MemberState::Alive;
    std::uint64_t revision = 0;
};

using MembershipAction = std::variant<SendHeartbeat, PullMembers, ViewChanged, MemberStateChanged>;
using MembershipActions = std::vector<MembershipAction>;

/// Times and sizes of the protocol among VMs.
struct MembershipOptions
{
    /// Between two calls of `Membership::onTick`.
    std::chrono::milliseconds tickInterval{100};
    /// Between two probes of members, one member each.
    std::chrono::milliseconds probePeriod{300};
    /// After which a probe that was not answered is tried through other VMs.
    std::chrono::milliseconds probeTimeout{120};
    /// From suspicion to death, up to ten VMs; longer by the logarithm of the number.
    std::chrono::milliseconds suspicionTimeout{1000};
    /// A gap between ticks from which this VM doubts its own view.
    std::chrono::milliseconds pause{1000};
    /// Between two probes of candidates by a VM that knows of none that lives.
    std::chrono::milliseconds isolatedProbePeriod{300};
    /// Between two probes of VMs that are not held to be alive.
    std::chrono::milliseconds candidatePeriod{2000};
    /// How long a new VM waits for answers before it counts itself as alone.
    std::chrono::milliseconds joinPatience{2000};
    /// How long a woken VM condemns nobody unless it has heard from others.
    std::chrono::milliseconds doubtPatience{5000};
    /// How long the dead are remembered once the platform's list lacks them.
    std::chrono::minutes deadMemory{10};
    std::size_t indirectProbes = 3;
    /// VMs that are told at once of another configuration; heartbeats tell the others.
    std::size_t announceFanOut = 2;
    /// VMs that are told at once of a leave; gossip tells the others.
    std::size_t leaveFanOut = 64;
    /// The bytes of updates in one heartbeat, so that it fits one datagram of 1,200 bytes.
    std::size_t updateBytes = 800;
    /// The bytes a second that pulls of the whole table may take.
    std::size_t pullBytesPerSecond = 1024;
};

/// Decides which VMs are alive, by probes, indirect probes, suspicion and gossip (SWIM).
///
/// Each period it probes one member, so that a VM's messages a second do not depend on the number
/// of VMs. Time-outs count only time in which this process ran: what a late tick missed is added to
/// them. After a pause the VM doubts its view until a probe that it sent since, or the platform, is
/// answered. It does no input or output: events and the time go in, actions come out.
/// Not thread safe.
class Membership
{
public:
    Membership(Member self, MembershipOptions options, std::uint64_t seed, Clock::time_point now);

    /// To be called every `MembershipOptions::tickInterval`.
    MembershipActions onTick(Clock::time_point now);
    MembershipActions onHeartbeat(const HeartbeatMessage &message, Clock::time_point now);
    /// Takes the platform's list. It lags, so it only names VMs to probe: a VM's own heartbeat
    /// says better whether it lives or leaves. It may hold this VM itself. `askedAt` is when the
    /// list was asked for.
    MembershipActions onPlatformList(const std::vector<Member> &listed, Clock::time_point askedAt,
                                     Clock::time_point now);
    /// Takes another VM's table.
    MembershipActions onTable(const std::vector<MemberRecord> &table, Clock::time_point now);
    /// Sends a heartbeat out of turn to `vm`, where it is named, and to some others, so that they
    /// hear of another configuration soon.
    MembershipActions announce(const VmId &vm);
    /// Sends a heartbeat out of turn to some VMs of other failure domains, so that it shows soon
    /// whether they can be reached; also to ones that count as dead.
    MembershipActions pingOtherDomains();
    /// Says to others that this VM can be a home from now on; does nothing where it could before.
    MembershipActions startServing();
    /// Says to others that this VM leaves.
    MembershipActions leave();

    /// The version that heartbeats carry.
    void setConfigVersion(ConfigVersion version) { m_configVersion = version; }

    /// Returns the live and leaving VMs, this one among them.
    MemberViewPtr view() const { return m_view; }
    /// Returns every record, the dead and this VM's own included.
    std::vector<MemberRecord> table() const;
    /// Returns a hash of the table without the dead; equal tables have equal hashes.
    std::uint64_t tableHash() const;
    /// Takes in that this VM was paused until now, however it was noticed.
    void onPaused(Clock::time_point now);
    /// Whether this VM has slept and not heard from others or the platform since.
    bool isViewStale() const { return m_isDoubtful; }
    /// Whether enough peers have answered, or none did within the patience of a new VM after the
    /// platform's list was read. False while neither the platform nor any peer was ever reached.
    bool hasJoined(Clock::time_point now) const;
    const MemberRecord &self() const { return m_self; }

private:
    struct Entry
    {
        MemberRecord record;
        Clock::time_point changedAt;
        /// Of a suspect: when it counts as dead.
        Clock::time_point condemnAt;
    };

    /// The probe of the present period.
    struct Probe
    {
        VmId vm;
        std::uint64_t sequence = 0;
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

    void allowForDelay(Clock::duration gap, Clock::time_point now);
    void checkProbe(Clock::time_point now);
    void condemnSuspects(Clock::time_point now);
    void startProbe(Clock::time_point now);
    void probeCandidates(Clock::time_point now);
    void forgetDead(Clock::time_point now);
    void sendClaims();
    void answerPing(const HeartbeatMessage &message);
    void relayPing(const HeartbeatMessage &message, Clock::time_point now);
    void onAck(const HeartbeatMessage &message);
    void considerPull(const HeartbeatMessage &message, Clock::time_point now);
    void apply(const MemberRecord &record, Clock::time_point now);
    void refute(const MemberRecord &claim, Clock::time_point now);
    void setRecord(Entry &entry, const MemberRecord &record, Clock::time_point now);
    void change(const VmId &vm, MemberState state, Clock::time_point now);
    void send(const std::string &address, const VmId &to, HeartbeatMessage message);
    void addUpdates(HeartbeatMessage &message, const VmId &to);
    void spread(const VmId &vm);
    std::optional<VmId> nextMember();
    std::optional<Member> nextCandidate();
    Clock::duration suspicionTime() const;
    Clock::duration pullInterval() const;
    std::size_t liveCount() const;
    MembershipActions take();

    MembershipOptions m_options;
    std::mt19937_64 m_random;
    MemberRecord m_self;
    ConfigVersion m_configVersion = 0;
    std::map<VmId, Entry> m_entries;
    std::map<VmId, Member> m_listed;
    bool m_wasListed = false;
    Clock::time_point m_listedAt;
    MemberViewPtr m_view;
    bool m_isViewOld = true;

    Clock::time_point m_lastTick;
    Clock::time_point m_nextProbe;
    Clock::time_point m_nextCandidateProbe;
    Clock::time_point m_lastChange;
    Clock::time_point m_lastPull;
    bool m_hasPulled = false;
    std::optional<Probe> m_probe;
    std::map<std::uint64_t, RelayedProbe> m_relayed;
    std::vector<VmId> m_probeOrder;
    std::vector<VmId> m_candidateOrder;
    /// How often each changed record is still to be passed on.
    std::map<VmId, std::size_t> m_rumours;
    /// What others say against VMs held to be alive, to be put to those VMs themselves.
    std::deque<MemberRecord> m_claims;
    std::uint64_t m_lastSequence = 0;

    bool m_isDoubtful = false;
    Clock::time_point m_wokeAt;
    std::uint64_t m_wokeSequence = 0;
    std::vector<VmId> m_answered;
    MembershipActions m_actions;
};

} // namespace mangoshift
