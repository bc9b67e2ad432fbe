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
/// In a small fleet each VM has an equal share. In a fleet of more VMs than were assumed, equal
/// shares are too small for what a single VM needs at times: half of the slack is then pooled in
/// each failure domain, and a VM that has spent its share requests more from the pool. Belongs to
/// the entry duty's thread.
class RetryBudgets
{
public:
    /// Called with whether the pool granted an extra request.
    using OnPoolReply = std::function<void(bool isGranted)>;
    /// Sends a request to the pool, which replies through `onGrants`.
    using RequestFromPool = std::function<void(BudgetRequest)>;

    RetryBudgets(asio::io_context &io, const RetryBudgetTerms &terms, std::size_t assumedVms,
                 RequestFromPool requestFromPool);

    /// Replaces the budget. The records of what was spent under the previous one are dropped.
    void setTerms(const RetryBudgetTerms &terms);
    /// Raises the number of VMs that share the budget to `vms`; a lower number is ignored.
    void growFleet(std::size_t vms);
    std::size_t fleetSize() const { return m_fleetSize; }

    /// Returns this VM's share of a service's budget.
    RetryShare &share(const std::string &service) { return account(service).share; }
    /// Returns whether the share permits another extra request, and logs when the share is spent or
    /// available again.
    bool hasBudget(const std::string &service, Clock::time_point now);
    /// Requests budget for one extra request from the pool; `onPoolReply` is called later, on this
    /// thread. Returns false, and never calls `onPoolReply`, if there is no pool.
    bool requestExtra(const std::string &service, OnPoolReply onPoolReply, Clock::time_point now);
    void onGrants(const BudgetGrants &grants);
    /// Denies the requests whose reply from the pool is overdue.
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
        /// When the share was spent; no value while it is available.
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
    /// Extra requests for which budget is requested from the pool, together, at the end of this
    /// turn of the event loop.
    std::vector<ExtraRequest> m_unsentExtras;
    std::unordered_map<std::uint64_t, PoolRequest> m_poolRequests;
    std::uint64_t m_lastSequence = 0;
};

} // namespace mangoshift
