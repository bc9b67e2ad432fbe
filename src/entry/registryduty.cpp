#include "entry/registryduty.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/atexit.h"
#include "base/jsontext.h"
#include "base/log.h"
#include "http/httpstatus.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t RingCapacity = 1024;
/// How long removals are held back after an outage of the store. The platform promises that entries
/// which expired during the outage are back within about two seconds if the target is alive.
constexpr milliseconds RecoveryGrace{2300};
/// The shortest outage of the store in which entries of live targets can expire, in intervals
/// between their reports: they expire after three, one of which may have passed before.
constexpr int MinOutageReports = 2;
/// How often a VM without state looks for other VMs: a seed that starts at the same time is
/// available some ten milliseconds later.
constexpr milliseconds JoinInterval{50};

/// An entry VM exchanges heartbeats less often than homes do, as its share of a core is small and
/// no request depends on them.
MembershipOptions membershipOptions()
{
    MembershipOptions options;
    options.tickInterval = milliseconds(250);
    options.probePeriod = milliseconds(1000);
    options.isolatedProbePeriod = JoinInterval;
    options.probeTimeout = milliseconds(400);
    options.suspicionTimeout = milliseconds(3000);
    return options;
}

/// The names of the seeds are not known yet: each seed is probed under its address and replies with
/// its name.
std::vector<Member> membersFromSeeds(const std::vector<std::string> &seeds)
{
    std::vector<Member> members;
    members.reserve(seeds.size());
    for (const std::string &seed : seeds)
        members.push_back({seed, "", "", seed});
    return members;
}

milliseconds wholeMilliseconds(Clock::duration duration)
{
    return std::chrono::duration_cast<milliseconds>(duration);
}

} // namespace

RegistryDuty::RegistryDuty(const EntrySettings &settings, Member self, const WireAdapter &adapter,
                           RegistrySinks sinks, Metrics &metrics)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_adapter(adapter)
    , m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_duty("registry", RingCapacity)
    , m_connection(m_duty.io(), settings.storeAddress)
    , m_follower(m_self, settings.seeds, settings.watchWait, Clock::now())
    , m_storeView(RecoveryGrace, MinOutageReports * settings.targetReportInterval)
    , m_pool(m_self, settings.retryBudget, settings.assumedVms,
             {m_sinks.sendToVm, m_sinks.sendOnLink, m_sinks.onGrants})
    , m_permits(m_self, settings.failureDomains.size(),
                {m_sinks.sendToVm, m_sinks.sendOnLink, m_sinks.onPermits})
    , m_capacity(m_self, settings.targetPolicies.sharesCapacity,
                 {m_sinks.sendToVm, m_sinks.sendOnLink, m_sinks.onOutlooks}, metrics)
    , m_pendingPulls(m_duty.io(), [this](const PendingStatePull &pull) { replyToPull(pull); })
    , m_memberTick(m_duty.io())
    , m_fetchTimer(m_duty.io())
    , m_pullTimer(m_duty.io())
    , m_expiryTimer(m_duty.io())
{
    if (!settings.peerAddress)
        return;
    m_members = std::make_unique<MemberExchange>(
        m_duty.io(), *settings.peerAddress, m_self, membershipOptions(),
        MemberSinks{[this](MemberViewPtr view) { onView(std::move(view)); }, m_sinks.sendToVm,
                    m_sinks.sendOnLink,
                    [this](const HeartbeatMessage &message) {
                        if (message.sender.member.failureDomain != m_self.failureDomain)
                            m_sinks.onOtherDomainContact();
                    }},
        metrics);
}

RegistryDuty::~RegistryDuty()
{
    stop();
}

void RegistryDuty::start()
{
    asio::post(m_duty.io(), [this] {
        if (m_members) {
            m_members->start();
            m_members->onMemberList(membersFromSeeds(m_settings.seeds), Clock::now());
            armMemberTick();
        }
        fetchNext();
    });
    m_duty.start([this](RegistryMessage &message) { handle(message); });
}

void RegistryDuty::handle(RegistryMessage &message)
{
    std::visit(
        Overloaded{
            [this](StateRequest &request) { request.reply(stateJson()); },
            [this](ControlFrame &each) { onFrame(each); },
            [this](PeerLost &lost) {
                if (m_follower.source() == StoreSource(FromPeer{lost.vm}))
                    onPeerFailure("lost");
            },
            [this](BudgetRequest &request) { m_pool.requestExtras(request, Clock::now()); },
            [this](PermitRequest &request) { m_permits.request(request, Clock::now()); },
            [this](CapacityObservations &report) { m_capacity.report(report, Clock::now()); },
            [this](SeedsChanged &seeds) {
                if (m_members)
                    m_members->onMemberList(membersFromSeeds(seeds.addresses), Clock::now());
            },
            [this](PingOtherDomains &) {
                if (m_members)
                    m_members->pingOtherDomains();
            },
            [this](LinkLost &lost) { m_pendingPulls.onLinkLost(lost.link); },
            [this](StartLeaving &) {
                m_permits.onLeaving(Clock::now());
                m_capacity.onLeaving();
                if (m_members)
                    m_members->leave();
            }},
        message);
}

