#include "duties/ticketduty.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include "base/atexit.h"
#include "base/jsontext.h"
#include "base/log.h"
#include "duties/ticketwire.h"
#include "mangoshift/shardpick.h"

namespace mangoshift {

namespace {

constexpr std::size_t RingCapacity = 16384;
constexpr std::chrono::seconds PruneInterval{1};
/// How many copies of a submission, including the first, may wait for its outcome.
constexpr std::size_t MaxWaiters = 64;
/// The limit on retries of submissions, as a fraction of first copies, and the largest burst of
/// retries.
constexpr double RetryShare = 0.01;
constexpr double RetryBurst = 10;

std::uint64_t fingerprintOf(const SubmissionRequest &request)
{
    XXH64_hash_t hash = 0;
    for (const std::string *part : {&request.body->service, &request.shardKey, &request.body->body})
        hash = XXH64(part->data(), part->size(), hash + part->size());
    return hash;
}

TicketOutcome outcomeOf(const Verdict &verdict)
{
    return {verdict, {}};
}

} // namespace

struct TicketDuty::RunningSubmission
{
    RunningSubmission(SubmissionRequest submission, SubmissionPlan plan,
                      ExchangeIdGenerator nextExchange, RetryBudget &budget, asio::io_context &io)
        : request(std::move(submission))
        , machine(std::move(plan), std::move(nextExchange), budget)
        , timer(io)
    {
    }

    SubmissionRequest request;
    SubmissionMachine machine;
    Timer timer;
    std::vector<SubmissionReply> waiters;
    std::vector<ExchangeId> exchanges;
};

TicketDuty::TicketDuty(Member self, PlacementPolicy placement, FrameSink send, LinkSink sendOnLink)
    : m_self(std::move(self))
    , m_placement(placement)
    , m_send(std::move(send))
    , m_sendOnLink(std::move(sendOnLink))
    , m_duty("tickets", RingCapacity)
    , m_pruneTimer(m_duty.io())
    , m_ledger(m_self.vm, m_self.incarnation, m_limits)
    , m_budget(RetryShare, RetryBurst)
    , m_lastExchange(TicketExchangeBit | (m_self.incarnation << 32U))
{
}

TicketDuty::~TicketDuty()
{
    stop();
}

void TicketDuty::start()
{
    armPruneTimer();
    m_duty.start([this](TicketMessage &message) { handle(message); });
}

void TicketDuty::stop()
{
    m_duty.stop();
}

void TicketDuty::handle(TicketMessage &message)
{
    std::visit(Overloaded{
                   [this](IssueTickets &each) { onIssueTickets(each); },
                   [this](CallerSubmission &each) { onCallerSubmission(each); },
                   [this](PeerTicketRequest &each) { onPeerRequest(each); },
                   [this](PeerTicketReply &each) { onPeerReply(each); },
                   [this](PeerReplies &each) { onHomeReplies(each); },
                   [this](ExchangeUnsent &each) { onExchangeUnsent(each.exchange); },
                   [this](PeerLost &each) { onPeerLost(each.vm); },
                   [this](DocumentChanged &each) { m_document = std::move(each.document); },
                   [this](MembersChanged &each) { m_members = std::move(each.members); },
                   [this](StateRequest &each) { each.reply(stateJson()); },
               },
               message);
    m_pending = m_running.size() + m_forwards.size();
}

void TicketDuty::onIssueTickets(IssueTickets &message)
{
    if (m_isLeaving) {
        message.reply(tl::make_unexpected(Verdict{Execution::NotRun, Reason::Draining}));
        return;
    }
    const auto block = m_ledger.issue(message.count, Clock::now());
    if (!block) {
        message.reply(tl::make_unexpected(block.error()));
        return;
    }
    std::vector<std::string> texts;
    texts.reserve(block->count);
    for (std::uint64_t i = 0; i < block->count; ++i)
        texts.push_back(formatTicket(m_ledger.ticket(*block, i)));
    message.reply(std::move(texts));
}

void TicketDuty::onCallerSubmission(CallerSubmission &message)
{
    SubmissionRequest &request = message.request;
    if (request.ticket.sequence == 0) {
        const auto block = m_ledger.issue(1, Clock::now());
        if (!block) {
            message.reply({}, outcomeOf(block.error()));
            return;
        }
        request.ticket = m_ledger.ticket(*block, 0);
    }
    std::string text = formatTicket(request.ticket);
    submit(std::move(request),
           [text = std::move(text), reply = std::move(message.reply)](TicketOutcome outcome) {
               reply(text, std::move(outcome));
           });
}

void TicketDuty::onPeerRequest(PeerTicketRequest &message)
{
    const LinkId link = message.link;
    const ExchangeId exchange = message.request.exchange;
    auto ticket = parseTicket(message.request.ticket);
    if (!ticket || !m_ledger.isOwn(*ticket)) {
        // The incarnation that issued the ticket has ended, so it is unknown whether the request
        // ran.
        m_sendOnLink(link,
                     makeTicketReplyFrame(
                         exchange, outcomeOf({Execution::MayHaveRun, Reason::UnknownTicket})));
        return;
    }
    submit(submissionFrom(message.request, std::move(*ticket), message.arrivedAt),
           [this, link, exchange](TicketOutcome outcome) {
               m_sendOnLink(link, makeTicketReplyFrame(exchange, std::move(outcome)));
           });
}

void TicketDuty::onPeerReply(PeerTicketReply &message)
{
    const ExchangeId exchange = message.reply.exchange;
    endForward(exchange, outcomeFrom(std::move(message.reply)));
}

void TicketDuty::onHomeReplies(const PeerReplies &message)
{
    const ExchangeId exchange = message.replies.exchange;
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end() || message.replies.replies.empty())
        return;
    TicketOutcome outcome = outcomeFrom(*message.replies.replies.front());
    const std::uint64_t sequence = it->second;
    const auto running = m_running.find(sequence);
    if (running != m_running.end()) {
        perform(sequence,
                running->second->machine.onReply(exchange, std::move(outcome), Clock::now()));
        return;
    }
    // The submission has ended without this reply, for example at its deadline. The reply is
    // recorded for repeats with the same ticket.
    m_exchanges.erase(it);
    m_ledger.finish(sequence, std::move(outcome));
}

