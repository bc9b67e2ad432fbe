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

/// A piece of a document's text, named by its hash.
struct ConfigPart
{
    std::uint64_t hash = 0;
    std::string text;
};

/// Returns the hash by which a part is named.
std::uint64_t partHash(const std::string &text);

/// Asks a VM for parts of a version; no hashes asks for the list of its parts.
struct PullConfig
{
    VmId vm;
    ConfigVersion version = 0;
    std::vector<std::uint64_t> hashes;
};

/// What a VM answers: the list of the parts of the version it has in force, or the parts asked for.
struct ConfigPullReply
{
    ConfigVersion version = 0;
    std::vector<std::uint64_t> partHashes;
    std::vector<ConfigPart> parts;
};

/// Asks for the document made of these parts, in order, to be checked; the result goes to
/// `ConfigStore::onDocumentChecked`.
struct CheckDocument
{
    ConfigVersion version = 0;
    std::vector<std::string> parts;
};

/// Puts a document that was checked in force.
struct PutInForce
{
    ConfigVersion version = 0;
};

/// Tells others at once that this VM holds another version: `vm`, where it is named, and some
/// chosen at random.
struct AnnounceConfig
{
    VmId vm;
};

using ConfigAction = std::variant<PullConfig, CheckDocument, PutInForce, AnnounceConfig>;
using ConfigActions = std::vector<ConfigAction>;

/// Holds the configuration in force and decides what to fetch and what to put in force.
///
/// Only a greater version than the one in force is ever put in force, whoever brings it. Versions
/// are heard of in heartbeats; only the parts that this VM lacks are pulled. A VM that has none
/// takes no version below the greatest that it has heard of, so that a stale platform cannot bring
/// back an old one while a peer holds a newer.
///
/// A version that came from the platform is held first, and put in force once another VM is known
/// to hold it too: the end of one VM then takes no version that was in force out of the fleet, even
/// while the platform is down. A VM that hears from nobody puts it in force after a short patience.
/// No input or output; not thread safe.
class ConfigStore
{
public:
    /// Takes a version that a peer has in force. `mayFetch` says whether enough peers have been
    /// heard for a fetch from one of them to make sense.
    ConfigActions onPeerHeartbeat(const VmId &vm, ConfigVersion version, bool mayFetch,
                                  Clock::time_point now);
    /// Takes a peer's answer to a pull.
    ConfigActions onPullReply(const ConfigPullReply &pullReply, Clock::time_point now);
    /// Takes a document that the platform gave, split into parts.
    ConfigActions onPlatformDocument(ConfigVersion version, std::vector<ConfigPart> parts,
                                     Clock::time_point now);
    /// Tells the result of a check. `hasPeers` says whether there is another live VM.
    ConfigActions onDocumentChecked(ConfigVersion version, bool isAccepted, bool hasPeers,
                                    Clock::time_point now);
    /// To be called now and then: gives up pulls that were not answered, and waits for others to
    /// hold a version no longer than the patience.
    ConfigActions onTick(Clock::time_point now);

    /// Answers a peer's pull.
    ConfigPullReply pullReply(ConfigVersion version,
                              const std::vector<std::uint64_t> &hashes) const;
    /// The version in force, 0 while there is none.
    ConfigVersion version() const { return m_version; }
    /// The version that it can give to others: the one in force, or one about to be.
    ConfigVersion heldVersion() const { return m_held; }
    /// The greatest version that was heard of, from anyone.
    ConfigVersion newestKnownVersion() const { return m_newestHeard; }
    /// The version after which the platform is to be watched: the greatest one that was checked,
    /// whatever came of it.
    ConfigVersion newestCheckedVersion() const;

private:
    /// A fetch from a peer.
    struct Fetch
    {
        VmId vm;
        ConfigVersion version = 0;
        std::vector<std::uint64_t> hashes;
        Clock::time_point giveUpAt;
    };

    /// A document that waits for its check.
    struct Checked
    {
        std::vector<std::uint64_t> hashes;
        std::vector<ConfigPart> parts;
        /// The peer that it came from; empty where it was the platform.
        VmId vm;
    };

    bool isWanted(ConfigVersion version) const;
    bool isHeldBack(ConfigVersion version, Clock::time_point now);
    ConfigActions check(ConfigVersion version, const std::vector<std::uint64_t> &hashes,
                        std::vector<ConfigPart> parts, const VmId &vm);
    void hold(ConfigVersion version, Checked checked);
    ConfigActions putInForce();
    ConfigActions onList(const ConfigPullReply &pullReply, Clock::time_point now);

    ConfigVersion m_version = 0;
    /// The version of `m_hashes` and `m_parts`; at least `m_version`.
    ConfigVersion m_held = 0;
    Clock::time_point m_putInForceBy;
    ConfigVersion m_newestHeard = 0;
    std::vector<std::uint64_t> m_hashes;
    std::unordered_map<std::uint64_t, std::string> m_parts;
    std::optional<Fetch> m_fetch;
    std::map<ConfigVersion, Checked> m_checking;
    std::set<ConfigVersion> m_rejected;
    std::optional<Clock::time_point> m_heldBackSince;
};

/// Returns whether `next` lacks more than half of the targets of `current`.
bool removesMostTargets(const Document &current, const Document &next);

/// Returns whether `next` was edited from a version that had been replaced before it was published:
/// whoever edited it may not have seen the version `current`. Documents that name no base pass.
bool hasStaleBase(const Document &current, const Document &next);

/// The VMs of each failure domain that watch the platform; the others hear from them.
constexpr std::size_t WatchersPerDomain = 2;

/// Returns whether `self` is among the watchers of its failure domain: the first by rendezvous hash
/// among its VMs that live and do not leave.
bool isPlatformWatcher(const MemberView &view, const Member &self);

/// Returns how often a VM that does not watch reads the platform all the same. It grows with the
/// number of VMs in the domain, so that a domain's reads do not.
std::chrono::seconds fallbackInterval(const MemberView &view, const Member &self);

} // namespace mangoshift
