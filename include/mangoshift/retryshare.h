#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "mangoshift/clock.h"

namespace mangoshift {

/// The terms of the budget for extra requests that all VMs share.
struct RetryBudgetTerms
{
    /// Extra requests for each first request, within one window.
    double ratio = 0.0;
    /// Further extra requests within one window, of all VMs together.
    double slack = 0.0;
    std::chrono::milliseconds window{std::chrono::seconds(10)};

    bool operator==(const RetryBudgetTerms &) const = default;
};

/// One VM's share of a service's budget for extra requests.
///
/// Every request that reaches the service's targets beyond the first one of a caller's request is
/// an extra request: hedges, retries, and sends after a refusal. In each window this VM sends at
/// most the ratio times its own first requests, plus its share of the slack. All VMs together then
/// stay within the whole budget without any message between them, and can use all of it if traffic
/// reaches them alike.
///
/// Extra requests may stay in the sliding window after the first requests that earned them have
/// left it. Therefore only the lesser of the counts in the older and in the newer three quarters of
/// the window earns extra requests: if traffic ends suddenly, the budget still covers those already
/// sent. Reads no clock. Not thread safe.
class RetryShare
{
public:
    /// `slackShare` is this VM's share of the slack, 0 to 1: the inverse of the number of VMs that
    /// may be alive.
    RetryShare(RetryBudgetTerms terms, double slackShare);

    /// Sets this VM's share of the slack, 0 to 1, after the number of VMs has changed.
    void setSlackShare(double slackShare) { m_slackShare = slackShare; }
    /// Counts one first request.
    void onFirstRequest(Clock::time_point now);
    /// Counts one extra request. Returns false, and counts nothing, if the share is spent.
    bool trySpend(Clock::time_point now);
    /// Returns how many extra requests may be sent now.
    double remaining(Clock::time_point now);

private:
    static constexpr std::size_t Steps = 20;

    struct Step
    {
        std::uint32_t firstRequests = 0;
        std::uint32_t extraRequests = 0;
    };

    void advance(Clock::time_point now);
    /// Returns the step that began `age` steps before the current one.
    const Step &stepOfAge(std::size_t age) const;

    RetryBudgetTerms m_terms;
    double m_slackShare;
    Clock::duration m_stepLength;
    std::int64_t m_currentStep = -1;
    /// One step more than the window holds, as the oldest lies partly inside the sliding window.
    std::array<Step, Steps + 1> m_steps{};
};

} // namespace mangoshift
