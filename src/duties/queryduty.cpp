#include "duties/queryduty.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "base/jsontext.h"
#include "duties/verdictwire.h"
#include "duties/wiretime.h"

namespace mangoshift {

namespace {

constexpr std::size_t RingCapacity = 65536;
/// A query ends this long before the caller's deadline, so that the response is sent in time. For
/// short deadlines the margin is a tenth of the remaining time.
constexpr std::chrono::milliseconds AnswerMargin{5};

ShardOutcome fromWire(wire::ShardReplyT &reply)
{
    ShardOutcome outcome;
    outcome.shard = ShardKey{reply.shard};
    outcome.verdict = verdictFromWire(reply.execution, reply.reason, reply.retry_after_ms);
    outcome.snapshot = reply.snapshot;
    outcome.held = {reply.held_oldest, reply.held_newest};
    outcome.rows = std::move(reply.rows);
    outcome.extraRequests = reply.extra_requests;
    return outcome;
}

std::vector<std::uint64_t> keyValues(const std::vector<ShardKey> &keys)
{
    std::vector<std::uint64_t> values;
    values.reserve(keys.size());
    for (const ShardKey &key : keys)
        values.push_back(key.value);
    return values;
}

} // namespace

struct QueryDuty::RunningQuery
{
    RunningQuery(CallerQuery callerQuery, QueryPlan plan, RootState &root, asio::io_context &io)
        : caller(std::move(callerQuery))
        , machine(std::move(plan), root)
        , timer(io)
    {
    }

