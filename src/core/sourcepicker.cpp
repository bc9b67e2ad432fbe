#include "mangoshift/sourcepicker.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

#include "mangoshift/placement.h"

namespace mangoshift {

namespace {

/// The number of store watchers in each failure domain. Two may be lost within the second that it
/// takes to detect a loss.
constexpr std::size_t StoreWatchersPerDomain = 3;
/// The number of VMs to which one VM serves the state while no other has failed.
constexpr std::size_t FollowersPerVm = 4;
/// The number of other VMs that a VM without state tries before the usual sources.
constexpr std::size_t MaxInitialSources = 8;
/// How long a starting VM uses only other VMs as sources: the 0.3 s within which all VMs of a fleet
/// start.
constexpr std::chrono::milliseconds JoinDuration{300};
/// How long a store that fails this VM is not used while it serves others, from which this VM gets
/// the state. A request to the store that gets no reply delays that by more than a second.
constexpr std::chrono::milliseconds StoreAvoidance{2000};

} // namespace

std::string toString(const StoreSource &source)
{
    const auto *peer = std::get_if<FromPeer>(&source);
    return peer == nullptr ? "store" : peer->vm;
}

SourcePicker::SourcePicker(Member self, std::vector<std::string> seeds, Clock::time_point startedAt)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_startedAt(startedAt)
    , m_members(std::make_shared<MemberView>())
{
}

bool SourcePicker::isSeed(const Member &member) const
{
    return std::find(m_seeds.begin(), m_seeds.end(), member.peerAddress) != m_seeds.end();
}

bool SourcePicker::isJoining(Clock::time_point now) const
{
    // If all VMs start at once, the seeds read the store and the other VMs use the seeds as
    // sources.
    return hasPeers() && !m_hasState && !isSeed(m_self) && now < m_startedAt + JoinDuration;
}

std::vector<const Member *> SourcePicker::rankedDomainMembers(const std::string &domain) const
{
    const ShardKey key = shardKey("store-watch", domain);
    std::vector<const Member *> ranked;
    bool hasSelf = false;
    for (const Member &member : m_members->members) {
        hasSelf |= member.vm == m_self.vm;
        if (member.failureDomain == domain && !member.isLeaving)
            ranked.push_back(&member);
    }
    if (!hasSelf && domain == m_self.failureDomain)
        ranked.push_back(&m_self);
    std::sort(ranked.begin(), ranked.end(), [key](const Member *a, const Member *b) {
        return rendezvousWeight(key, a->vm) > rendezvousWeight(key, b->vm);
    });
    return ranked;
}

bool SourcePicker::isWatcher() const
{
    const auto ranked = rankedDomainMembers(m_self.failureDomain);
    const auto end = ranked.begin()
        + static_cast<std::ptrdiff_t>(std::min(StoreWatchersPerDomain, ranked.size()));
    return std::any_of(ranked.begin(), end,
                       [this](const Member *each) { return each->vm == m_self.vm; });
}

bool SourcePicker::hasFollowers() const
{
    return rankedDomainMembers(m_self.failureDomain).size() > StoreWatchersPerDomain;
}

std::vector<StoreSource> SourcePicker::domainSources() const
{
    const std::vector<const Member *> ranked = rankedDomainMembers(m_self.failureDomain);
    const std::size_t watchers = std::min(StoreWatchersPerDomain, ranked.size());
    const auto self = std::find_if(ranked.begin(), ranked.end(),
                                   [this](const Member *each) { return each->vm == m_self.vm; });
    const auto rank = static_cast<std::size_t>(self - ranked.begin());
    const auto parentOf = [](std::size_t child) {
        return (child - StoreWatchersPerDomain) / FollowersPerVm;
    };
    std::vector<StoreSource> sources;
    const auto add = [&](std::size_t index) {
        const StoreSource source = FromPeer{ranked[index]->vm};
        if (index != rank && std::find(sources.begin(), sources.end(), source) == sources.end())
            sources.push_back(source);
    };
    std::size_t root = rank;
    if (rank >= StoreWatchersPerDomain && self != ranked.end())
        add(parentOf(rank));
    while (root >= StoreWatchersPerDomain)
        root = parentOf(root);
    // The watcher that the parent depends on comes last. The VMs below it turn to different ones.
    for (std::size_t i = 0; i + 1 < watchers; ++i)
        add((root + 1 + (rank + i) % (watchers - 1)) % watchers);
    if (root < watchers)
        add(root);
    return sources;
}

std::vector<StoreSource> SourcePicker::initialSources(Clock::time_point now) const
{
    // Those of the own domain first, in an order that differs from VM to VM.
    const ShardKey key = shardKey("first-state", m_self.vm);
    std::vector<std::tuple<bool, std::uint64_t, const Member *>> ranked;
    ranked.reserve(m_members->members.size());
    for (const Member &member : m_members->members)
        if (member.vm != m_self.vm)
            ranked.emplace_back(member.failureDomain != m_self.failureDomain,
                                rendezvousWeight(key, member.vm), &member);
    std::sort(ranked.begin(), ranked.end());
    std::vector<StoreSource> first;
    const auto add = [&](auto isWanted) {
        for (const auto &[isFar, weight, member] : ranked)
            if (first.size() < MaxInitialSources && isWanted(*member))
                first.emplace_back(FromPeer{member->vm});
    };
    // A VM that has started can supply its state immediately. The store may be unavailable, and
    // replies in many pages.
    add([](const Member &member) { return !member.isStarting; });
    if (isJoining(now))
        add([this](const Member &member) { return member.isStarting && isSeed(member); });
    return first;
}

std::vector<StoreSource> SourcePicker::sources(Clock::time_point now) const
{
    if (!hasPeers())
        return {FromStore{}};
    std::vector<StoreSource> sources;
    if (!m_hasState)
        sources = initialSources(now);
    if (isJoining(now))
        return sources;
    const auto addWatchers = [&](const std::string &domain) {
        const std::vector<const Member *> ranked = rankedDomainMembers(domain);
        for (std::size_t i = 0; i < std::min(StoreWatchersPerDomain, ranked.size()); ++i)
            sources.emplace_back(FromPeer{ranked[i]->vm});
    };
    const bool usesStoreFirst = isWatcher() || (!m_hasState && isSeed(m_self));
    if (usesStoreFirst)
        sources.emplace_back(FromStore{});
    for (StoreSource &source : domainSources())
        sources.push_back(std::move(source));
    if (!usesStoreFirst)
        sources.emplace_back(FromStore{});
    std::set<std::string> others;
    for (const Member &member : m_members->members)
        if (member.failureDomain != m_self.failureDomain)
            others.insert(member.failureDomain);
    for (const std::string &domain : others)
        addWatchers(domain);
    return sources;
}

Clock::time_point SourcePicker::avoidedUntil(const StoreSource &source) const
{
    const auto *peer = std::get_if<FromPeer>(&source);
    if (peer == nullptr)
        return m_storeAvoidedUntil;
    const auto it = m_peersAvoidedUntil.find(peer->vm);
    return it == m_peersAvoidedUntil.end() ? Clock::time_point{} : it->second;
}

std::optional<StoreSource> SourcePicker::pick(Clock::time_point now) const
{
    // Every source is tried once before any is tried again. Otherwise, several sources that are
    // slow to fail would keep the last one from ever being tried.
    std::optional<StoreSource> fallback;
    if (isRecheckingStore())
        return now < m_storeAvoidedUntil ? std::nullopt : std::optional<StoreSource>(FromStore{});
    for (const StoreSource &source : sources(now)) {
        if (avoidedUntil(source) > now)
            continue;
        if (!hasFailed(source))
            return source;
        if (!fallback)
            fallback = source;
    }
    return fallback;
}

bool SourcePicker::hasUntriedPeer(Clock::time_point now) const
{
    if (m_hasState)
        return false;
    const std::vector<StoreSource> peers = initialSources(now);
    return std::any_of(peers.begin(), peers.end(),
                       [this](const StoreSource &each) { return !hasFailed(each); });
}

bool SourcePicker::isRecheckingStore() const
{
    return m_hasState && m_storeFailures == 1 && !m_doesStoreServeOthers && isWatcher();
}

std::optional<Clock::time_point> SourcePicker::storeRetryAt() const
{
    if (m_storeFailures == 0 || !isWatcher())
        return std::nullopt;
    return m_storeAvoidedUntil;
}

bool SourcePicker::hasFailed(const StoreSource &source) const
{
    return std::find(m_failedSources.begin(), m_failedSources.end(), source)
        != m_failedSources.end();
}

Clock::time_point SourcePicker::retryAt(Clock::time_point now) const
{
    if (isRecheckingStore())
        return std::max(m_storeAvoidedUntil, now);
    Clock::time_point next = isJoining(now) ? m_startedAt + JoinDuration : Clock::time_point::max();
    for (const StoreSource &source : sources(now))
        next = std::min(next, std::max(avoidedUntil(source), now));
    return next;
}

void SourcePicker::onSourceSucceeded(const StoreSource &source, Clock::time_point contactAt,
                                     Clock::time_point now)
{
    m_failedSources.clear();
    const auto *peer = std::get_if<FromPeer>(&source);
    if (peer == nullptr) {
        m_storeAvoidedUntil = {};
        m_storeFailures = 0;
        return;
    }
    m_peersAvoidedUntil.erase(peer->vm);
    // An earlier contact shows nothing: the store may have failed all VMs at the same moment.
    if (m_storeFailures > 0 && contactAt > m_storeFailedAt
        && !std::exchange(m_doesStoreServeOthers, true))
        m_storeAvoidedUntil = std::max(m_storeAvoidedUntil, now + StoreAvoidance);
}

void SourcePicker::onSourceFailed(const StoreSource &source, Clock::time_point retryAt,
                                  Clock::time_point now)
{
    if (!hasFailed(source))
        m_failedSources.push_back(source);
    if (const auto *peer = std::get_if<FromPeer>(&source)) {
        m_peersAvoidedUntil[peer->vm] = retryAt;
        return;
    }
    m_storeAvoidedUntil = retryAt;
    m_storeFailedAt = now;
    ++m_storeFailures;
    m_doesStoreServeOthers = false;
}

} // namespace mangoshift
