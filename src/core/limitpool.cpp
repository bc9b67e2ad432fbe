#include "mangoshift/limitpool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

#include "mangoshift/limitshare.h"
#include "mangoshift/targetlimit.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// The share of a pool's capacity that is kept for each rank of more urgent requests, and the
/// number of ranks that are told apart.
constexpr double ReserveShare = 0.15;
constexpr std::uint32_t MaxReserveRank = 2;
/// How fast granted and denied permits are forgotten.
constexpr Seconds CountMemory{1.0};
/// The least rate by which a wait is estimated.
constexpr double MinRate = 1e-6;
/// A domain that was denied less than this many permits lately borrows nothing; one that was denied
/// more lends nothing.
constexpr double MinDenied = 0.5;
/// What a domain keeps for itself beyond its recent use, and the share of the rest that it lends at
/// a time, as several domains may ask.
constexpr double KeptUse = 1.25;
constexpr double LentShare = 0.7;
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

void LimitPool::growFailureDomains(std::size_t failureDomains)
{
    m_failureDomains = std::max(m_failureDomains, failureDomains);
}

void LimitPool::setPlace(std::size_t place, std::size_t domains)
{
    // The step is as long with two domains as with three.
    const auto steps = static_cast<std::int64_t>(std::max<std::size_t>(domains, 3) - 1);
    m_probeDelay = ProbeSpread * static_cast<std::int64_t>(place) / steps;
}

void LimitPool::setIsOwner(bool isOwner, Clock::time_point now)
{
    if (isOwner && !m_isOwner)
        m_grantsStartAt = now + HandoverTime;
    if (!isOwner)
        m_accounts.clear();
    m_isOwner = isOwner;
}

bool LimitPool::mayGrant(Clock::time_point now)
{
    m_rateShare = now < m_grantsStartAt + NewOwnerTime ? NewOwnerShare : 1.0;
    return m_isOwner && now >= m_grantsStartAt;
}

double LimitPool::ownRate(const Account &account) const
{
    return std::max(account.limit.value_or(0.0), MinLimit) / static_cast<double>(m_failureDomains)
        * m_rateShare;
}

double LimitPool::rate(const Account &account) const
{
    double rate = ownRate(account);
    for (const RateChange &loan : account.loans)
        rate += loan.rate;
    return std::max(rate, MinRate);
}

void LimitPool::accrue(Account &account, Clock::time_point now) const
{
    const Seconds elapsed = std::max(now - account.updatedAt, Clock::duration::zero());
    double due = elapsed.count() * ownRate(account);
    for (const RateChange &loan : account.loans) {
        const Seconds lasted = std::clamp(loan.until - account.updatedAt, Clock::duration::zero(),
                                          now - account.updatedAt);
        due += lasted.count() * loan.rate;
    }
    std::erase_if(account.loans, [now](const RateChange &loan) { return loan.until <= now; });
    account.permits = std::min(account.permits + due, capacity(account));
    account.denied *= std::exp(-elapsed / CountMemory);
    account.spareDenied *= std::exp(-elapsed / CountMemory);
    account.granted *= std::exp(-elapsed / CountMemory);
    account.updatedAt = now;
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
    if (isNew) {
        account.updatedAt = now;
        // Until all VMs agree on the owner, an earlier one may grant such a permit. With one domain
        // two owners together grant few enough of them.
        if (m_failureDomains > 1)
            account.lastPermitAt = m_grantsStartAt + NewOwnerTime - ProbeTime;
    }
    accrue(account, now);
    // What a VM could not read is no word that the limit has ended while others read it.
    if (account.limit && !heard.limit && heardAt <= account.heardAt)
        account.endsAt = account.heardAt + TargetLimit::unreadableTime(*account.limit);
    if (isNew || heardAt > account.heardAt) {
        // A limit that is named anew starts without permits.
        if (!account.limit)
            account.permits = 0.0;
        // What was lent of a higher limit, or built up under it, is more than a lower one allows.
        if (account.limit && heard.limit && *heard.limit < *account.limit) {
            for (RateChange &loan : account.loans)
                loan.rate *= *heard.limit / *account.limit;
            if (account.permits > 0.0)
                account.permits *=
                    std::max(*heard.limit, MinLimit) / std::max(*account.limit, MinLimit);
        }
        if (heard.limit && (!account.limit || *heard.limit < *account.limit))
            account.loweredAt = now;
        account.limit = heard.limit;
        account.heardAt = heardAt;
        account.endsAt = Clock::time_point::max();
        account.permits = std::min(account.permits, capacity(account));
    }
    if (now >= account.endsAt) {
        account.limit.reset();
        account.endsAt = Clock::time_point::max();
    }
    return account;
}

