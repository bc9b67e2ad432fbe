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

void RetryShare::onFirst(Clock::time_point now)
{
    advance(now);
    ++m_steps[static_cast<std::size_t>(m_currentStep) % m_steps.size()].firsts;
}

bool RetryShare::trySpend(Clock::time_point now)
{
    if (left(now) < 1.0)
        return false;
    ++m_steps[static_cast<std::size_t>(m_currentStep) % m_steps.size()].extras;
    return true;
}

double RetryShare::left(Clock::time_point now)
{
    advance(now);
    double firsts = 0.0;
    double extras = 0.0;
    const std::size_t oldest = static_cast<std::size_t>(m_currentStep + 1) % m_steps.size();
    for (std::size_t i = 0; i < m_steps.size(); ++i) {
        extras += m_steps[i].extras;
        // First requests of the step that is partly outside the window do not earn any more.
        if (i != oldest)
            firsts += m_steps[i].firsts;
    }
    return m_terms.ratio * firsts + m_terms.slack * m_slackShare - extras;
}

} // namespace mangoshift