    CallerQuery caller;
    QueryMachine machine;
    asio::basic_waitable_timer<Clock> timer;
    std::vector<ExchangeId> exchanges;
};

QueryDuty::QueryDuty(Member self, Options options, FrameSink send)
    : m_self(std::move(self))
    , m_isHedging(options.hedges)
    , m_plans(m_self, options.placement)
    , m_root(m_self.incarnation << 32U)
    , m_send(std::move(send))
    , m_duty("queries", RingCapacity)
{
}

QueryDuty::~QueryDuty()
{
    stop();
}

void QueryDuty::start()
{
    m_duty.start([this](QueryMessage &message) { handle(message); });
}

void QueryDuty::stop()
{
    m_duty.stop();
}

void QueryDuty::handle(QueryMessage &message)
{
    std::visit(Overloaded{
                   [this](CallerQuery &each) { onCallerQuery(each); },
                   [this](PeerReplies &each) { onReplies(each); },
                   [this](PeerLost &each) { onPeerLost(each.vm); },
                   [this](DocumentChanged &each) { onDocument(each.document); },
                   [this](MembersChanged &each) { onMembers(std::move(each.members)); },
                   [this](StateRequest &each) { each.reply(stateJson()); },
               },
               message);
}

void QueryDuty::onCallerQuery(CallerQuery &query)
{
    if (!m_members) {
        query.reply({{Execution::NotRun, Reason::NotReady}, {}});
        return;
    }
    const Clock::time_point now = Clock::now();
    const QueryId id = ++m_lastQuery;
    QueryPlan plan = planOf(query, now);
    auto running =
        std::make_unique<RunningQuery>(std::move(query), std::move(plan), m_root, m_duty.io());
    RunningQuery &added = *m_queries.emplace(id, std::move(running)).first->second;
    perform(id, added.machine.start(now));
}

void QueryDuty::onReplies(PeerReplies &message)
{
    const ExchangeId id = message.replies.exchange;
    const auto exchange = m_exchanges.find(id);
    if (exchange == m_exchanges.end())
        return;
    const QueryId query = exchange->second.query;
    const Clock::time_point now = Clock::now();
    std::vector<ShardOutcome> outcomes;
    outcomes.reserve(message.replies.replies.size());
    for (const auto &reply : message.replies.replies)
        outcomes.push_back(fromWire(*reply));
    // All replies of the frame update the root state first, because the query machine's decisions
    // depend on it.
    recordOutcomes(exchange->second, m_queries.at(query)->caller.body->service, outcomes, now);
    for (ShardOutcome &outcome : outcomes) {
        const auto it = m_queries.find(query);
        if (it == m_queries.end())
            return;
        perform(query, it->second->machine.onOutcome(id, std::move(outcome), now));
    }
}

void QueryDuty::recordOutcomes(const Exchange &exchange, const std::string &service,
                               const std::vector<ShardOutcome> &outcomes, Clock::time_point now)
{
    m_root.homes().onReply(exchange.home, now);
    const auto time = std::chrono::duration_cast<std::chrono::microseconds>(now - exchange.sentAt);
    for (const ShardOutcome &outcome : outcomes) {
        m_root.snapshots().onSnapshotRange(outcome.shard, exchange.failureDomain, outcome.held,
                                           now);
        if (outcome.verdict.isOk())
            m_root.onReplyTime(service, time);
    }
}

void QueryDuty::onPeerLost(const VmId &vm)
{
    m_root.homes().onUnreachable(vm, Clock::now());
    std::vector<QueryId> ids;
    ids.reserve(m_queries.size());
    for (const auto &[id, query] : m_queries)
        ids.push_back(id);
    for (const QueryId id : ids)
        if (const auto it = m_queries.find(id); it != m_queries.end())
            perform(id, it->second->machine.onHomeLost(vm, Clock::now()));
}

void QueryDuty::onDocument(const DocumentPtr &document)
{
    m_root.snapshots().keepOnly(*document);
}

void QueryDuty::onMembers(MemberViewPtr members)
{
    m_members = std::move(members);
    m_root.homes().keepOnly(*m_members);
}

QueryPlan QueryDuty::planOf(const CallerQuery &query, Clock::time_point now)
{
    const auto timeLeft =
        std::chrono::duration_cast<std::chrono::microseconds>(query.deadline - now);
    const std::chrono::microseconds margin = std::min<std::chrono::microseconds>(
        AnswerMargin, std::max(timeLeft / 10, std::chrono::microseconds(0)));
    QueryPlan plan;
    plan.service = m_plans.planOf(query.document, *query.service, m_members);
    plan.deadline = query.deadline - margin;
    plan.snapshot = m_root.snapshots().choose(plan.service);
    plan.isIdempotent = query.body->isIdempotent;
    if (m_isHedging)
        plan.hedgeDelay = m_root.hedgeDelay(query.service->name, timeLeft);
    plan.typicalTime = m_root.typicalReplyTime(query.service->name);
    return plan;
}

void QueryDuty::perform(QueryId id, QueryActions actions)
{
    for (QueryAction &action : actions)
        std::visit(Overloaded{
                       [&](SendBatch &each) { sendBatch(id, each); },
                       [&](CancelBatch &each) { sendCancel(each); },
                       [&](ArmTimer &each) { armTimer(id, each.at); },
                       [&](FinishQuery &each) { finish(id, each); },
                   },
                   action);
}

void QueryDuty::armTimer(QueryId id, Clock::time_point at)
{
    auto &timer = m_queries.at(id)->timer;
    timer.expires_at(at);
    timer.async_wait([this, id](asio::error_code error) {
        const auto it = m_queries.find(id);
        if (!error && it != m_queries.end())
            perform(id, it->second->machine.onTimer(Clock::now()));
    });
}

void QueryDuty::sendCancel(const CancelBatch &action)
{
    wire::CancelShardsT cancel;
    cancel.exchange = action.exchange;
    cancel.shards = keyValues(action.shards);
    m_send(action.home, makeFrame(std::move(cancel)));
}

void QueryDuty::sendBatch(QueryId id, SendBatch &action)
{
    RunningQuery &query = *m_queries.at(id);
    const RequestBody &body = *query.caller.body;
    const Clock::time_point now = Clock::now();
    wire::ShardBatchT batch;
    batch.exchange = action.exchange;
    batch.service = body.service;
    batch.failure_domain = action.failureDomain;
    batch.snapshot = action.snapshot;
    batch.sent_at_us = toWireTime(now);
    batch.deadline_us = toWireTimeLeft(query.machine.plan().deadline, now);
    batch.priority = body.priority;
    batch.idempotent = body.isIdempotent;
    batch.request_id = body.requestId;
    batch.traceparent = body.traceparent;
    batch.body = body.body;
    batch.idempotency_key = body.idempotencyKey;
    batch.shards = keyValues(action.shards);
    m_exchanges.emplace(action.exchange,
                        Exchange{id, action.home, std::move(action.failureDomain), now});
    query.exchanges.push_back(action.exchange);
    if (!m_send(action.home, makeFrame(std::move(batch)))) {
        // Posted, because the machine's actions are still being performed.
        asio::post(m_duty.io(), [this, id, exchange = action.exchange] {
            if (const auto it = m_queries.find(id); it != m_queries.end())
                perform(id, it->second->machine.onUnsent(exchange, Clock::now()));
        });
    }
}

void QueryDuty::finish(QueryId id, FinishQuery &action)
{
    const auto it = m_queries.find(id);
    const std::unique_ptr<RunningQuery> query = std::move(it->second);
    m_queries.erase(it);
    for (const ExchangeId exchange : query->exchanges)
        m_exchanges.erase(exchange);
    ++m_answeredQueries;
    if (action.answer.isComplete())
        ++m_completeQueries;
    query->caller.reply({{Execution::Ran, Reason::Ok}, std::move(action.answer)});
}

std::string QueryDuty::stateJson() const
{
    return jsonText(nlohmann::json{{"running", m_queries.size()},
                                   {"answered", m_answeredQueries},
                                   {"complete", m_completeQueries},
                                   {"plans_made", m_plans.plansMade()},
                                   {"suspect_homes", m_root.homes().suspectCount()},
                                   {"home_suspicions", m_root.homes().suspicions()},
                                   {"extra_tokens", m_root.extraTokens()},
                                   {"ring", m_duty.ringSize()},
                                   {"ring_rejected", m_duty.rejected()}});
}

} // namespace mangoshift
