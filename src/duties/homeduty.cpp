#include "duties/homeduty.h"

#include <algorithm>
#include <limits>

#include <asio/post.hpp>

#include "base/log.h"
#include "duties/targetprotocol.h"
#include "mangoshift/membership.h"
#include "mangoshift/replyhold.h"

namespace mangoshift {

namespace {

constexpr std::size_t RingCapacity = 65536;
constexpr std::chrono::milliseconds PauseCheckInterval{100};
/// The shortest gap between two runs of the duty at which the process counts as paused. It is
/// several times the scheduling delay of a busy machine, and less than the seconds within which
/// requests to a removed target have to stop.
constexpr std::chrono::milliseconds PauseThreshold{800};
/// How long homes stay suspended after a pause if the configuration is not confirmed, as on a VM
/// that cannot reach any other. Equals the time for which the VM declares no suspect dead.
constexpr std::chrono::milliseconds ConfirmTimeout = MembershipOptions().staleViewTimeout;

std::shared_ptr<const RequestBody> bodyOf(wire::ShardBatchT &batch)
{
    auto body = std::make_shared<RequestBody>();
    body->requestId = std::move(batch.request_id);
    body->service = std::move(batch.service);
    body->traceparent = std::move(batch.traceparent);
    body->body = std::move(batch.body);
    body->idempotencyKey = std::move(batch.idempotency_key);
    body->priority = batch.priority;
    body->isIdempotent = batch.idempotent;
    return body;
}

wire::ShardReplyT toWire(ShardOutcome outcome)
{
    wire::ShardReplyT reply;
    reply.shard = outcome.shard.value;
    reply.execution = static_cast<std::uint8_t>(outcome.verdict.execution);
    reply.reason = static_cast<std::uint8_t>(outcome.verdict.reason);
    reply.retry_after_ms = static_cast<std::uint32_t>(outcome.verdict.retryAfter.count());
    reply.snapshot = outcome.snapshot;
    reply.held_oldest = outcome.held.oldest;
    reply.held_newest = outcome.held.newest;
    reply.rows = std::move(outcome.rows);
    reply.extra_requests = outcome.extraRequests;
    return reply;
}

void logTargetChange(const TargetChanged &change)
{
    const bool isActive = change.condition == TargetCondition::Active;
    logEvent(isActive ? LogLevel::Info : LogLevel::Warning,
             "target_" + std::string(toString(change.condition)),
             {{"target", change.target},
              {"failure_domain", change.failureDomain},
              {"in_flight", std::to_string(change.slotsInUse)},
              {"typical_latency_us", std::to_string(change.typicalLatency.count())}});
}

} // namespace

HomeDuty::HomeDuty(Options options, ReplySink send, PauseSink onPaused)
    : m_options(std::move(options))
    , m_send(std::move(send))
    , m_onPaused(std::move(onPaused))
    , m_duty("homes", RingCapacity)
    , m_pauseTimer(m_duty.io())
    , m_schedulerTimer(m_duty.io())
    , m_healthTimer(m_duty.io())
    , m_scheduler(m_options.scheduler)
    , m_retirementTimer(m_duty.io())
    , m_flushTimer(m_duty.io())
{
}

HomeDuty::~HomeDuty()
{
    stop();
}

void HomeDuty::start()
{
    m_lastActive = Clock::now();
    checkForPause();
    checkDrainingTargets();
    m_duty.start([this](HomeMessage &message) { handle(message); });
}

void HomeDuty::stop()
{
    m_duty.stop();
}

void HomeDuty::handle(HomeMessage &message)
{
    suspendIfPaused();
    std::visit(Overloaded{
                   [this](HomeBatch &each) { onBatch(each); },
                   [this](HomeCancel &each) { onCancel(each); },
                   [this](LinkLost &each) { onLinkLost(each.link); },
                   [this](DocumentChanged &each) { onDocument(std::move(each.document)); },
                   [this](MembersChanged &each) { onMembers(*each.members); },
                   [this](ConfigConfirmed &each) { onConfigConfirmed(each); },
                   [this](StateRequest &each) { each.reply(stateJson()); },
               },
               message);
    updatePending();
}

/// Suspends the homes if the process was paused since this duty last ran. Returns the current time.
Clock::time_point HomeDuty::suspendIfPaused()
{
    const Clock::time_point now = Clock::now();
    const Clock::duration gap = now - std::exchange(m_lastActive, now);
    if (gap < PauseThreshold || !m_document)
        return now;
    m_pauseEndedAt = now;
    logEvent(LogLevel::Warning, "homes_suspended",
             {{"paused_ms",
               std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(gap).count())},
              {"config_version", std::to_string(m_document->document().version)}});
    m_onPaused({now});
    perform(m_scheduler.suspend(now));
    return now;
}

