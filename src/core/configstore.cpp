#include "mangoshift/configstore.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "mangoshift/placement.h"

namespace mangoshift {

namespace {

/// How long a pull may stay without a reply.
constexpr std::chrono::seconds FetchTimeout{1};
/// How long a VM without a configuration waits for the newest known version before it accepts an
/// older one.
constexpr std::chrono::seconds FirstVersionTimeout{5};
/// How long a version from the platform waits for another VM to hold it too before it is put in
/// force regardless.
constexpr std::chrono::seconds ConfirmationTimeout{1};
constexpr std::size_t MaxRejectedRemembered = 64;
/// The shortest interval between two fallback reads of the platform by a VM that does not watch it.
constexpr std::chrono::seconds MinFallbackInterval{60};
/// How much each VM of a failure domain adds to the fallback interval of the domain's VMs. Equals
/// the average interval between two fallback reads by any VM of a large domain.
constexpr std::chrono::seconds FallbackIntervalPerVm{10};

} // namespace

std::uint64_t partHash(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

bool ConfigStore::isWanted(ConfigVersion version) const
{
    return version > m_heldVersion && !m_rejected.contains(version)
        && !m_pendingChecks.contains(version);
}

bool ConfigStore::isDeferred(ConfigVersion version, Clock::time_point now)
{
    if (m_heldVersion != 0 || version >= m_newestKnownVersion)
        return false;
    if (!m_deferredSince)
        m_deferredSince = now;
    return now - *m_deferredSince < FirstVersionTimeout;
}

ConfigActions ConfigStore::onPeerHeartbeat(const VmId &vm, ConfigVersion version, bool mayFetch,
                                           Clock::time_point now)
{
    m_newestKnownVersion = std::max(m_newestKnownVersion, version);
    if (m_heldVersion > m_version && version >= m_heldVersion)
        return putInForce();
    if (!mayFetch || !isWanted(version) || m_fetch || isDeferred(version, now))
        return {};
    m_fetch = Fetch{vm, version, {}, now + FetchTimeout};
    return {PullConfig{vm, version, {}}};
}

ConfigActions ConfigStore::onPullReply(const ConfigPullReply &pullReply, Clock::time_point now)
{
    if (!m_fetch)
        return {};
    if (!pullReply.partHashes.empty())
        return onPartList(pullReply, now);
    if (pullReply.version != m_fetch->version || m_fetch->hashes.empty())
        return {};
    const Fetch fetch = *std::exchange(m_fetch, std::nullopt);
    return check(fetch.version, fetch.hashes, pullReply.parts, fetch.vm);
}

ConfigActions ConfigStore::onPartList(const ConfigPullReply &pullReply, Clock::time_point now)
{
    if (!isWanted(pullReply.version)) {
        m_fetch.reset();
        return {};
    }
    std::vector<std::uint64_t> missing;
    for (const std::uint64_t hash : pullReply.partHashes)
        if (!m_parts.contains(hash))
            missing.push_back(hash);
    if (missing.empty()) {
        const VmId vm = std::exchange(m_fetch, std::nullopt)->vm;
        return check(pullReply.version, pullReply.partHashes, {}, vm);
    }
    // The peer may hold a newer version than its heartbeat said. Fetch the one that it holds now.
    m_fetch->version = pullReply.version;
    m_fetch->hashes = pullReply.partHashes;
    m_fetch->timeoutAt = now + FetchTimeout;
    return {PullConfig{m_fetch->vm, pullReply.version, std::move(missing)}};
}

ConfigActions ConfigStore::onPlatformDocument(ConfigVersion version, std::vector<ConfigPart> parts,
                                              Clock::time_point now)
{
    if (!isWanted(version) || isDeferred(version, now))
        return {};
    std::vector<std::uint64_t> hashes;
    hashes.reserve(parts.size());
    for (const ConfigPart &part : parts)
        hashes.push_back(part.hash);
    return check(version, hashes, std::move(parts), {});
}

ConfigActions ConfigStore::check(ConfigVersion version, const std::vector<std::uint64_t> &hashes,
                                 std::vector<ConfigPart> parts, const VmId &vm)
{
    // A part whose text does not match its hash counts as missing.
    std::erase_if(parts, [](const ConfigPart &part) { return partHash(part.text) != part.hash; });
    std::unordered_map<std::uint64_t, const std::string *> texts;
    for (const auto &[hash, text] : m_parts)
        texts.emplace(hash, &text);
    for (const ConfigPart &part : parts)
        texts.emplace(part.hash, &part.text);
    CheckDocument document{version, {}};
    document.parts.reserve(hashes.size());
    for (const std::uint64_t hash : hashes) {
        const auto it = texts.find(hash);
        if (it == texts.end())
            return {};
        document.parts.push_back(*it->second);
    }
    m_pendingChecks[version] = {hashes, std::move(parts), vm};
    return {std::move(document)};
}

ConfigActions ConfigStore::onDocumentChecked(ConfigVersion version, bool isAccepted, bool hasPeers,
                                             Clock::time_point now)
{
    const auto it = m_pendingChecks.find(version);
    if (it == m_pendingChecks.end())
        return {};
    PendingCheck checked = std::move(it->second);
    m_pendingChecks.erase(it);
    if (!isAccepted) {
        m_rejected.insert(version);
        if (m_rejected.size() > MaxRejectedRemembered)
            m_rejected.erase(m_rejected.begin());
        return {};
    }
    if (version <= m_heldVersion)
        return {};
    const VmId from = checked.vm;
    hold(version, std::move(checked));
    m_putInForceBy = now + ConfirmationTimeout;
    ConfigActions actions;
    if (!from.empty() || !hasPeers || m_newestKnownVersion >= version)
        actions = putInForce();
    actions.emplace_back(AnnounceConfig{from});
    return actions;
}

void ConfigStore::hold(ConfigVersion version, PendingCheck checked)
{
    std::unordered_map<std::uint64_t, std::string> kept;
    for (ConfigPart &part : checked.parts)
        kept.emplace(part.hash, std::move(part.text));
    for (const std::uint64_t hash : checked.hashes)
        if (const auto held = m_parts.find(hash); held != m_parts.end())
            kept.emplace(hash, std::move(held->second));
    m_heldVersion = version;
    m_hashes = std::move(checked.hashes);
    m_parts = std::move(kept);
    m_rejected.erase(m_rejected.begin(), m_rejected.upper_bound(version));
}

ConfigActions ConfigStore::putInForce()
{
    m_version = m_heldVersion;
    m_newestKnownVersion = std::max(m_newestKnownVersion, m_version);
    return {PutInForce{m_version}};
}

ConfigActions ConfigStore::onTick(Clock::time_point now)
{
    if (m_fetch && now >= m_fetch->timeoutAt)
        m_fetch.reset();
    if (m_heldVersion > m_version && now >= m_putInForceBy)
        return putInForce();
    return {};
}

ConfigVersion ConfigStore::newestCheckedVersion() const
{
    return m_rejected.empty() ? m_heldVersion : std::max(m_heldVersion, *m_rejected.rbegin());
}

ConfigPullReply ConfigStore::pullReply(ConfigVersion version,
                                       const std::vector<std::uint64_t> &hashes) const
{
    ConfigPullReply pullReply;
    pullReply.version = m_heldVersion;
    const bool isList = hashes.empty() || version != m_heldVersion;
    if (isList) {
        pullReply.partHashes = m_hashes;
        return pullReply;
    }
    for (const std::uint64_t hash : hashes)
        if (const auto it = m_parts.find(hash); it != m_parts.end())
            pullReply.parts.push_back({hash, it->second});
    return pullReply;
}

bool removesMostTargets(const Document &current, const Document &next)
{
    std::set<std::string_view> names;
    for (const Target &target : next.targets)
        names.insert(target.name);
    const auto removed = static_cast<std::size_t>(
        std::count_if(current.targets.begin(), current.targets.end(),
                      [&](const Target &target) { return !names.contains(target.name); }));
    return removed * 2 > current.targets.size();
}

bool hasStaleBase(const Document &current, const Document &next)
{
    return next.baseVersion != 0 && next.baseVersion < current.version;
}

bool isPlatformWatcher(const MemberView &view, const Member &self)
{
    const ShardKey key = shardKey("platform-watch", self.failureDomain);
    const std::uint64_t own = rendezvousWeight(key, self.vm);
    std::size_t higherRanked = 0;
    for (const Member &member : view.members)
        if (member.vm != self.vm && member.failureDomain == self.failureDomain && !member.isLeaving
            && rendezvousWeight(key, member.vm) > own)
            ++higherRanked;
    return higherRanked < PlatformWatchersPerDomain;
}

std::chrono::seconds fallbackInterval(const MemberView &view, const Member &self)
{
    const auto inDomain =
        std::count_if(view.members.begin(), view.members.end(), [&](const Member &member) {
            return member.failureDomain == self.failureDomain;
        });
    return std::max<std::chrono::seconds>(MinFallbackInterval, FallbackIntervalPerVm * inDomain);
}

} // namespace mangoshift
