#include "mangoshift/hedgebudget.h"

#include <algorithm>

namespace mangoshift {

namespace {

/// Tokens are counted in millionths, because integers keep the bound exact over any number of
/// copies.
constexpr std::uint64_t MillionthsPerToken = 1'000'000;

} // namespace

HedgeBudget::HedgeBudget(double ratio, std::uint32_t burst)
    : m_earnedPerCopy(static_cast<std::uint64_t>(std::clamp(ratio, 0.0, 1.0) * MillionthsPerToken))
    , m_capacity(burst * MillionthsPerToken)
{
}

void HedgeBudget::onFirstCopy()
{
    m_balance = std::min(m_balance + m_earnedPerCopy, m_capacity);
}

bool HedgeBudget::trySpend()
{
    if (m_balance < MillionthsPerToken)
        return false;
    m_balance -= MillionthsPerToken;
    return true;
}

std::uint32_t HedgeBudget::tokens() const
{
    return static_cast<std::uint32_t>(m_balance / MillionthsPerToken);
}

} // namespace mangoshift
