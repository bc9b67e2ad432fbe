#pragma once

#include <cstdint>

namespace mangoshift {

/// Limits extra requests (hedges, retries, probes) to a fraction of first copies.
///
/// A token bucket that earns `ratio` tokens for each first copy and spends one token for each extra
/// request. The bucket starts empty, so that at any time the extra requests are at most `ratio`
/// times the first copies since the start. It holds at most `burst` tokens, so that tokens earned
/// over a long time cannot all be spent at once. Reads no clock. Not thread safe.
///
///     HedgeBudget budget(0.04, 50);
///     budget.onFirstCopy();
///     if (budget.trySpend())
///         sendHedge();
class HedgeBudget
{
public:
    /// `ratio` lies between 0 and 1 and is rounded down to a millionth; `burst` is the maximum
    /// number of tokens in the bucket.
    HedgeBudget(double ratio, std::uint32_t burst);

    /// Records that a first copy was sent.
    void onFirstCopy();
    /// Spends one token for one extra request. Returns false if there is no token; the extra
    /// request must then not be sent.
    bool trySpend();

    /// Returns the number of whole tokens, which is how many extra requests may be sent now.
    std::uint32_t tokens() const;

private:
    std::uint64_t m_earnedPerCopy;
    std::uint64_t m_capacity;
    std::uint64_t m_balance = 0;
};

} // namespace mangoshift