void RegistryDuty::armMemberTick()
{
    m_memberTick.expires_after(m_storeView.hasState() ? membershipOptions().tickInterval
                                                      : JoinInterval);
    m_memberTick.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        const AtExit next([this] { armMemberTick(); });
        m_members->onTick();
        m_permits.onTick(Clock::now());
        m_capacity.onTick(Clock::now());
        if (m_storeView.hasState())
            m_metrics.stateAge.Set(
                std::chrono::duration<double>(Clock::now() - m_storeView.lastContact()).count());
    });
}

void RegistryDuty::fetchNext()
{
    const auto fetch = m_follower.next(Clock::now());
    if (!fetch) {
        const Clock::time_point at = m_follower.nextAt(Clock::now());
        if (at == Clock::time_point::max())
            return;
        m_fetchTimer.expires_at(at);
        m_fetchTimer.async_wait([this](const asio::error_code &error) {
            if (!error)
                fetchNext();
        });
        return;
    }
    m_fetchTimer.cancel();
    std::visit(Overloaded{[this](const ListStore &list) {
                              if (list.afterKey.empty()) {
                                  m_listedTargets.clear();
                                  m_listedEvacuations.clear();
                              }
                              fetchFromStore(m_adapter.listingUri(list.afterKey), list.timeout,
                                             true);
                          },
                          [this](const WatchStore &watch) {
                              fetchFromStore(m_adapter.watchUri(watch.revision, watch.wait),
                                             watch.timeout, false);
                          },
                          [this](const PullFromPeer &pull) { fetchFromPeer(pull); }},
               *fetch);
}

void RegistryDuty::fetchFromStore(const std::string &uri, milliseconds timeout, bool isListing)
{
    m_fetchStartedAt = Clock::now();
    m_connection.get(uri, timeout, [this, isListing](const StoreConnection::Result &result) {
        onResult(result, isListing);
    });
}

void RegistryDuty::onResult(const StoreConnection::Result &result, bool isListing)
{
    const Clock::duration took = Clock::now() - m_fetchStartedAt;
    if (!result) {
        m_sinks.onRead("failed", took);
        onStoreFailure(result.error());
        return;
    }
    if (result->status == httpstatus::Gone) {
        m_sinks.onRead("history_gone", took);
        logEvent(LogLevel::Warning, "store_history_gone",
                 {{"revision", std::to_string(m_follower.revision())}});
        m_follower.onHistoryLost();
        fetchNext();
        return;
    }
    if (result->status != httpstatus::Ok
        && !(isListing && result->status == httpstatus::NotFound)) {
        m_sinks.onRead("refused", took);
        onStoreFailure("status " + std::to_string(result->status));
        return;
    }
    const auto response =
        isListing ? m_adapter.parseListing(result->body) : m_adapter.parseChanges(result->body);
    if (!response) {
        m_sinks.onRead("failed", took);
        onStoreFailure(response.error());
        return;
    }
    m_sinks.onRead("ok", took);
    const AtExit next([this] { fetchNext(); });
    setLastSource(FromStore{});
    if (isListing)
        onPage(*response);
    else
        onChanges(*response);
}

void RegistryDuty::onChanges(const StoreResponse &response)
{
    m_follower.onChanges(response.revision, !response.entries.empty(), Clock::now());
    onStoreContact();
    for (const StoreEntry &entry : response.entries)
        applyEntry(entry, response.revision);
    replyToPulls();
}

void RegistryDuty::onPage(const StoreResponse &response)
{
    const std::uint64_t before = m_follower.revision();
    m_follower.onPage(response.revision, !response.isTruncated, response.lastKey, Clock::now());
    onStoreContact();
    for (const StoreEntry &entry : response.entries) {
        if (const auto *evacuation = std::get_if<EvacuationEntry>(&entry.value))
            m_listedEvacuations.insert(evacuation->failureDomain);
        if (const auto *target = std::get_if<RegisteredTarget>(&entry.value))
            m_listedTargets.push_back(*target);
        else
            applyEntry(entry, m_follower.listingRevision());
    }
    if (m_follower.isListing()) {
        // The configuration is in force already.
        replyToPulls();
        return;
    }
    const bool isFirst = !m_storeView.hasState();
    publish(m_storeView.replaceEvacuations(std::exchange(m_listedEvacuations, {}),
                                           m_follower.revision()),
            FromStore{});
    publish(m_storeView.replaceAll(std::exchange(m_listedTargets, {}), before,
                                   m_follower.revision(), Clock::now()));
    onTargetsUpdated(isFirst);
}

void RegistryDuty::onTargetsUpdated(bool isFirst)
{
    armExpiry();
    if (isFirst) {
        m_sinks.onInitialListing();
        if (m_members)
            m_members->startServing();
    }
    replyToPulls();
}

