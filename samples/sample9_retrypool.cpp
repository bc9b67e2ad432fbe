// Shares a retry budget across a fleet so that one VM can use the part that others do not need.

#include <chrono>
#include <cstdio>
#include <vector>

#include "mangoshift/retrypool.h"

using namespace mangoshift;

int main()
{
    constexpr int vms = 50;
    const RetryBudgetTerms terms{0.0, 100.0, std::chrono::seconds(10)};
    const Clock::time_point start{std::chrono::hours(1)};

    // The slack is the number of extra requests that all VMs together may send in one window beyond
    // the ratio, which is 0 here. Half of it is divided evenly between the VMs; the pool owner of
    // the failure domain grants the other half.
    std::vector<RetryShare> shares(vms, RetryShare(terms, (1.0 - PooledSlackShare) / vms));
    RetryPool pool(terms);
    pool.setSlackShare(PooledSlackShare);
    pool.setIsOwner(true, start);

    // A new pool owner cannot know what the previous one granted, so it grants nothing until those
    // grants have left the window.
    if (pool.grant("search", 1, start) != 0)
        return 1;
    const Clock::time_point now = start + terms.window + GrantLifetime;

    // One VM needs an extra request for each of 40 requests; the other VMs need none.
    int extras = 0;
    for (int i = 0; i < 40; ++i)
        if (shares[0].trySpend(now) || pool.grant("search", 1, now) == 1)
            ++extras;
    std::printf("an even share allows 2 extra requests, share and pool allowed %d of 40\n", extras);
    return extras == 40 ? 0 : 1;
}
