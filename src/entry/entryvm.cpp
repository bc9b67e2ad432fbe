#include "entry/entryvm.h"

#include <chrono>
#include <thread>
#include <utility>

#include "base/log.h"

namespace mangoshift {

namespace {

/// How often a stop checks whether the last request has been answered.
constexpr std::chrono::milliseconds StopCheckInterval{20};

Member memberFrom(const EntrySettings &settings)
{
    Member self;
    self.vm = settings.vm;
    self.failureDomain = settings.failureDomain;
    self.region = settings.region;
    if (settings.peerAddress)
        self.peerAddress = settings.peerAddress->toString();
    self.incarnation = randomIncarnation();
    return self;
}

} // namespace

EntryVm::EntryVm(EntrySettings settings, WireAdapter adapter)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_self(memberFrom(m_settings))
{
    const auto postToRegistry = [this](RegistryMessage message) {
        if (!m_registry->tryPost(std::move(message)))
            logEvent(LogLevel::Error, "ring_full", {{"duty", "registry"}});
    };
    m_entry = std::make_unique<EntryDuty>(
        m_settings, m_adapter, m_metrics,
        EntrySinks{postToRegistry, postToRegistry, postToRegistry,
                   [this] { m_registry->postLatest(PingOtherDomains{}); }});
    m_registry =
        std::make_unique<RegistryDuty>(m_settings, m_self, m_adapter, registrySinks(), m_metrics);
    if (m_settings.peerAddress)
        m_peers = std::make_unique<PeerDuty>(m_self, *m_settings.peerAddress, peerSinks());
    ReportSources sources;
    sources.isReady = [this] { return m_entry->isReady(); };
    sources.states = {
        {"entry",
         [this](StateRequest request) { return m_entry->requestState(std::move(request)); }},
        {"registry",
         [this](StateRequest request) { return m_registry->tryPost(std::move(request)); }}};
    if (m_peers)
        sources.states.emplace_back(
            "peers", [this](StateRequest request) { return m_peers->tryPost(std::move(request)); });
    m_report = std::make_unique<ReportDuty>(m_settings.operatorAddress, sources, m_metrics);
}

RegistrySinks EntryVm::registrySinks()
{
    RegistrySinks sinks;
    sinks.onRouting = [this](RoutingTablePtr routing) { m_entry->setRouting(std::move(routing)); };
    sinks.onTargets = [this](std::vector<RegistryChange> changes) {
        m_entry->applyTargets(std::move(changes));
    };
    sinks.onEvacuations = [this](std::set<std::string> failureDomains) {
        m_entry->setEvacuatedDomains(std::move(failureDomains));
    };
    sinks.onInitialListing = [this] { m_entry->setRegistryListed(); };
    sinks.onRead = [this](const char *outcome, Clock::duration took) {
        m_metrics.storeReads.Add({{"outcome", outcome}}).Increment();
        m_metrics.storeReadSeconds.Observe(std::chrono::duration<double>(took).count());
    };
    sinks.onFleetSize = [this](std::size_t vms) { m_entry->setFleetSize(vms); };
    sinks.onGrants = [this](BudgetGrants grants) { m_entry->onBudgetGrants(std::move(grants)); };
    sinks.onPermits = [this](PermitReply reply) { m_entry->onPermits(std::move(reply)); };
    sinks.onOutlooks = [this](CapacityOutlooks outlooks) {
        m_entry->onOutlooks(std::move(outlooks));
    };
    sinks.onOtherDomainContact = [this] { m_entry->onOtherDomainContact(); };
    sinks.onMembers = [this](MemberViewPtr members) {
        m_peers->postLatest(MembersChanged{std::move(members)});
    };
    sinks.sendToVm = [this](const VmId &vm, FramePtr frame) {
        if (!m_peers->tryPost(SendToVm{vm, std::move(frame)}))
            logEvent(LogLevel::Error, "ring_full", {{"duty", "peers"}});
    };
    sinks.sendOnLink = [this](LinkId link, FramePtr frame) {
        if (!m_peers->tryPost(SendOnLink{link, std::move(frame)}))
            logEvent(LogLevel::Error, "ring_full", {{"duty", "peers"}});
    };
    return sinks;
}

PeerSinks EntryVm::peerSinks()
{
    const auto post = [this](RegistryMessage message) {
        if (!m_registry->tryPost(std::move(message)))
            logEvent(LogLevel::Error, "ring_full", {{"duty", "registry"}});
    };
    PeerSinks sinks;
    sinks.onFrame = [post](PeerFrame received) {
        post(ControlFrame{received.link, std::move(received.frame), std::move(received.share)});
    };
    sinks.onPeerLost = [post](const VmId &vm) { post(PeerLost{vm}); };
    sinks.onLinkLost = [post](LinkId link) { post(LinkLost{link}); };
    // Frames about the state of the store belong to no exchange.
    sinks.onExchangeUnsent = [](ExchangeId) {};
    return sinks;
}

EntryVm::~EntryVm()
{
    stop();
}

bool EntryVm::start()
{
    if (!m_entry->start())
        return false;
    if (m_peers)
        m_peers->start();
    m_registry->start();
    if (!m_report->start()) {
        logEvent(LogLevel::Error, "listen_failed", {{"field", "operator_address"}});
        return false;
    }
    m_isStarted = true;
    logEvent(LogLevel::Info, "vm_started",
             {{"vm", m_settings.vm}, {"failure_domain", m_settings.failureDomain}});
    return true;
}

void EntryVm::apply(const EntrySettings &wanted)
{
    m_settings.stopTimeout = wanted.stopTimeout;
    m_entry->applySettings({wanted.retryBudget, wanted.replyMargin});
    m_registry->postLatest(SeedsChanged{wanted.seeds});
}

void EntryVm::stop()
{
    if (std::exchange(m_isStarted, false)) {
        const Clock::time_point deadline = Clock::now() + m_settings.stopTimeout;
        logEvent(LogLevel::Info, "vm_leaving", {{"vm", m_settings.vm}});
        m_registry->postLatest(StartLeaving{});
        m_entry->startLeaving(deadline);
        while (!m_entry->hasLeft() && Clock::now() < deadline)
            std::this_thread::sleep_for(StopCheckInterval);
        if (!m_entry->hasLeft())
            logEvent(LogLevel::Warning, "stop_cut_off");
    }
    m_registry->stop();
    if (m_peers)
        m_peers->stop();
    m_entry->stop();
    m_report->stop();
}

} // namespace mangoshift