void RegistryDuty::onStoreContact()
{
    const Clock::time_point now = Clock::now();
    if (m_follower.takeStoreRecovered()) {
        m_storeView.onStoreRecovered(now);
        const auto held = m_storeView.registry().removalsHeldUntil() - now;
        logEvent(LogLevel::Info, "store_regained",
                 {{"away_ms", std::to_string(wholeMilliseconds(now - m_unavailableSince).count())},
                  {"revision", std::to_string(m_follower.revision())},
                  {"removals_held_ms",
                   std::to_string(std::max<std::int64_t>(wholeMilliseconds(held).count(), 0))}});
    }
    m_storeView.onStoreContact(now);
}

void RegistryDuty::onStoreFailure(const std::string &why)
{
    const Clock::time_point now = Clock::now();
    if (!m_follower.isStoreUnavailable()) {
        m_unavailableSince = now;
        logEvent(LogLevel::Warning, "store_lost",
                 {{"why", why}, {"revision", std::to_string(m_follower.revision())}});
    }
    m_follower.onStoreFailure(now);
    fetchNext();
}

void RegistryDuty::applyEntry(const StoreEntry &entry, std::uint64_t revision)
{
    std::visit(
        Overloaded{
            [&](const RoutingDocument &document) {
                applyConfiguration(document, entry.configuration, FromStore{});
            },
            [&](const RegisteredTarget &target) { publish(m_storeView.put(target, revision)); },
            [&](const EvacuationEntry &evacuation) {
                applyEvacuation(evacuation, entry.key, std::max(entry.revision, revision));
            },
            [&](const UnreadableEntry &unreadable) {
                logEvent(LogLevel::Warning, "entry_rejected",
                         {{"key", entry.key}, {"why", unreadable.why}});
                if (!entry.targetId.empty())
                    publish(m_storeView.remove(entry.targetId, revision, Clock::now()));
            },
            [&](const RemovedEntry &) {
                if (!entry.targetId.empty())
                    publish(m_storeView.remove(entry.targetId, revision, Clock::now()));
            }},
        entry.value);
    armExpiry();
}

void RegistryDuty::applyEvacuation(const EvacuationEntry &evacuation, const std::string &key,
                                   std::uint64_t revision)
{
    if (!evacuation.fault.empty())
        logEvent(LogLevel::Warning, "entry_unreadable", {{"key", key}, {"why", evacuation.fault}});
    publish(m_storeView.setEvacuation(evacuation.failureDomain, evacuation.isRequested, revision),
            FromStore{});
}

void RegistryDuty::applyConfiguration(const RoutingDocument &document, const std::string &bytes,
                                      const StoreSource &source)
{
    if (!m_storeView.adopt(document, bytes))
        return;
    logEvent(LogLevel::Info, "configuration_adopted",
             {{"version", std::to_string(document.version)},
              {"routes", std::to_string(document.routes.size())},
              {"source", toString(source)}});
    m_sinks.onRouting(m_storeView.routing());
}

void RegistryDuty::setLastSource(const StoreSource &source)
{
    if (m_lastSource == source)
        return;
    m_lastSource = source;
    logEvent(LogLevel::Info, "state_source",
             {{"source", toString(source)},
              {"revision", std::to_string(m_follower.revision())},
              {"watcher", m_follower.isWatcher() ? "true" : "false"}});
}

void RegistryDuty::publish(std::vector<RegistryChange> changes)
{
    if (!changes.empty())
        m_sinks.onTargets(std::move(changes));
}

void RegistryDuty::publish(const std::vector<EvacuationChange> &changes, const StoreSource &source)
{
    for (const EvacuationChange &change : changes)
        logEvent(LogLevel::Info,
                 change.isEvacuated ? "domain_evacuated" : "domain_evacuation_ended",
                 {{"failure_domain", change.failureDomain},
                  {"revision", std::to_string(change.revision)},
                  {"source", toString(source)}});
    if (!changes.empty())
        m_sinks.onEvacuations(m_storeView.evacuations().domains());
}

void RegistryDuty::armExpiry()
{
    const auto next = m_storeView.nextExpiry();
    if (!next)
        return;
    m_expiryTimer.expires_at(*next);
    m_expiryTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            publish(m_storeView.expire(m_follower.revision(), Clock::now()));
    });
}

std::string RegistryDuty::stateJson() const
{
    nlohmann::json state = m_storeView.stateJson();
    state["revision"] = m_follower.revision();
    state["store_away"] = m_follower.isStoreUnavailable();
    state["source"] = m_lastSource ? toString(*m_lastSource) : "";
    state["watcher"] = m_follower.isWatcher();
    state["heard_ms_ago"] = wholeMilliseconds(Clock::now() - m_storeView.lastContact()).count();
    state["peers_waiting"] = m_pendingPulls.size();
    state["limit_pool_owner"] = m_permits.owner();
    if (m_settings.targetPolicies.sharesCapacity)
        state["capacity_pool_owner"] = m_capacity.owner();
    if (m_members)
        state["members"] = m_members->stateJson();
    return jsonText(state);
}

} // namespace mangoshift