void HomeDuty::checkForPause()
{
    const Clock::time_point now = suspendIfPaused();
    if (m_pauseEndedAt && now >= *m_pauseEndedAt + ConfirmTimeout)
        resume("configuration not confirmed in time");
    m_pauseTimer.expires_at(now + PauseCheckInterval);
    m_pauseTimer.async_wait([this](asio::error_code error) {
        if (!error)
            checkForPause();
    });
}

void HomeDuty::onConfigConfirmed(const ConfigConfirmed &message)
{
    if (m_pauseEndedAt == message.pauseEndedAt)
        resume("configuration confirmed");
}

void HomeDuty::resume(const char *why)
{
    m_pauseEndedAt.reset();
    logEvent(LogLevel::Info, "homes_resumed",
             {{"why", why}, {"config_version", std::to_string(m_document->document().version)}});
    perform(m_scheduler.resume(Clock::now()));
}

void HomeDuty::updatePending()
{
    m_pending = m_requesters.size() + m_bufferedReplies.size();
}

void HomeDuty::onBatch(HomeBatch &message)
{
    const Clock::time_point now = Clock::now();
    ShardRequest request;
    request.deadline = message.arrivedAt + std::chrono::microseconds(message.batch.deadline_us);
    request.failureDomain = message.batch.failure_domain;
    request.snapshot = message.batch.snapshot;
    request.body = bodyOf(message.batch);
    const ExchangeKey exchange{message.link, message.batch.exchange};
    for (const std::uint64_t key : message.batch.shards) {
        request.id = ++m_lastRequest;
        request.shard = ShardKey{key};
        m_requesters.emplace(request.id, Requester{exchange, request.shard, request.deadline});
        m_exchanges[exchange].push_back(request.id);
        perform(m_scheduler.onRequest(request, now));
    }
}

void HomeDuty::onCancel(const HomeCancel &message)
{
    const auto it = m_exchanges.find({message.link, message.cancel.exchange});
    if (it == m_exchanges.end())
        return;
    const std::vector<std::uint64_t> &shards = message.cancel.shards;
    std::vector<ShardRequestId> cancelled;
    for (const ShardRequestId id : it->second)
        if (shards.empty()
            || std::find(shards.begin(), shards.end(), m_requesters.at(id).shard.value)
                != shards.end())
            cancelled.push_back(id);
    cancel(cancelled);
}

void HomeDuty::onLinkLost(LinkId link)
{
    std::vector<ShardRequestId> cancelled;
    const auto end = m_exchanges.upper_bound({link, std::numeric_limits<ExchangeId>::max()});
    for (auto it = m_exchanges.lower_bound({link, 0}); it != end; ++it)
        cancelled.insert(cancelled.end(), it->second.begin(), it->second.end());
    cancel(cancelled);
}

void HomeDuty::cancel(const std::vector<ShardRequestId> &requests)
{
    const Clock::time_point now = Clock::now();
    for (const ShardRequestId id : requests)
        perform(m_scheduler.onCancel(id, now));
}

void HomeDuty::onDocument(DocumentPtr document)
{
    serveDocument(m_retiredShards.onDocument(std::move(document), Clock::now()));
    armRetirementTimer();
}

void HomeDuty::armRetirementTimer()
{
    const auto at = m_retiredShards.nextExpiry();
    if (!at)
        return;
    m_retirementTimer.expires_at(*at);
    m_retirementTimer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        serveDocument(m_retiredShards.onTimer(Clock::now()));
        armRetirementTimer();
    });
}

void HomeDuty::serveDocument(DocumentPtr document)
{
    m_document = document;
    for (const auto &[key, pool] : m_pools)
        m_removedPools.insert(key);
    for (const Target &target : m_document->document().targets) {
        const auto pool = m_pools.find(poolKey(target));
        if (pool == m_pools.end())
            continue;
        m_removedPools.erase(pool->first);
        pool->second->setMaxConnections(maxConnections(target));
    }
    closeRemovedPools();
    perform(m_scheduler.applyDocument(std::move(document), Clock::now()));
}

