#include "mangoshift/retryshare.h"

#include <algorithm>

namespace mangoshift {

RetryShare::RetryShare(RetryBudgetTerms terms, double slackShare)
    : m_terms(terms)
    , m_slackShare(slackShare)
    , m_stepLength(Clock::duration(terms.window) / Steps)
{
}

void RetryShare::advance(Clock::time_point now)
{
    const std::int64_t step = now.time_since_epoch() / m_stepLength;
    const auto count = static_cast<std::int64_t>(m_steps.size());
    for (std::int64_t s = std::max(m_currentStep + 1, step - count + 1); s <= step; ++s)
        m_steps[static_cast<std::size_t>(s % count)] = {};
    m_currentStep = std::max(m_currentStep, step);
}

void RetryShare::onFirstRequest(Clock::time_point now)
{
    advance(now);
    ++m_steps[static_cast<std::size_t>(m_currentStep) % m_steps.size()].firstRequests;
}

bool RetryShare::trySpend(Clock::time_point now)
{
    if (remaining(now) < 1.0)
        return false;
    ++m_steps[static_cast<std::size_t>(m_currentStep) % m_steps.size()].extraRequests;
    return true;
}

const RetryShare::Step &RetryShare::stepOfAge(std::size_t age) const
{
    const auto count = static_cast<std::int64_t>(m_steps.size());
    const std::int64_t step = m_currentStep - static_cast<std::int64_t>(age) + count;
    return m_steps[static_cast<std::size_t>(step % count)];
}

double RetryShare::remaining(Clock::time_point now)
{
    advance(now);
    constexpr std::size_t quarter = Steps / 4;
    double newerFirstRequests = 0.0;
    double olderFirstRequests = 0.0;
    double extraRequests = 0.0;
    // The last step lies partly outside the window: its extra requests count, but its first
    // requests earn nothing.
    for (std::size_t age = 0; age <= Steps; ++age) {
        const Step &step = stepOfAge(age);
        extraRequests += step.extraRequests;
        if (age < Steps - quarter)
            newerFirstRequests += step.firstRequests;
        if (age >= quarter && age < Steps)
            olderFirstRequests += step.firstRequests;
    }
    return m_terms.ratio * std::min(newerFirstRequests, olderFirstRequests)
        + m_terms.slack * m_slackShare - extraRequests;
}

} // namespace mangoshift
