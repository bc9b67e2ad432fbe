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

/// The state is asked of the store itself.
struct FromStore
{
    bool operator==(const FromStore &) const = default;
};
/// The state is asked of another VM, which has it from the store or from a VM before it.
struct FromPeer
{
    VmId vm;
    bool operator==(const FromPeer &) const = default;
};
using StoreSource = std::variant<FromStore, FromPeer>;

/// Returns the VM's name, or `store`.
std::string toString(const StoreSource &source);

/// Decides where a VM asks for the state of the store: at the store, or at another VM.
///
/// In each failure domain the first few VMs by rendezvous hash watch the store, so that its calls
/// do not grow with the fleet; the others ask those, and the store only where none of them answers
/// from fresh knowledge. A VM that cannot reach the store asks whom it can, and a VM that starts
/// asks those that have started before it, so that it serves also while the store is away. Reads no
/// clock. Not thread safe.
class SourcePicker
{
public:
    /// `seeds` are the peer addresses by which VMs find each other when they start. A VM without a
    /// peer address of its own asks the store only.
    SourcePicker(Member self, std::vector<std::string> seeds, Clock::time_point startedAt);

    /// Takes in which VMs are held to be alive.
    void setMembers(MemberViewPtr members) { m_members = std::move(members); }
    /// Takes in that this VM knows the state of the store as it once was.
    void setHasState() { m_hasState = true; }
    /// Returns where to ask now; no value where `retryAt` is to be awaited.
    std::optional<StoreSource> pick(Clock::time_point now) const;
    /// Returns when `pick` may say something else than at `now`.
    Clock::time_point retryAt(Clock::time_point now) const;
    /// Takes in that a source answered from fresh knowledge.
    void onSourceSucceeded(const StoreSource &source, Clock::time_point now);
    /// Takes in that a source did not answer, or not from fresh knowledge. It is asked again from
    /// `retryAt` on.
    void onSourceFailed(const StoreSource &source, Clock::time_point retryAt);

    /// Returns whether this VM is among the watchers of its domain.
    bool isWatcher() const;
    /// Returns whether there are VMs in this VM's domain that are no watchers.
    bool hasFollowers() const;

private:
    bool hasPeers() const { return !m_self.peerAddress.empty(); }
    bool isSeed(const Member &member) const;
    bool isJoining(Clock::time_point now) const;
    /// Whom a VM asks that knows nothing yet, before others.
    std::vector<StoreSource> firstSources(Clock::time_point now) const;
    std::vector<const Member *> domainByRank(const std::string &domain) const;
    std::vector<StoreSource> sources(Clock::time_point now) const;
    Clock::time_point avoidedUntil(const StoreSource &source) const;

    Member m_self;
    std::vector<std::string> m_seeds;
    Clock::time_point m_startedAt;
    bool m_hasState = false;
    MemberViewPtr m_members;
    bool hasFailed(const StoreSource &source) const;

    /// What has failed since the last answer.
    std::vector<StoreSource> m_failed;
    /// Until when the store, and each peer that has failed, are left alone.
    Clock::time_point m_storeAvoidedUntil{};
    bool m_hasStoreFailed = false;
    std::map<VmId, Clock::time_point> m_peersAvoidedUntil;
};

} // namespace mangoshift