milliseconds LimitPool::wait(const Account &account, std::uint32_t priority, double further) const
{
    // A target without a limit has room for any request.
    if (!account.limit)
        return milliseconds(0);
    const double lacking = level(account, priority) + further - account.permits;
    Seconds wait(std::max(lacking, 0.0) / rate(account));
    if (further == 0.0) {
        const Clock::time_point probeAt =
            std::max(account.heardAt, account.lastPermitAt) + ProbeTime + m_probeDelay;
        wait =
            std::min<Seconds>(wait, std::max(probeAt - account.updatedAt, Clock::duration::zero()));
    }
    return std::chrono::ceil<milliseconds>(std::min<Seconds>(wait, MaxWait));
}

bool LimitPool::isOpenTo(const Account &account, std::uint32_t priority)
{
    return priority < SparePriority || !account.limit
        || account.updatedAt - account.heardAt < LimitShare::DoubtTime;
}

Permit LimitPool::firstPermit(const std::vector<HeardLimit> &part, std::uint32_t priority) const
{
    Permit first{0, MaxWait};
    double most = 0.0;
    for (const HeardLimit &heard : part) {
        const Account &account = m_accounts.at(heard.target);
        if (!isOpenTo(account, priority))
            continue;
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

void LimitPool::countDenied(const std::vector<HeardLimit> &part, double Account::*count)
{
    for (const HeardLimit &heard : part)
        m_accounts.at(heard.target).*count += 1.0 / static_cast<double>(part.size());
}

void LimitPool::charge(const Permit &permit, Clock::time_point now)
{
    Account &account = m_accounts.at(permit.target);
    if (!account.limit)
        return;
    account.permits -= 1.0;
    account.granted += 1.0;
    account.lastPermitAt = std::max(account.lastPermitAt, now + permit.validIn);
}

PermitOutcome LimitPool::grant(const PermitAsk &ask, Clock::time_point now)
{
    if (!mayGrant(now))
        return {ask.required == 0, {}, std::nullopt};
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
        } else {
            countDenied(ask.parts[i], &Account::spareDenied);
        }
    }
    outcome.isGranted = grantedNeeded >= ask.required;
    if (!outcome.isGranted) {
        outcome.permits.clear();
        outcome.opensIn = opensIn(deniedParts, ask.required - grantedNeeded, ask.priority);
    }
    for (const Permit &permit : outcome.permits)
        charge(permit, now);
    for (const auto *part : deniedParts)
        countDenied(*part, &Account::denied);
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

std::vector<HeardLimit> LimitPool::wantedLoans(Clock::time_point now)
{
    std::vector<HeardLimit> wanted;
    if (!mayGrant(now))
        return wanted;
    for (auto &[target, account] : m_accounts) {
        accrue(account, now);
        if (account.limit && account.denied + account.spareDenied >= MinDenied)
            wanted.push_back({target, account.limit,
                              std::chrono::duration_cast<milliseconds>(now - account.heardAt)});
    }
    return wanted;
}

std::vector<LimitLoan> LimitPool::lend(const std::vector<HeardLimit> &wanted, Clock::time_point now)
{
    std::vector<LimitLoan> loans;
    if (!mayGrant(now))
        return loans;
    forgetUnused(now);
    for (const HeardLimit &heard : wanted) {
        Account &account = this->account(heard, now);
        double spare = ownRate(account) - KeptUse * account.granted / CountMemory.count();
        for (const RateChange &loan : account.loans)
            spare += std::min(loan.rate, 0.0);
        const double lent = spare * LentShare;
        if (!account.limit || account.denied >= MinDenied || lent < MinRate)
            continue;
        account.loans.push_back({-lent, now + LoanTime});
        loans.push_back({heard.target, lent});
    }
    return loans;
}

void LimitPool::onLoan(const LimitLoan &loan, Clock::time_point requestedAt, Clock::time_point now)
{
    const auto found = m_accounts.find(loan.target);
    if (!m_isOwner || found == m_accounts.end() || loan.rate <= 0.0 || requestedAt + LoanTime <= now
        || requestedAt < found->second.loweredAt)
        return;
    accrue(found->second, now);
    found->second.loans.push_back({loan.rate, requestedAt + LoanTime});
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