void HomeDuty::onMembers(const MemberView &view)
{
    if (std::holds_alternative<RegionHomes>(m_options.placement)) {
        std::set<std::string> foreign;
        for (const Member &member : view.members)
            if (member.region != m_options.region)
                foreign.insert(member.failureDomain);
        perform(m_scheduler.setForeignDomains(std::move(foreign), Clock::now()));
        return;
    }
    if (!std::holds_alternative<LocalHomes>(m_options.placement))
        return;
    m_sharingVms = std::max<std::size_t>(view.members.size(), 1);
    if (m_document)
        for (const Target &target : m_document->document().targets)
            if (const auto pool = m_pools.find(poolKey(target)); pool != m_pools.end())
                pool->second->setMaxConnections(maxConnections(target));
    perform(m_scheduler.setSharingVms(m_sharingVms, Clock::now()));
}

void HomeDuty::perform(SchedulerActions actions)
{
    for (SchedulerAction &action : actions)
        std::visit(Overloaded{
                       [this](SendToTarget &each) { sendToTarget(each); },
                       [this](CancelCall &each) { cancelCall(each.call); },
                       [this](ReplyShard &each) { reply(each); },
                       [this](ArmSchedulerTimer &each) { armSchedulerTimer(each.at); },
                       [](TargetChanged &each) { logTargetChange(each); },
                   },
                   action);
    updatePending();
}

void HomeDuty::sendToTarget(SendToTarget &action)
{
    const ShardRef ref = m_document->find(action.request.shard);
    PooledRequest request;
    request.callId = formatCallId(m_options.incarnation, action.call);
    request.message = toTargetRequest(action.request, ref.shard->name, Clock::now());
    request.deadline = action.request.deadline;
    request.isCancellable = action.request.body->isIdempotent;
    TargetPool &pool = poolOf(m_document->document().targets[action.target]);
    const CallId call = action.call;
    m_calls.emplace(call, &pool);
    pool.send(
        std::move(request),
        [this, call](const HttpResult &result) {
            m_calls.erase(call);
            if (!m_removedPools.empty())
                schedulePoolClosing();
            const Clock::time_point now = suspendIfPaused();
            perform(m_scheduler.onCallEnded(call, toCallOutcome(result), now));
        },
        [this, call] { m_scheduler.onCallSent(call); });
}

void HomeDuty::cancelCall(CallId call)
{
    const auto it = m_calls.find(call);
    if (it != m_calls.end())
        it->second->cancel(formatCallId(m_options.incarnation, call));
}

void HomeDuty::reply(ReplyShard &action)
{
    const auto it = m_requesters.find(action.request);
    if (it == m_requesters.end())
        return;
    const Requester requester = it->second;
    m_requesters.erase(it);
    const auto exchange = m_exchanges.find(requester.exchange);
    std::erase(exchange->second, action.request);
    const bool isLast = exchange->second.empty();
    if (isLast)
        m_exchanges.erase(exchange);
    const Clock::time_point now = Clock::now();
    BufferedReplies &buffered = m_bufferedReplies[requester.exchange];
    buffered.dueAt = std::min(buffered.dueAt,
                              replyDueAt(action.outcome.verdict, isLast, requester.deadline, now));
    buffered.frame.exchange = requester.exchange.second;
    buffered.frame.replies.push_back(
        std::make_unique<wire::ShardReplyT>(toWire(std::move(action.outcome))));
    scheduleFlush(buffered.dueAt, now);
}

void HomeDuty::armSchedulerTimer(Clock::time_point at)
{
    m_schedulerTimer.expires_at(at);
    m_schedulerTimer.async_wait([this](asio::error_code error) {
        if (!error)
            perform(m_scheduler.onTimer(suspendIfPaused()));
    });
}

void HomeDuty::scheduleFlush(Clock::time_point at, Clock::time_point now)
{
    if (at >= m_nextFlushAt)
        return;
    m_nextFlushAt = at;
    if (at <= now) {
        // Posted, so that replies that become ready in the same iteration of the event loop are
        // sent in the same frame.
        asio::post(m_duty.io(), [this] { flushReplies(); });
        return;
    }
    m_flushTimer.expires_at(at);
    m_flushTimer.async_wait([this](asio::error_code error) {
        if (!error)
            flushReplies();
    });
}

void HomeDuty::flushReplies()
{
    const Clock::time_point now = Clock::now();
    Clock::time_point next = Clock::time_point::max();
    for (auto it = m_bufferedReplies.begin(); it != m_bufferedReplies.end();) {
        if (it->second.dueAt > now) {
            next = std::min(next, it->second.dueAt);
            ++it;
            continue;
        }
        m_send(it->first.first, std::move(it->second.frame));
        it = m_bufferedReplies.erase(it);
    }
    m_nextFlushAt = Clock::time_point::max();
    scheduleFlush(next, now);
    updateCallMetrics();
    updatePending();
}

} // namespace mangoshift