void TicketDuty::onExchangeUnsent(ExchangeId exchange)
{
    if (m_forwards.contains(exchange)) {
        endForward(exchange, outcomeOf({Execution::MayHaveRun, Reason::Lost}));
        return;
    }
    const auto it = m_exchanges.find(exchange);
    if (it == m_exchanges.end())
        return;
    const std::uint64_t sequence = it->second;
    m_exchanges.erase(it);
    if (const auto running = m_running.find(sequence); running != m_running.end())
        perform(sequence, running->second->machine.onUnsent(exchange, Clock::now()));
}

void TicketDuty::onPeerLost(const VmId &vm)
{
    std::vector<ExchangeId> forwards;
    for (const auto &[exchange, each] : m_forwards)
        if (each.issuer == vm)
            forwards.push_back(exchange);
    for (const ExchangeId exchange : forwards)
        endForward(exchange, outcomeOf({Execution::MayHaveRun, Reason::Lost}));
    std::vector<std::uint64_t> sequences;
    for (const auto &[sequence, each] : m_running)
        sequences.push_back(sequence);
    for (const std::uint64_t sequence : sequences)
        if (const auto it = m_running.find(sequence); it != m_running.end())
            perform(sequence, it->second->machine.onHomeLost(vm));
}

void TicketDuty::submit(SubmissionRequest request, SubmissionReply reply)
{
    if (request.ticket.vm != m_self.vm) {
        forward(request, std::move(reply));
        return;
    }
    const std::uint64_t sequence = request.ticket.sequence;
    const Clock::time_point now = Clock::now();
    TicketAdmission admission = m_ledger.begin(request.ticket, fingerprintOf(request), now);
    std::visit(Overloaded{
                   [&](RunTicket &each) { run(std::move(request), std::move(reply), each.expiry); },
                   [&](AwaitTicket &) {
                       const auto it = m_running.find(sequence);
                       if (it == m_running.end() || it->second->waiters.size() >= MaxWaiters)
                           reply(outcomeOf({Execution::MayHaveRun, Reason::Overloaded}));
                       else
                           it->second->waiters.push_back(std::move(reply));
                   },
                   [&](TicketOutcome &each) { reply(std::move(each)); },
               },
               admission);
}

void TicketDuty::forward(SubmissionRequest &request, SubmissionReply reply)
{
    const ExchangeId exchange = ++m_lastExchange;
    const VmId issuer = request.ticket.vm;
    if (!m_send(issuer, makeTicketRequestFrame(exchange, request))) {
        reply(outcomeOf({Execution::MayHaveRun, Reason::Overloaded}));
        return;
    }
    auto timer = std::make_unique<Timer>(m_duty.io());
    timer->expires_at(request.deadline);
    timer->async_wait([this, exchange](asio::error_code error) {
        if (!error)
            endForward(exchange, outcomeOf({Execution::MayHaveRun, Reason::DeadlineExceeded}));
    });
    m_forwards.emplace(exchange, Forward{issuer, std::move(reply), std::move(timer)});
}

void TicketDuty::endForward(ExchangeId exchange, TicketOutcome outcome)
{
    const auto it = m_forwards.find(exchange);
    if (it == m_forwards.end())
        return;
    const Forward ended = std::move(it->second);
    m_forwards.erase(it);
    ended.reply(std::move(outcome));
    m_pending = m_running.size() + m_forwards.size();
}

