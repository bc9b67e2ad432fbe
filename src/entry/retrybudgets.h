#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>

#include "duties/messages.h"
#include "mangoshift/retryshare.h"

namespace mangoshift {

/// This VM's part of the services' budgets for extra requests.
///
/// In a small fleet each VM has an even share. In one with more VMs than were assumed, even shares
/// become too small for one VM's needs: half of the slack is then pooled in each failure domain,
/// and asked for where the share is spent. Belongs to the entry duty's thread.
class RetryBudgets
{
public:
    /// Takes whether the pool granted an extra request.
    using OnPoolReply = std::function<void(bool isGranted)>;
    /// Sends a question to the pool, answered through `onGrants`.
    using RequestFromPool = std::function<void(BudgetQuestion)>;

    RetryBudgets(asio::io_context &io, const RetryBudgetTerms &terms, std::size_t assumedVms,
                 RequestFromPool requestFromPool);

    /// Takes over another budget. What was spent under the one before is forgotten.
    void setTerms(const RetryBudgetTerms &terms);
    /// Takes in how many VMs there may be, if that is more than was known.
    void growFleet(std::size_t vms);
    std::size_t fleetSize() const { return m_fleetSize; }

    /// Returns this VM's own share of a service's budget.
    RetryShare &share(const std::string &service) { return account(service).share; }
    /// Returns whether the share has room for an extra request, and logs where that has changed.
    bool hasBudget(const std::string &service, Clock::time_point now);
    /// Asks the pool for one extra request; `onPoolReply` is called later, on this thread. Returns
    /// false where there is no pool.
    bool requestExtra(const std::string &service, OnPoolReply onPoolReply, Clock::time_point now);
    void onGrants(const BudgetGrants &grants);
    /// Denies what was asked for too long ago.
    void sweep(Clock::time_point now);

private:
    struct ExtraRequest
    {
        std::string service;
        OnPoolReply onPoolReply;
    };
    struct PoolRequest
    {
        std::vector<ExtraRequest> extras;
        Clock::time_point denyAt;
    };

    struct Account
    {
        RetryShare share;
        /// Since when the share has been spent; no value while it is not.
        std::optional<Clock::time_point> spentSince = std::nullopt;
    };

    Account &account(const std::string &service);
    bool isPooled() const { return m_fleetSize > m_assumedVms; }
    double slackShare() const;
    void sendPoolRequest();

    asio::io_context &m_io;
    RetryBudgetTerms m_terms;
    std::size_t m_assumedVms;
    std::size_t m_fleetSize;
    RequestFromPool m_requestFromPool;
    std::unordered_map<std::string, Account> m_accounts;
    /// Wishes that go out together at the end of this turn of the event loop.
    std::vector<ExtraRequest> m_unsentExtras;
    std::unordered_map<std::uint64_t, PoolRequest> m_poolRequests;
    std::uint64_t m_lastSequence = 0;
};

} // namespace mangoshift
