#include "entry/retrybudgets.h"

#include <map>
#include <utility>

#include <asio/post.hpp>

#include "base/log.h"
#include "mangoshift/retrypool.h"

namespace mangoshift {

namespace {

/// How long the pool's answer is awaited: less than a caller waits for a hedge to pay off.
constexpr std::chrono::milliseconds AnswerPatience{100};
/// How long a share counts as spent at least, so that one on the brink does not fill the log.
constexpr std::chrono::milliseconds SpentAtLeast{1000};

} // namespace

RetryBudgets::RetryBudgets(asio::io_context &io, const RetryBudgetTerms &terms,
                           std::size_t assumedVms, AskPool askPool)
    : m_io(io)
    , m_terms(terms)
    , m_assumedVms(assumedVms)
    , m_fleetSize(assumedVms)
    , m_askPool(std::move(askPool))
{
}

double RetryBudgets::slackShare() const
{
    const double whole = isPooled() ? 1.0 - PooledSlackShare : 1.0;
    return whole / static_cast<double>(m_fleetSize);
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

bool RetryBudgets::hasRoom(const std::string &service, Clock::time_point now)
{
    Account &account = this->account(service);
    const bool hasRoom = account.share.remaining(now) >= 1.0;
    if (!hasRoom && !account.spentSince) {
        account.spentSince = now;
        logEvent(LogLevel::Info, "retry_budget_spent",
                 {{"service", service}, {"fleet_size", std::to_string(m_fleetSize)}});
    } else if (hasRoom && account.spentSince && now - *account.spentSince >= SpentAtLeast) {
        account.spentSince.reset();
        logEvent(LogLevel::Info, "retry_budget_back", {{"service", service}});
    }
    return hasRoom;
}

bool RetryBudgets::ask(const std::string &service, Granted granted, Clock::time_point now)
{
    if (!isPooled())
        return false;
    if (m_wishes.empty())
        asio::post(m_io, [this] { send(); });
    m_wishes.push_back({service, std::move(granted)});
    m_questions[m_lastSequence + 1].denyAt = now + AnswerPatience;
    return true;
}

void RetryBudgets::send()
{
    const std::uint64_t sequence = ++m_lastSequence;
    Question &question = m_questions[sequence];
    question.wishes = std::exchange(m_wishes, {});
    std::map<std::string, std::uint32_t> counts;
    for (const Wish &wish : question.wishes)
        ++counts[wish.service];
    m_askPool({sequence, {counts.begin(), counts.end()}});
}

void RetryBudgets::onGrants(const BudgetGrants &grants)
{
    auto node = m_questions.extract(grants.sequence);
    if (node.empty())
        return;
    std::map<std::string, std::uint32_t> remaining(grants.counts.begin(), grants.counts.end());
    for (const Wish &wish : node.mapped().wishes) {
        std::uint32_t &count = remaining[wish.service];
        const bool isGranted = count > 0;
        count -= isGranted ? 1 : 0;
        wish.granted(isGranted);
    }
}

void RetryBudgets::sweep(Clock::time_point now)
{
    std::vector<std::uint64_t> late;
    for (const auto &[sequence, question] : m_questions)
        if (sequence <= m_lastSequence && now >= question.denyAt)
            late.push_back(sequence);
    for (const std::uint64_t sequence : late)
        onGrants({sequence, {}});
}

} // namespace mangoshift
