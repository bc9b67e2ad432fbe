#include "duties/controlduty.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/atexit.h"
#include "base/jsontext.h"
#include "base/log.h"
#include "config/vmlist.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;

constexpr std::size_t RingCapacity = 4096;
constexpr MembershipOptions DefaultMembershipOptions;
/// How long a new VM waits for a configuration from its peers before it reads the platform's.
constexpr std::chrono::seconds PeerConfigTimeout{2};
/// The interval between reads of the VM list by a VM that watches the platform.
constexpr std::chrono::seconds WatcherListInterval{10};
/// The interval between reads of the VM list by a VM that has not joined or whose view is stale.
constexpr std::chrono::seconds UrgentListInterval{1};

} // namespace

ControlDuty::ControlDuty(const Settings &settings, Member self, ControlSinks sinks,
                         Metrics &metrics)
    : m_self(std::move(self))
    , m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_duty("control", RingCapacity)
    , m_tickTimer(m_duty.io())
    , m_members(m_duty.io(), settings.peerListenAddress, m_self, DefaultMembershipOptions,
                {[this](const MemberViewPtr &view) { m_sinks.onMembers(view); },
                 [this](const VmId &vm, FramePtr frame) { sendToVm(vm, std::move(frame)); },
                 [this](LinkId link, FramePtr frame) { sendOnLink(link, std::move(frame)); },
                 [this](const HeartbeatMessage &message) { onHeartbeat(message); }},
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
                      m_duty.postLatest(PlatformDocument{version, std::move(text)});
                  },
                  [this](std::string text, Clock::time_point requestedAt) {
                      m_duty.postLatest(PlatformList{std::move(text), requestedAt});
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
    armTickTimer();
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
    m_duty.postLatest(StartLeaving{});
}

void ControlDuty::handle(ControlMessage &message)
{
    std::visit(Overloaded{
                   [this](ControlFrame &each) { onFrame(each); },
                   [this](PlatformDocument &each) { m_config.onPlatformDocument(each); },
                   [this](PlatformList &each) { onPlatformList(each); },
                   [this](ProcessPaused &each) { onProcessPaused(each); },
                   [this](StartLeaving &) { m_members.leave(); },
                   [this](StateRequest &each) { each.reply(stateJson()); },
               },
               message);
    updateReadiness();
    confirmConfigIfNewest();
}

void ControlDuty::onProcessPaused(const ProcessPaused &message)
{
    m_unconfirmedPause = message;
    m_members.onPaused();
}

/// Notifies the homes once the view of the members is no longer stale after the pause and there is
/// no newer configuration left to fetch.
void ControlDuty::confirmConfigIfNewest()
{
    const ConfigStore &store = m_config.store();
    const bool isNewest = store.newestCheckedVersion() >= store.newestKnownVersion()
        && store.version() == store.heldVersion();
    if (!m_unconfirmedPause || m_members.membership().isViewStale() || !isNewest)
        return;
    m_sinks.onConfigConfirmed({m_unconfirmedPause->pauseEndedAt});
    m_unconfirmedPause.reset();
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

void ControlDuty::onPlatformList(const PlatformList &message)
{
    const auto listed = parseVmList(message.text);
    if (!listed) {
        logEvent(LogLevel::Warning, "vm_list_rejected", {{"why", listed.error().message}});
        return;
    }
    m_members.onMemberList(*listed, message.requestedAt);
}

void ControlDuty::onHeartbeat(const HeartbeatMessage &message)
{
    m_config.onVersionReceived(message.sender.member.vm, message.configVersion, m_hasJoined);
    updateReadiness();
    confirmConfigIfNewest();
}

void ControlDuty::onTick()
{
    const AtExit next([this] { armTickTimer(); });
    m_members.onTick();
    m_config.onTick();
    updateReadiness();
    confirmConfigIfNewest();
    updatePlatformPlan();
}

void ControlDuty::armTickTimer()
{
    m_tickTimer.expires_after(DefaultMembershipOptions.tickInterval);
    m_tickTimer.async_wait([this](asio::error_code error) {
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
    // The homes have already received the document, so they can serve its shards.
    if (m_config.store().version() != 0)
        m_members.startServing();
    const bool isReady =
        m_hasJoined && m_config.store().version() != 0 && !m_members.membership().isViewStale();
    if (m_isReady.exchange(isReady) != isReady)
        logEvent(LogLevel::Info, isReady ? "vm_ready" : "vm_not_ready",
                 {{"doubtful", m_members.membership().isViewStale() ? "true" : "false"}});
}

void ControlDuty::updatePlatformPlan()
{
    const ConfigStore &store = m_config.store();
    const MemberView &view = *m_members.membership().view();
    const bool hasConfig = store.version() != 0;
    const bool isWatching = isPlatformWatcher(view, m_self);
    const auto fallbackReadInterval = fallbackInterval(view, m_self);
    PlatformPlan plan;
    plan.shouldReadConfig = m_hasJoined
        && (hasConfig || store.newestKnownVersion() == 0
            || Clock::now() > m_joinedAt + PeerConfigTimeout);
    plan.isWatching = isWatching || !hasConfig;
    plan.afterVersion = store.newestCheckedVersion();
    plan.configInterval = fallbackReadInterval;
    plan.listInterval = isWatching ? WatcherListInterval : fallbackReadInterval;
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
    return jsonText(
        Json{{"ready", isReady()},
             {"joined", m_hasJoined},
             {"doubtful", m_members.membership().isViewStale()},
             {"leaving", m_isLeaving.load()},
             {"watches_platform", isPlatformWatcher(*m_members.membership().view(), m_self)},
             {"config", m_config.stateJson()},
             {"members", m_members.stateJson()},
             {"ring", m_duty.ringSize()},
             {"ring_rejected", m_duty.rejected()}});
}

} // namespace mangoshift
