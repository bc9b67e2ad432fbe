#include <algorithm>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/retrypool.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Clock::time_point Start{seconds(1000)};
const RetryBudgetTerms Terms{0.2, 196.0, seconds(10)};

MemberView viewOf(const std::vector<std::string> &vms, const std::string &domain)
{
    MemberView view;
    for (const std::string &vm : vms)
        view.members.push_back({vm, domain, "r", "", 1});
    return view;
}

} // namespace

TEST_CASE("Each failure domain has one owner of its retry pool")
{
    const std::vector<std::string> vms{"a-0", "a-1", "a-2", "a-3"};
    MemberView view = viewOf(vms, "a");
    const VmId owner = poolOwner(view, view.members[0]);

    SECTION("all VMs of the domain agree on the owner")
    {
        for (const Member &member : view.members)
            CHECK(poolOwner(view, member) == owner);
    }
    SECTION("another VM becomes the owner when the owner leaves")
    {
        for (Member &member : view.members)
            member.isLeaving = member.vm == owner;
        const Member &other = view.members[owner == "a-0" ? 1 : 0];
        CHECK(poolOwner(view, other) != owner);
    }
    SECTION("a VM of another domain has another owner")
    {
        CHECK(poolOwner(view, {"b-0", "b", "r", "", 1}) == "b-0");
    }
}

TEST_CASE("A retry pool")
{
    RetryPool pool(Terms);
    pool.setSlackShare(0.25);
    const Clock::time_point ready = Start + Terms.window + GrantLifetime;

    SECTION("grants nothing if another VM owns it")
    {
        CHECK(pool.grant("s", 1, ready) == 0);
    }
    SECTION("grants nothing until the grants of an earlier owner have left the window")
    {
        pool.setIsOwner(true, Start);
        CHECK(pool.grant("s", 1, ready - milliseconds(1)) == 0);
        CHECK(pool.grant("s", 1, ready) == 1);
    }
    SECTION("waits again if another VM has owned it in the meantime")
    {
        pool.setIsOwner(true, Start);
        pool.setIsOwner(false, ready);
        pool.setIsOwner(true, ready);
        CHECK(pool.grant("s", 1, ready) == 0);
    }
    SECTION("grants each service no more than its share of the slack in any window")
    {
        pool.setIsOwner(true, Start);
        CHECK(pool.grant("s", 100, ready) == 49);
        CHECK(pool.grant("s", 100, ready + seconds(10)) == 0);
        CHECK(pool.grant("t", 100, ready) == 49);
        CHECK(pool.grant("s", 100, ready + seconds(12)) == 49);
    }
}

TEST_CASE("Shares and pools of all VMs together stay within the budget")
{
    constexpr int vms = 60;
    constexpr int domains = 3;
    for (unsigned seed = 0; seed < 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<RetryShare> shares(vms, RetryShare(Terms, (1.0 - PooledSlackShare) / vms));
        std::vector<RetryPool> pools(domains, RetryPool(Terms));
        for (RetryPool &pool : pools) {
            pool.setSlackShare(PooledSlackShare / domains);
            pool.setIsOwner(true, Start - seconds(60));
        }
        std::vector<Clock::time_point> firsts;
        std::vector<Clock::time_point> extras;
        Clock::time_point now = Start;
        // Requests reach only a few VMs at a time, and every request would be hedged.
        for (int i = 0; i < 6000; ++i) {
            now += milliseconds(1 + random() % 9);
            const std::size_t vm = (random() % 6 + static_cast<std::size_t>(i) / 500) % vms;
            firsts.push_back(now);
            shares[vm].onFirstRequest(now);
            if (shares[vm].trySpend(now) || pools[vm % domains].grant("s", 1, now) == 1)
                extras.push_back(now);
            const auto inWindow = [&](const std::vector<Clock::time_point> &times) {
                return static_cast<double>(
                    times.end() - std::lower_bound(times.begin(), times.end(), now - Terms.window));
            };
            REQUIRE(inWindow(extras) <= Terms.ratio * inWindow(firsts) + Terms.slack);
        }
        CHECK(extras.size() > 1000);
    }
}
