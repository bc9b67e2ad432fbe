#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "mangoshift/clock.h"

namespace mangoshift {

/// The budget for extra requests that all VMs share.
struct RetryBudgetTerms
{
    /// Extra requests for each first request, within one window.
    double ratio = 0.0;
    /// Extra requests within one window beyond those, of all VMs together.
    double slack = 0.0;
    std::chrono::milliseconds window{std::chrono::seconds(10)};

    bool operator==(const RetryBudgetTerms &) const = default;
};

/// One VM's share of a service's budget for extra requests.
///
/// Extra are all arrivals at the service's targets beyond the first of each caller's request:
/// hedges, retries, and sends after a refusal. In each window this VM sends at most the ratio times
/// its own first requests plus its part of the slack. Where traffic reaches the VMs alike, that
/// sums up to no more than the whole, without any message between them. Extra requests stay in the
/// sliding window when the first requests that earned them have left it, so only the lesser of the
/// older and the newer three quarters of the window earns: where traffic ends suddenly, what was
/// sent is still paid for. Reads no clock. Not thread safe.
class RetryShare
{
public:
    /// `slackShare` is the part of the slack, 0 to 1, that is this VM's: the inverse of the number
    /// of VMs that may be alive.
    RetryShare(RetryBudgetTerms terms, double slackShare);

    /// Takes in that there are more or fewer VMs.
    void setSlackShare(double slackShare) { m_slackShare = slackShare; }
    void onFirstRequest(Clock::time_point now);
    /// Counts one extra request. Returns false, and counts nothing, where the share is spent.
    bool trySpend(Clock::time_point now);
    /// Returns how many extra requests may be sent now.
    double remaining(Clock::time_point now);

private:
    static constexpr std::size_t Steps = 20;

    struct Step
    {
        std::uint32_t firsts = 0;
        std::uint32_t extras = 0;
    };

    void advance(Clock::time_point now);
    /// Returns the step that began `age` steps before the present one.
    const Step &stepOfAge(std::size_t age) const;

    RetryBudgetTerms m_terms;
    double m_slackShare;
    Clock::duration m_stepLength;
    std::int64_t m_currentStep = -1;
    /// One step more than the window holds: the oldest lies partly inside the sliding window.
    std::array<Step, Steps + 1> m_steps{};
};

} // namespace mangoshift
