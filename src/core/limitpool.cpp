#include "mangoshift/limitpool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace mangoshift {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// The share of a pool's capacity that is kept for each rank of more urgent requests, and the
/// number of ranks that are told apart.
constexpr double ReserveShare = 0.15;
constexpr std::uint32_t MaxReserveRank = 2;
/// How fast denied permits are forgotten.
constexpr Seconds DeniedMemory{1.0};
constexpr std::chrono::seconds AccountLifetime{60};
constexpr milliseconds MaxWait = std::chrono::hours(1);

} // namespace

LimitKey limitKey(const std::string &id, std::uint64_t startedAt)
{
    return XXH64(id.data(), id.size(), startedAt);
}

LimitPool::LimitPool(std::size_t failureDomains)
    : m_failureDomains(std::max<std::size_t>(failureDomains, 1))
{
}

void LimitPool::setIsOwner(bool isOwner, Clock::time_point now)
{
    if (isOwner && !m_isOwner)
        m_grantsStartAt = now + HandoverTime;
    if (!isOwner)
        m_accounts.clear();
    m_isOwner = isOwner;
}

double LimitPool::rate(const Account &account) const
{
    return std::max(account.limit.value_or(0.0), MinLimit) / static_cast<double>(m_failureDomains)
        * m_rateShare;
}

double LimitPool::capacity(const Account &account) const
{
    return 1.0 + rate(account) * Seconds(MaxBurst).count();
}

double LimitPool::level(const Account &account, std::uint32_t priority) const
{
    return 1.0
        + (capacity(account) - 1.0) * ReserveShare
        * static_cast<double>(std::min(priority, MaxReserveRank));
}

LimitPool::Account &LimitPool::account(const HeardLimit &heard, Clock::time_point now)
{
    const auto [it, isNew] = m_accounts.try_emplace(heard.target);
    Account &account = it->second;
    const Clock::time_point heardAt = now - heard.age;
    if (!isNew) {
        const Seconds elapsed = std::max(now - account.updatedAt, Clock::duration::zero());
        account.permits =
            std::min(account.permits + elapsed.count() * rate(account), capacity(account));
        account.denied *= std::exp(-elapsed / DeniedMemory);
    }
    account.updatedAt = now;
    if (isNew || heardAt > account.heardAt) {
        // A limit that is named anew starts without permits.
        if (!account.limit)
            account.permits = 0.0;
        account.limit = heard.limit;
        account.heardAt = heardAt;
        account.permits = std::min(account.permits, capacity(account));
    }
    return account;
}

milliseconds LimitPool::wait(const Account &account, std::uint32_t priority, double further) const
{
    // A target without a limit has room for any request.
    if (!account.limit)
        return milliseconds(0);
    const double lacking = level(account, priority) + further - account.permits;
    const Seconds wait(std::max(lacking, 0.0) / rate(account));
    return std::chrono::ceil<milliseconds>(std::min<Seconds>(wait, MaxWait));
}

Permit LimitPool::firstPermit(const std::vector<HeardLimit> &part, std::uint32_t priority) const
{
    Permit first{0, MaxWait};
    double most = 0.0;
    for (const HeardLimit &heard : part) {
        const Account &account = m_accounts.at(heard.target);
        const milliseconds validIn = wait(account, priority, 0.0);
        if (first.target != 0
            && std::pair(validIn, -account.permits) >= std::pair(first.validIn, -most))
            continue;
        first = {heard.target, validIn};
        most = account.permits;
    }
    return first;
}

milliseconds LimitPool::expectedWait(const std::vector<HeardLimit> &part,
                                     std::uint32_t priority) const
{
    milliseconds least = MaxWait;
    for (const HeardLimit &heard : part) {
        const Account &account = m_accounts.at(heard.target);
        least = std::min(least, wait(account, priority, account.denied));
    }
    return least;
}

void LimitPool::countDenied(const std::vector<HeardLimit> &part)
{
    for (const HeardLimit &heard : part)
        m_accounts.at(heard.target).denied += 1.0 / static_cast<double>(part.size());
}

PermitOutcome LimitPool::grant(const PermitAsk &ask, Clock::time_point now)
{
    if (!m_isOwner || now < m_grantsStartAt)
        return {ask.required == 0, {}, std::nullopt};
    m_rateShare = now < m_grantsStartAt + NewOwnerTime ? NewOwnerShare : 1.0;
    forgetUnused(now);
    PermitOutcome outcome;
    std::vector<const std::vector<HeardLimit> *> deniedParts;
    std::size_t grantedNeeded = 0;
    for (std::size_t i = 0; i < ask.parts.size(); ++i) {
        const bool isNeeded = i < ask.neededParts;
        for (const HeardLimit &heard : ask.parts[i])
            account(heard, now);
        const Permit first = firstPermit(ask.parts[i], ask.priority);
        // A part with other targets does not wait.
        if (first.target != 0 && first.validIn <= (isNeeded ? ask.maxWait : milliseconds(0))) {
            outcome.permits.push_back(first);
            grantedNeeded += isNeeded ? 1 : 0;
        } else if (isNeeded) {
            deniedParts.push_back(&ask.parts[i]);
        }
    }
    outcome.isGranted = grantedNeeded >= ask.required;
    if (!outcome.isGranted) {
        outcome.permits.clear();
        outcome.opensIn = opensIn(deniedParts, ask.required - grantedNeeded, ask.priority);
    }
    for (const Permit &permit : outcome.permits)
        if (Account &account = m_accounts.at(permit.target); account.limit)
            account.permits -= 1.0;
    for (const auto *part : deniedParts)
        countDenied(*part);
    return outcome;
}

std::optional<milliseconds>
LimitPool::opensIn(const std::vector<const std::vector<HeardLimit> *> &deniedParts,
                   std::size_t lacking, std::uint32_t priority) const
{
    std::vector<milliseconds> waits;
    waits.reserve(deniedParts.size());
    for (const auto *part : deniedParts)
        waits.push_back(expectedWait(*part, priority));
    if (waits.size() < lacking)
        return std::nullopt;
    const auto last = waits.begin() + static_cast<std::ptrdiff_t>(lacking - 1);
    std::nth_element(waits.begin(), last, waits.end());
    return *last;
}

void LimitPool::forgetUnused(Clock::time_point now)
{
    if (now < m_forgetAt)
        return;
    m_forgetAt = now + AccountLifetime;
    std::erase_if(m_accounts, [now](const auto &each) {
        return now - each.second.updatedAt >= AccountLifetime;
    });
}

} // namespace mangoshift
