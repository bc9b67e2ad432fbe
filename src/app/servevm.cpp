#include "app/servevm.h"

#include <algorithm>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <random>
#include <stop_token>
#include <thread>
#include <utility>

#include "base/log.h"
#include "duties/wiretime.h"

namespace mangoshift {

namespace {

/// How long a stopping VM still accepts new requests, so that the load balancer has time to notice
/// that the VM is not ready.
constexpr std::chrono::milliseconds StopGrace{1000};
/// How long a stopping VM must have had no pending requests before it ends.
constexpr std::chrono::milliseconds StopIdlePeriod{300};
/// How often a stopping VM checks for pending requests.
constexpr std::chrono::milliseconds StopPollInterval{10};
/// How long a stop may exceed its timeout before the process is ended without cleanup.
constexpr std::chrono::milliseconds StopTimeoutMargin{500};

/// Ends the process with a failure status `StopTimeoutMargin` after `deadline`, unless a stop is
/// requested through `token` earlier.
void exitAfterDeadline(Clock::time_point deadline, const std::stop_token &token)
{
    std::mutex mutex;
    std::condition_variable_any wake;
    std::unique_lock lock(mutex);
    wake.wait_for(lock, token, deadline + StopTimeoutMargin - Clock::now(), [] { return false; });
    if (token.stop_requested())
        return;
    logEvent(LogLevel::Error, "stop_patience_exceeded");
    stopLogging();
    std::_Exit(EXIT_FAILURE);
}

Member makeSelf(const Settings &settings)
{
    return {settings.vm,         settings.failureDomain,
            settings.region,     settings.peerAddress.toString(),
            randomIncarnation(), false};
}

SchedulerOptions schedulerOptions(const Mechanisms &mechanisms)
{
    SchedulerOptions options;
    options.hedges = mechanisms.targetHedges;
    options.ejectsSlow = mechanisms.targetEjection;
    return options;
}

} // namespace

ServeVm::ServeVm(const Settings &settings)
    : m_settings(settings)
    , m_self(makeSelf(settings))
{
    m_peers = std::make_unique<PeerDuty>(
        m_self, m_settings.peerListenAddress,
        PeerSinks{[this](PeerFrame received) { onPeerFrame(std::move(received)); },
                  [this](const VmId &vm) {
                      m_queries->tryPost(PeerLost{vm});
                      m_tickets->tryPost(PeerLost{vm});
                  },
                  [this](LinkId link) { m_homes->tryPost(LinkLost{link}); },
                  [this](ExchangeId exchange) {
                      if ((exchange & TicketExchangeBit) != 0)
                          m_tickets->tryPost(ExchangeUnsent{exchange});
                  }});
    m_homes = std::make_unique<HomeDuty>(
        HomeDuty::Options{m_self.incarnation, m_settings.placement, m_self.region, &m_metrics,
                          schedulerOptions(m_settings.mechanisms)},
        [this](LinkId link, wire::ShardRepliesT replies) {
            onHomeReplies(link, std::move(replies));
        },
        [this](ProcessPaused paused) { m_control->postLatest(paused); });
    m_queries = std::make_unique<QueryDuty>(
        m_self, QueryDuty::Options{m_settings.placement, m_settings.mechanisms.homeHedges},
        [this](const VmId &vm, FramePtr frame) { return sendFrame(vm, std::move(frame)); });
    m_tickets = std::make_unique<TicketDuty>(
        m_self, m_settings.placement,
        [this](const VmId &vm, FramePtr frame) { return sendFrame(vm, std::move(frame)); },
        [this](LinkId link, FramePtr frame) {
            m_peers->tryPost(SendOnLink{link, std::move(frame)});
        });
    m_submitRoutes = std::make_unique<SubmitRoutes>(m_self, *m_tickets, m_metrics);
    m_callers = std::make_unique<CallerDuty>(m_settings, m_self.incarnation, *m_queries, m_metrics);
    m_control = std::make_unique<ControlDuty>(
        m_settings, m_self,
        ControlSinks{[this](DocumentPtr document) {
                         m_homes->postLatest(DocumentChanged{document});
                         m_queries->postLatest(DocumentChanged{document});
                         m_tickets->postLatest(DocumentChanged{document});
                         m_submitRoutes->setDocument(document);
                         m_callers->setDocument(std::move(document));
                     },
                     [this](MemberViewPtr members) {
                         m_peers->postLatest(MembersChanged{members});
                         m_homes->postLatest(MembersChanged{members});
                         m_tickets->postLatest(MembersChanged{members});
                         m_queries->postLatest(MembersChanged{std::move(members)});
                     },
                     [this](ConfigConfirmed confirmed) { m_homes->postLatest(confirmed); },
                     [this](const VmId &vm, FramePtr frame) {
                         m_peers->tryPost(SendToVm{vm, std::move(frame)});
                     },
                     [this](LinkId link, FramePtr frame) {
                         m_peers->tryPost(SendOnLink{link, std::move(frame)});
                     }},
        m_metrics);
    m_report = std::make_unique<ReportDuty>(m_settings.operatorAddress, reportSources(), m_metrics);
}

ServeVm::~ServeVm()
{
    stop();
}

bool ServeVm::start()
{
    m_peers->start();
    m_homes->start();
    m_queries->start();
    m_tickets->start();
    m_submitRoutes->addTo(m_callers->server());
    m_control->start();
    if (!m_report->start()) {
        logEvent(LogLevel::Error, "listen_failed", {{"field", "operator_address"}});
        return false;
    }
    if (!m_callers->start()) {
        logEvent(LogLevel::Error, "listen_failed", {{"field", "caller_address"}});
        return false;
    }
    m_isStarted = true;
    logEvent(LogLevel::Info, "vm_started",
             {{"vm", m_self.vm},
              {"failure_domain", m_self.failureDomain},
              {"incarnation", std::to_string(m_self.incarnation)}});
    return true;
}

void ServeVm::drain()
{
    const Clock::time_point deadline = Clock::now() + m_settings.stopTimeout;
    const std::jthread watchdog(
        [deadline](const std::stop_token &token) { exitAfterDeadline(deadline, token); });
    logEvent(LogLevel::Info, "vm_leaving", {{"vm", m_self.vm}});
    m_control->startLeaving();
    m_tickets->startLeaving();
    m_callers->drain();
    std::this_thread::sleep_for(std::min(StopGrace, m_settings.stopTimeout));
    m_callers->stop();
    // Other VMs may send shard requests until they receive the notice that this VM is leaving.
    Clock::time_point idleSince = Clock::now();
    while (Clock::now() < deadline && Clock::now() - idleSince < StopIdlePeriod) {
        std::this_thread::sleep_for(StopPollInterval);
        if (!isIdle())
            idleSince = Clock::now();
    }
    if (!isIdle())
        logEvent(LogLevel::Warning, "stop_cut_off",
                 {{"shard_requests", std::to_string(m_homes->pending())}});
}

bool ServeVm::isIdle() const
{
    return m_homes->pending() == 0 && m_tickets->pending() == 0 && m_peers->pending() == 0;
}

void ServeVm::stop()
{
    if (std::exchange(m_isStarted, false))
        drain();
    m_callers->stop();
    m_control->stop();
    m_queries->stop();
    m_tickets->stop();
    m_homes->stop();
    m_peers->stop();
    m_report->stop();
}

bool ServeVm::sendFrame(const VmId &vm, FramePtr frame)
{
    if (vm != m_self.vm)
        return m_peers->tryPost(SendToVm{vm, std::move(frame)});
    if (wire::ShardBatchT *batch = frame->body.AsShardBatch()) {
        const Clock::time_point sentAt = fromWireTime(batch->sent_at_us);
        return m_homes->tryPost(HomeBatch{LocalLink, sentAt, std::move(*batch)});
    }
    if (wire::CancelShardsT *cancel = frame->body.AsCancelShards())
        return m_homes->tryPost(HomeCancel{LocalLink, std::move(*cancel)});
    return false;
}

void ServeVm::onPeerFrame(PeerFrame received)
{
    const LinkId link = received.link;
    const Clock::time_point arrivedAt = received.arrivedAt;
    FrameShare &share = received.share;
    auto &body = received.frame->body;
    if (wire::ShardBatchT *batch = body.AsShardBatch())
        m_homes->tryPost(HomeBatch{link, arrivedAt, std::move(*batch), std::move(share)});
    else if (wire::CancelShardsT *cancel = body.AsCancelShards())
        m_homes->tryPost(HomeCancel{link, std::move(*cancel), std::move(share)});
    else if (wire::ShardRepliesT *replies = body.AsShardReplies())
        onReplies({std::move(*replies), std::move(share)});
    else if (wire::TicketRequestT *request = body.AsTicketRequest())
        m_tickets->tryPost(
            PeerTicketRequest{link, arrivedAt, std::move(*request), std::move(share)});
    else if (wire::TicketReplyT *reply = body.AsTicketReply())
        m_tickets->tryPost(PeerTicketReply{std::move(*reply), std::move(share)});
    else
        m_control->tryPost(ControlFrame{link, std::move(received.frame), std::move(share)});
}

void ServeVm::onReplies(PeerReplies replies)
{
    if ((replies.replies.exchange & TicketExchangeBit) != 0)
        m_tickets->tryPost(std::move(replies));
    else
        m_queries->tryPost(std::move(replies));
}

void ServeVm::onHomeReplies(LinkId link, wire::ShardRepliesT replies)
{
    if (link == LocalLink)
        onReplies({std::move(replies)});
    else
        m_peers->tryPost(SendOnLink{link, makeFrame(std::move(replies))});
}

ReportSources ServeVm::reportSources()
{
    ReportSources sources;
    sources.isReady = [this] { return m_control->isReady(); };
    sources.states = {
        {"peers", [this](StateRequest request) { return m_peers->tryPost(std::move(request)); }},
        {"homes", [this](StateRequest request) { return m_homes->tryPost(std::move(request)); }},
        {"queries",
         [this](StateRequest request) { return m_queries->tryPost(std::move(request)); }},
        {"tickets",
         [this](StateRequest request) { return m_tickets->tryPost(std::move(request)); }},
        {"callers",
         [this](const StateRequest &request) {
             request.reply(m_callers->stateJson());
             return true;
         }},
        {"control",
         [this](StateRequest request) { return m_control->tryPost(std::move(request)); }},
    };
    return sources;
}

} // namespace mangoshift
