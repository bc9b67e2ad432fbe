#include "entry/permitrequests.h"

#include <utility>

#include <asio/post.hpp>

namespace mangoshift {

namespace {

/// How long a reply from the pool is waited for: less than what the users' most urgent requests
/// have until their latency target, with the time between two sweeps.
constexpr std::chrono::milliseconds ReplyTimeout{100};

} // namespace

PermitRequests::PermitRequests(asio::io_context &io, RequestFromPool requestFromPool)
    : m_io(io)
    , m_requestFromPool(std::move(requestFromPool))
{
}

void PermitRequests::request(PermitAsk ask, OnOutcome onOutcome, Clock::time_point now)
{
    if (m_unsentAsks.empty())
        asio::post(m_io, [this] { send(); });
    m_unsentAsks.push_back(std::move(ask));
    m_unsentOutcomes.push_back(std::move(onOutcome));
    m_pending[m_lastSequence + 1].denyAt = now + ReplyTimeout;
}

void PermitRequests::send()
{
    const std::uint64_t sequence = ++m_lastSequence;
    m_pending[sequence].onOutcomes = std::exchange(m_unsentOutcomes, {});
    m_requestFromPool({sequence, std::exchange(m_unsentAsks, {})});
}

void PermitRequests::onReply(const PermitReply &reply)
{
    auto node = m_pending.extract(reply.sequence);
    if (node.empty())
        return;
    const std::vector<OnOutcome> &onOutcomes = node.mapped().onOutcomes;
    for (std::size_t i = 0; i < onOutcomes.size(); ++i)
        onOutcomes[i](i < reply.outcomes.size() ? reply.outcomes[i] : PermitOutcome{});
}

void PermitRequests::sweep(Clock::time_point now)
{
    std::vector<std::uint64_t> overdue;
    for (const auto &[sequence, pending] : m_pending)
        if (sequence <= m_lastSequence && now >= pending.denyAt)
            overdue.push_back(sequence);
    for (const std::uint64_t sequence : overdue)
        onReply({sequence, {}});
}

} // namespace mangoshift
