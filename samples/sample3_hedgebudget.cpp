// Limits hedges to 4% of the first copies of requests, however slow the replicas are.

#include <cstdint>
#include <cstdio>

#include "mangoshift/hedgebudget.h"

int main()
{
    constexpr double ratio = 0.04;
    constexpr std::uint32_t burst = 10;
    constexpr std::uint32_t copies = 1000;
    mangoshift::HedgeBudget budget(ratio, burst);

    // Every request is slow enough to be hedged, but the budget allows it for only 4%.
    std::uint32_t hedges = 0;
    for (std::uint32_t i = 0; i < copies; ++i) {
        budget.onFirstCopy();
        if (budget.trySpend())
            ++hedges;
    }
    std::printf("%u first copies, %u hedges\n", copies, hedges);
    return hedges == 40 ? 0 : 1;
}
