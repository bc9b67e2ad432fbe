#include "entry/retrybudgets.h"

#include <map>
#include <utility>

#include <asio/post.hpp>

#include "base/log.h"
#include "mangoshift/retrypool.h"

namespace mangoshift {

namespace {

/// How long a reply from the pool is waited for: less than the delay after which a hedge would no
/// longer help the caller.
constexpr std::chrono::milliseconds PoolReplyTimeout{100};
/// The shortest time for which a share is reported as spent, so that a share close to the limit
/// does not flood the log.
constexpr std::chrono::milliseconds MinSpentTime{1000};

} // namespace

RetryBudgets::RetryBudgets(asio::io_context &io, const RetryBudgetTerms &terms,
                           std::size_t assumedVms, RequestFromPool requestFromPool)
    : m_io(io)
    , m_terms(terms)
    , m_assumedVms(assumedVms)
    , m_fleetSize(assumedVms)
    , m_requestFromPool(std::move(requestFromPool))
{
}

double RetryBudgets::slackShare() const
{
    const double sharedSlack = isPooled() ? 1.0 - PooledSlackShare : 1.0;
    return sharedSlack / static_cast<double>(m_fleetSize);
}

void RetryBudgets::setTerms(const RetryBudgetTerms &terms)
{
    if (terms == m_terms)
        return;
    m_terms = terms;
    m_accounts.clear();
}

void RetryBudgets::growFleet(std::size_t vms)
{
    if (vms <= m_fleetSize)
        return;
    m_fleetSize = vms;
    for (auto &[service, account] : m_accounts)
        account.share.setSlackShare(slackShare());
}

RetryBudgets::Account &RetryBudgets::account(const std::string &service)
{
    return m_accounts.try_emplace(service, Account{RetryShare(m_terms, slackShare())})
        .first->second;
}

bool RetryBudgets::hasBudget(const std::string &service, Clock::time_point now)
{
    Account &account = this->account(service);
    const bool hasBudget = account.share.remaining(now) >= 1.0;
    if (!hasBudget && !account.spentSince) {
        account.spentSince = now;
        logEvent(LogLevel::Info, "retry_budget_spent",
                 {{"service", service}, {"fleet_size", std::to_string(m_fleetSize)}});
    } else if (hasBudget && account.spentSince && now - *account.spentSince >= MinSpentTime) {
        account.spentSince.reset();
        logEvent(LogLevel::Info, "retry_budget_back", {{"service", service}});
    }
    return hasBudget;
}

bool RetryBudgets::requestExtra(const std::string &service, OnPoolReply onPoolReply,
                                Clock::time_point now)
{
    if (!isPooled())
        return false;
    if (m_unsentExtras.empty())
        asio::post(m_io, [this] { sendPoolRequest(); });
    m_unsentExtras.push_back({service, std::move(onPoolReply)});
    m_poolRequests[m_lastSequence + 1].denyAt = now + PoolReplyTimeout;
    return true;
}

void RetryBudgets::sendPoolRequest()
{
    const std::uint64_t sequence = ++m_lastSequence;
    PoolRequest &request = m_poolRequests[sequence];
    request.extras = std::exchange(m_unsentExtras, {});
    std::map<std::string, std::uint32_t> counts;
    for (const ExtraRequest &extra : request.extras)
        ++counts[extra.service];
    m_requestFromPool({sequence, {counts.begin(), counts.end()}});
}

void RetryBudgets::onGrants(const BudgetGrants &grants)
{
    auto node = m_poolRequests.extract(grants.sequence);
    if (node.empty())
        return;
    std::map<std::string, std::uint32_t> grantsLeft(grants.counts.begin(), grants.counts.end());
    for (const ExtraRequest &extra : node.mapped().extras) {
        std::uint32_t &count = grantsLeft[extra.service];
        const bool isGranted = count > 0;
        count -= isGranted ? 1 : 0;
        extra.onPoolReply(isGranted);
    }
}

void RetryBudgets::sweep(Clock::time_point now)
{
    std::vector<std::uint64_t> overdue;
    for (const auto &[sequence, request] : m_poolRequests)
        if (sequence <= m_lastSequence && now >= request.denyAt)
            overdue.push_back(sequence);
    for (const std::uint64_t sequence : overdue)
        onGrants({sequence, {}});
}

} // namespace mangoshift
