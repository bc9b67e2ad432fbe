#pragma once

#include <cstdint>

namespace mangoshift {

/// Limits extra requests (hedges, retries, probes) to a fraction of first copies.
///
/// A token bucket that earns `ratio` of a token for each first copy and spends a whole one for each
/// extra request. It starts empty, so at any moment the extra requests since the start are at most
/// `ratio` times the first copies since the start; and it keeps `burst` tokens at most, so that a
/// quiet hour cannot be spent in one second. Reads no clock. Not thread safe.
///
///     HedgeBudget budget(0.04, 50);
///     budget.onFirstCopy();
///     if (budget.trySpend())
///         sendHedge();
class HedgeBudget
{
public:
    /// `ratio` lies between 0 and 1 and is rounded down to a millionth; `burst` is the greatest
    /// number of tokens that are kept.
    HedgeBudget(double ratio, std::uint32_t burst);

    /// Takes in that a first copy was sent.
    void onFirstCopy();
    /// Takes one token for one extra request. Returns false, and takes nothing, where there is
    /// none: the extra request must then not be sent.
    bool trySpend();

    /// Returns the number of extra requests that may be sent now.
    std::uint32_t tokens() const;

private:
    std::uint64_t m_earnedPerCopy;
    std::uint64_t m_capacity;
    std::uint64_t m_balance = 0;
};

} // namespace mangoshift
