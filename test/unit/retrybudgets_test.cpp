#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "entry/retrybudgets.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t AssumedVms = 12;
const Clock::time_point Start{seconds(1000)};
const RetryBudgetTerms Terms{0.0, 120.0, seconds(10)};

/// `RetryBudgets` with a pool that records the requests to it.
struct BudgetsFixture
{
    BudgetsFixture()
        : budgets(io, Terms, AssumedVms,
                  [this](BudgetRequest request) { requests.push_back(std::move(request)); })
    {
    }

    /// Requests budget for one extra request from the pool and records the reply.
    bool requestExtra(const std::string &service)
    {
        return budgets.requestExtra(
            service, [this](bool isGranted) { grants.push_back(isGranted); }, Start);
    }

    std::size_t spendShare(const std::string &service)
    {
        std::size_t spent = 0;
        while (budgets.share(service).trySpend(Start))
            ++spent;
        return spent;
    }

    asio::io_context io;
    std::vector<BudgetRequest> requests;
    std::vector<bool> grants;
    RetryBudgets budgets;
};

} // namespace

TEST_CASE("Retry budgets in a fleet of no more VMs than assumed")
{
    BudgetsFixture fixture;
    fixture.budgets.growFleet(7);

    SECTION("each VM has an equal share, as for the assumed number of VMs")
    {
        CHECK(fixture.spendShare("s") == 10);
    }
    SECTION("there is no pool")
    {
        CHECK_FALSE(fixture.requestExtra("s"));
    }
    SECTION("a new budget takes effect at once")
    {
        fixture.budgets.setTerms({0.0, 240.0, seconds(10)});
        CHECK(fixture.spendShare("s") == 20);
    }
}

TEST_CASE("Retry budgets in a fleet of more VMs than assumed")
{
    BudgetsFixture fixture;
    fixture.budgets.growFleet(20);

    SECTION("half of the slack is divided equally")
    {
        CHECK(fixture.spendShare("s") == 3);
    }
    SECTION("budget for the extra requests of one turn of the event loop is requested together")
    {
        CHECK(fixture.requestExtra("s"));
        CHECK(fixture.requestExtra("t"));
        CHECK(fixture.requestExtra("s"));
        fixture.io.run();
        REQUIRE(fixture.requests.size() == 1);
        CHECK(fixture.requests[0].wanted == BudgetCounts{{"s", 2}, {"t", 1}});

        SECTION("and each receives one reply, granted as long as the grants last")
        {
            const std::uint64_t sequence = fixture.requests[0].sequence;
            fixture.budgets.onGrants({sequence, {{"s", 1}, {"t", 1}}});
            CHECK(fixture.grants == std::vector<bool>{true, true, false});
            fixture.budgets.onGrants({sequence, {{"s", 1}}});
            fixture.budgets.sweep(Start + seconds(1));
            CHECK(fixture.grants.size() == 3);
        }
        SECTION("and all are denied if no reply arrives in time")
        {
            fixture.budgets.sweep(Start + milliseconds(99));
            CHECK(fixture.grants.empty());
            fixture.budgets.sweep(Start + milliseconds(100));
            CHECK(fixture.grants == std::vector<bool>{false, false, false});
        }
    }
    SECTION("a smaller fleet does not enlarge the share")
    {
        fixture.budgets.growFleet(5);
        CHECK(fixture.budgets.fleetSize() == 20);
    }
}
