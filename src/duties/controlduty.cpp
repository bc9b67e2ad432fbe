#include "duties/controlduty.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "config/vmlist.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;

constexpr std::size_t RingCapacity = 4096;
constexpr MembershipOptions Options;
/// How long a new VM waits for its peers' configuration before it reads the platform's.
constexpr std::chrono::seconds PeerConfigPatience{2};
/// Between two reads of the list by a VM that watches the platform.
constexpr std::chrono::seconds WatcherListInterval{10};
/// Between two reads of the list by a VM that has not joined, or doubts its view.
constexpr std::chrono::seconds UrgentListInterval{1};

} // namespace

ControlDuty::ControlDuty(const Settings &settings, Member self, ControlSinks sinks,
                         Metrics &metrics)
    : m_self(std::move(self))
    , m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_duty("control", RingCapacity)
    , m_tick(m_duty.io())
    , m_members(m_duty.io(), settings.peerListenAddress, m_self, Options,
                {[this](const MemberViewPtr &view) { m_sinks.onMembers(view); },
                 [this](const VmId &vm, FramePtr frame) { sendToVm(vm, std::move(frame)); },
                 [this](LinkId link, FramePtr frame) { sendOnLink(link, std::move(frame)); },
                 [this](const HeartbeatMessage &message) { onPeerHeartbeat(message); }},
                metrics)
    , m_config({[this](const VmId &vm, FramePtr frame) { sendToVm(vm, std::move(frame)); },
                [this](LinkId link, FramePtr frame) { sendOnLink(link, std::move(frame)); },
                [this](DocumentPtr document) { m_sinks.onDocument(std::move(document)); },
                [this](const VmId &vm, ConfigVersion version) { announce(vm, version); },
                [this] { return m_members.membership().view()->members.size() > 1; }},
               metrics)
    , m_bytesIn(metrics.controlBytes.Add({{"direction", "in"}, {"channel", "peer"}}))
    , m_bytesOut(metrics.controlBytes.Add({{"direction", "out"}, {"channel", "peer"}}))
    , m_platform(settings.platformAddress,
                 {[this](ConfigVersion version, std::string text) {
                      m_duty.tryPost(PlatformDocument{version, std::move(text)});
                  },
                  [this](std::string text, Clock::time_point askedAt) {
                      m_duty.tryPost(PlatformList{std::move(text), askedAt});
                  }},
                 metrics)
{
}

ControlDuty::~ControlDuty()
{
    stop();
}

void ControlDuty::start()
{
    m_members.start();
    armTick();
    m_duty.start([this](ControlMessage &message) { handle(message); });
    m_platform.start();
}

void ControlDuty::stop()
{
    m_platform.stop();
    m_duty.stop();
}

void ControlDuty::startLeaving()
{
    m_isLeaving = true;
    m_duty.tryPost(StartLeaving{});
}

void ControlDuty::handle(ControlMessage &message)
{
    std::visit(Overloaded{
                   [this](ControlFrame &each) { onFrame(each); },
                   [this](PlatformDocument &each) { m_config.onPlatformDocument(each); },
                   [this](PlatformList &each) { onMemberList(each); },
                   [this](ProcessPaused &each) { onHomesPaused(each); },
                   [this](StartLeaving &) { m_members.leave(); },
                   [this](StateRequest &each) { each.reply(stateJson()); },
               },
               message);
    updateReadiness();
    confirmConfig();
}

void ControlDuty::onHomesPaused(const ProcessPaused &message)
{
    m_unconfirmed = message;
    m_members.onPaused();
}

/// Tells the homes once somebody has been heard since they woke, and nothing newer is left to
/// fetch.
void ControlDuty::confirmConfig()
{
    const ConfigStore &store = m_config.store();
    const bool isNewest = store.newestCheckedVersion() >= store.newestKnownVersion()
        && store.version() == store.heldVersion();
    if (!m_unconfirmed || m_members.membership().isViewStale() || !isNewest)
        return;
    m_sinks.onConfigConfirmed({m_unconfirmed->wokeAt});
    m_unconfirmed.reset();
}

