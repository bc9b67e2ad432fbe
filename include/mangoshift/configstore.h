#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/document.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// A piece of a document's text, identified by its hash.
struct ConfigPart
{
    std::uint64_t hash = 0;
    std::string text;
};

/// Returns the hash that identifies a part.
std::uint64_t partHash(const std::string &text);

/// Requests the parts of a version that have the given hashes from a VM, or the list of its parts
/// if `hashes` is empty.
struct PullConfig
{
    VmId vm;
    ConfigVersion version = 0;
    std::vector<std::uint64_t> hashes;
};

/// A VM's reply to a pull: the list of the parts of the version that it holds, or the requested
/// parts.
struct ConfigPullReply
{
    ConfigVersion version = 0;
    std::vector<std::uint64_t> partHashes;
    std::vector<ConfigPart> parts;
};

/// Requests validation of the document that these parts, in order, form. The result goes to
/// `ConfigStore::onDocumentChecked`.
struct CheckDocument
{
    ConfigVersion version = 0;
    std::vector<std::string> parts;
};

/// Puts a document that passed its check in force.
struct PutInForce
{
    ConfigVersion version = 0;
};

/// Sends the version that this VM now holds to a few VMs chosen at random, and to `vm` unless it is
/// empty, without waiting for the next regular heartbeats.
struct AnnounceConfig
{
    VmId vm;
};

using ConfigAction = std::variant<PullConfig, CheckDocument, PutInForce, AnnounceConfig>;
using ConfigActions = std::vector<ConfigAction>;

/// Holds the configuration in force and decides which versions to fetch and to put in force.
///
/// A version is put in force only if it is greater than the one in force, whatever its source.
/// Heartbeats carry the versions of peers; only the parts that this VM lacks are pulled. A VM
/// without a configuration waits a few seconds for the greatest known version before it accepts a
/// smaller one, so that a stale platform cannot bring back an old version while a peer holds a
/// newer one.
///
/// A version from the platform is first held, and put in force once another VM is known to hold it
/// too. The loss of one VM then removes no version that was in force from the fleet, even while the
/// platform is down. If no peer confirms the version, it is put in force after a short timeout.
///
/// Performs no input or output. Not thread safe.
class ConfigStore
{
public:
    /// Handles the version that a peer holds, as reported by its heartbeat. `mayFetch` tells
    /// whether enough peers have been in contact to fetch a version from one of them.
    ConfigActions onPeerHeartbeat(const VmId &vm, ConfigVersion version, bool mayFetch,
                                  Clock::time_point now);
    /// Handles a peer's reply to a pull.
    ConfigActions onPullReply(const ConfigPullReply &pullReply, Clock::time_point now);
    /// Handles a document from the platform, split into parts.
    ConfigActions onPlatformDocument(ConfigVersion version, std::vector<ConfigPart> parts,
                                     Clock::time_point now);
    /// Handles the result of a check. `hasPeers` tells whether there is another live VM.
    ConfigActions onDocumentChecked(ConfigVersion version, bool isAccepted, bool hasPeers,
                                    Clock::time_point now);
    /// Abandons pulls that timed out, and puts a held version in force once the wait for another VM
    /// to hold it has timed out. To be called several times a second.
    ConfigActions onTick(Clock::time_point now);

    /// Returns the reply to a peer's pull.
    ConfigPullReply pullReply(ConfigVersion version,
                              const std::vector<std::uint64_t> &hashes) const;
    /// Returns the version in force, 0 while there is none.
    ConfigVersion version() const { return m_version; }
    /// Returns the version that peers can pull: the one in force, or the held one that is to be
    /// put in force next.
    ConfigVersion heldVersion() const { return m_heldVersion; }
    /// Returns the greatest version that any peer's heartbeat carried or that was in force here.
    ConfigVersion newestKnownVersion() const { return m_newestKnownVersion; }
    /// Returns the version after which the platform is to be watched: the greatest one that was
    /// checked, whether accepted or rejected.
    ConfigVersion newestCheckedVersion() const;

private:
    /// A pending fetch from a peer.
    struct Fetch
    {
        VmId vm;
        ConfigVersion version = 0;
        std::vector<std::uint64_t> hashes;
        Clock::time_point timeoutAt;
    };

    /// A document whose check is pending.
    struct PendingCheck
    {
        std::vector<std::uint64_t> hashes;
        std::vector<ConfigPart> parts;
        /// The peer that sent the document; empty if it came from the platform.
        VmId vm;
    };

    bool isWanted(ConfigVersion version) const;
    bool isDeferred(ConfigVersion version, Clock::time_point now);
    ConfigActions check(ConfigVersion version, const std::vector<std::uint64_t> &hashes,
                        std::vector<ConfigPart> parts, const VmId &vm);
    void hold(ConfigVersion version, PendingCheck checked);
    ConfigActions putInForce();
    ConfigActions onPartList(const ConfigPullReply &pullReply, Clock::time_point now);

    ConfigVersion m_version = 0;
    /// The version that `m_hashes` and `m_parts` make up; at least `m_version`.
    ConfigVersion m_heldVersion = 0;
    Clock::time_point m_putInForceBy;
    ConfigVersion m_newestKnownVersion = 0;
    std::vector<std::uint64_t> m_hashes;
    std::unordered_map<std::uint64_t, std::string> m_parts;
    std::optional<Fetch> m_fetch;
    std::map<ConfigVersion, PendingCheck> m_pendingChecks;
    std::set<ConfigVersion> m_rejected;
    std::optional<Clock::time_point> m_deferredSince;
};

/// Returns whether more than half of the targets of `current` are missing from `next`.
bool removesMostTargets(const Document &current, const Document &next);

/// Returns whether `next` was edited from a version older than `current`, so that its editor may
/// not have seen the changes of `current`. Returns false for documents that name no base version.
bool hasStaleBase(const Document &current, const Document &next);

/// The number of VMs in each failure domain that watch the platform. The others fetch new versions
/// from their peers.
constexpr std::size_t PlatformWatchersPerDomain = 2;

/// Returns whether `self` is one of the platform watchers of its failure domain: the VMs with the
/// greatest rendezvous weights among its live VMs that are not leaving.
bool isPlatformWatcher(const MemberView &view, const Member &self);

/// Returns the interval at which a VM that does not watch the platform reads it as a fallback. The
/// interval grows with the number of VMs in the failure domain, so that the domain's total rate of
/// reads does not.
std::chrono::seconds fallbackInterval(const MemberView &view, const Member &self);

} // namespace mangoshift