void TicketDuty::run(SubmissionRequest request, SubmissionReply reply, Clock::time_point expiry)
{
    const std::uint64_t sequence = request.ticket.sequence;
    auto plan = planOf(request);
    if (!plan) {
        m_ledger.finish(sequence, outcomeOf(plan.error()));
        reply(outcomeOf(plan.error()));
        return;
    }
    plan->deadline = std::min(request.deadline, expiry);
    auto running = std::make_unique<RunningSubmission>(
        std::move(request), std::move(*plan), [this] { return ++m_lastExchange; }, m_budget,
        m_duty.io());
    running->waiters.push_back(std::move(reply));
    RunningSubmission &added = *m_running.emplace(sequence, std::move(running)).first->second;
    perform(sequence, added.machine.start(Clock::now()));
}

tl::expected<SubmissionPlan, Verdict> TicketDuty::planOf(const SubmissionRequest &request) const
{
    if (!m_document || !m_members)
        return tl::make_unexpected(Verdict{Execution::NotRun, Reason::NotReady});
    const Document &document = m_document->document();
    const Service *service = document.service(request.body->service);
    if (service == nullptr || document.kinds[service->kind].isIdempotent)
        return tl::make_unexpected(Verdict{Execution::NotRun, Reason::BadRequest});
    const Shard *shard = pickShard(*service, request.shardKey);
    if (shard == nullptr)
        return tl::make_unexpected(Verdict{Execution::NotRun, Reason::UnknownShard});
    SubmissionPlan plan;
    plan.shard = shard->key;
    plan.homes = homesOf(*shard, document, *m_members, m_self, m_placement);
    return plan;
}

void TicketDuty::perform(std::uint64_t sequence, SubmissionActions actions)
{
    for (SubmissionAction &action : actions)
        std::visit(Overloaded{
                       [&](SendSubmission &each) { sendSubmission(sequence, each); },
                       [&](CancelSubmission &each) {
                           wire::CancelShardsT cancel;
                           cancel.exchange = each.exchange;
                           cancel.shards = {each.shard.value};
                           m_send(each.home, makeFrame(std::move(cancel)));
                       },
                       [&](ArmTimer &each) {
                           Timer &timer = m_running.at(sequence)->timer;
                           timer.expires_at(each.at);
                           timer.async_wait([this, sequence](asio::error_code error) {
                               const auto it = m_running.find(sequence);
                               if (!error && it != m_running.end())
                                   perform(sequence, it->second->machine.onTimer(Clock::now()));
                           });
                       },
                       [&](FinishSubmission &each) { finish(sequence, std::move(each.outcome)); },
                   },
                   action);
}

void TicketDuty::sendSubmission(std::uint64_t sequence, const SendSubmission &action)
{
    RunningSubmission &running = *m_running.at(sequence);
    m_exchanges.emplace(action.exchange, sequence);
    running.exchanges.push_back(action.exchange);
    if (!m_send(action.home, makeSubmissionFrame(action, running.request))) {
        // Posted, because the machine's actions are still being performed.
        asio::post(m_duty.io(), [this, exchange = action.exchange] { onExchangeUnsent(exchange); });
    }
}

void TicketDuty::finish(std::uint64_t sequence, TicketOutcome outcome)
{
    const auto it = m_running.find(sequence);
    const std::unique_ptr<RunningSubmission> ended = std::move(it->second);
    m_running.erase(it);
    const Verdict &verdict = outcome.verdict;
    // After MayHaveRun, the home's reply may still arrive.
    if (verdict.execution != Execution::MayHaveRun)
        for (const ExchangeId exchange : ended->exchanges)
            m_exchanges.erase(exchange);
    if (!verdict.isOk())
        logEvent(LogLevel::Info, "submission_not_answered",
                 {{"request", ended->request.body->requestId},
                  {"ticket", formatTicket(ended->request.ticket)},
                  {"execution", std::string(toString(verdict.execution))},
                  {"reason", std::string(toString(verdict.reason))}});
    for (const SubmissionReply &reply : ended->waiters)
        reply(outcome);
    m_ledger.finish(sequence, std::move(outcome));
    m_pending = m_running.size() + m_forwards.size();
}

void TicketDuty::armPruneTimer()
{
    m_pruneTimer.expires_after(PruneInterval);
    m_pruneTimer.async_wait([this](asio::error_code error) {
        if (error)
            return;
        const AtExit next([this] { armPruneTimer(); });
        m_ledger.prune(Clock::now());
        std::erase_if(m_exchanges, [this](const auto &each) {
            return !m_running.contains(each.second) && !m_ledger.isUsed(each.second);
        });
    });
}

std::string TicketDuty::stateJson() const
{
    return jsonText(nlohmann::json{{"tickets", m_ledger.tickets()},
                                   {"max_tickets", m_limits.maxTickets},
                                   {"used", m_ledger.usedTickets()},
                                   {"result_bytes", m_ledger.resultBytes()},
                                   {"running", m_running.size()},
                                   {"forwarded", m_forwards.size()},
                                   {"ring", m_duty.ringSize()},
                                   {"ring_rejected", m_duty.rejected()}});
}

} // namespace mangoshift