void ControlDuty::onFrame(ControlFrame &message)
{
    countFrame(*message.frame, m_bytesIn);
    auto &body = message.frame->body;
    if (const wire::ConfigPullT *configPull = body.AsConfigPull()) {
        m_config.onPull(message.link, *configPull);
    } else if (wire::ConfigReplyT *configReply = body.AsConfigReply()) {
        m_config.onReply(*configReply);
    } else {
        m_members.onFrame(message.link, *message.frame);
    }
}

void ControlDuty::onMemberList(const PlatformList &message)
{
    const auto listed = parseVmList(message.text);
    if (!listed) {
        logEvent(LogLevel::Warning, "vm_list_rejected", {{"why", listed.error().message}});
        return;
    }
    m_members.onMemberList(*listed, message.askedAt);
}

void ControlDuty::onPeerHeartbeat(const HeartbeatMessage &message)
{
    m_config.onPeerHeartbeat(message.sender.member.vm, message.configVersion, m_hasJoined);
    updateReadiness();
    confirmConfig();
}

void ControlDuty::onTick()
{
    m_members.onTick();
    m_config.onTick();
    updateReadiness();
    confirmConfig();
    updatePlan();
    armTick();
}

void ControlDuty::armTick()
{
    m_tick.expires_after(Options.tickInterval);
    m_tick.async_wait([this](asio::error_code error) {
        if (!error)
            onTick();
    });
}

void ControlDuty::announce(const VmId &vm, ConfigVersion version)
{
    m_members.announce(vm, version);
}

void ControlDuty::updateReadiness()
{
    const Clock::time_point now = Clock::now();
    if (!m_hasJoined && m_members.membership().hasJoined(now)) {
        m_hasJoined = true;
        m_joinedAt = now;
    }
    // The homes were given the document before this, hence answer for its shards.
    if (m_config.store().version() != 0)
        m_members.startServing();
    const bool isReady =
        m_hasJoined && m_config.store().version() != 0 && !m_members.membership().isViewStale();
    if (m_isReady.exchange(isReady) != isReady)
        logEvent(LogLevel::Info, isReady ? "vm_ready" : "vm_not_ready",
                 {{"doubtful", m_members.membership().isViewStale() ? "true" : "false"}});
}

void ControlDuty::updatePlan()
{
    const ConfigStore &store = m_config.store();
    const MemberView &view = *m_members.membership().view();
    const bool hasConfig = store.version() != 0;
    const bool watches = isPlatformWatcher(view, m_self);
    const auto fallback = fallbackInterval(view, m_self);
    PlatformPlan plan;
    plan.readsConfig = m_hasJoined
        && (hasConfig || store.newestKnownVersion() == 0
            || Clock::now() > m_joinedAt + PeerConfigPatience);
    plan.isWatching = watches || !hasConfig;
    plan.after = store.newestCheckedVersion();
    plan.configInterval = fallback;
    plan.listInterval = watches ? WatcherListInterval : fallback;
    if (!m_hasJoined || m_members.membership().isViewStale())
        plan.listInterval = UrgentListInterval;
    m_platform.setPlan(plan);
}

void ControlDuty::countFrame(const wire::FrameT &frame, prometheus::Counter &bytes)
{
    bytes.Increment(static_cast<double>(encodeFrame(frame).size()));
}

void ControlDuty::sendToVm(const VmId &vm, FramePtr frame)
{
    countFrame(*frame, m_bytesOut);
    m_sinks.sendToVm(vm, std::move(frame));
}

void ControlDuty::sendOnLink(LinkId link, FramePtr frame)
{
    countFrame(*frame, m_bytesOut);
    m_sinks.sendOnLink(link, std::move(frame));
}

std::string ControlDuty::stateJson() const
{
    return Json{{"ready", isReady()},
                {"joined", m_hasJoined},
                {"doubtful", m_members.membership().isViewStale()},
                {"leaving", m_isLeaving.load()},
                {"watches_platform", isPlatformWatcher(*m_members.membership().view(), m_self)},
                {"config", m_config.stateJson()},
                {"members", m_members.stateJson()},
                {"ring", m_duty.ringSize()},
                {"ring_rejected", m_duty.rejected()}}
        .dump();
}

} // namespace mangoshift
