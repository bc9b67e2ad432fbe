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

/// Budgets whose questions to the pool are kept.
struct Asking
{
    Asking()
        : budgets(io, Terms, AssumedVms,
                  [this](BudgetRequest question) { questions.push_back(std::move(question)); })
    {
    }

    /// Asks the pool once and notes the answer.
    bool ask(const std::string &service)
    {
        return budgets.ask(
            service, [this](bool isGranted) { answers.push_back(isGranted); }, Start);
    }

    std::size_t shareOf(const std::string &service)
    {
        std::size_t spent = 0;
        while (budgets.share(service).trySpend(Start))
            ++spent;
        return spent;
    }

    asio::io_context io;
    std::vector<BudgetRequest> questions;
    std::vector<bool> answers;
    RetryBudgets budgets;
};

} // namespace

TEST_CASE("In a fleet of no more VMs than assumed")
{
    Asking asking;
    asking.budgets.growFleet(7);

    SECTION("each has its even share of what the assumed number has")
    {
        CHECK(asking.shareOf("s") == 10);
    }
    SECTION("there is no pool to ask")
    {
        CHECK_FALSE(asking.ask("s"));
    }
    SECTION("another budget is in force at once")
    {
        asking.budgets.setTerms({0.0, 240.0, seconds(10)});
        CHECK(asking.shareOf("s") == 20);
    }
}

TEST_CASE("In a larger fleet")
{
    Asking asking;
    asking.budgets.growFleet(20);

    SECTION("half of the slack is shared evenly")
    {
        CHECK(asking.shareOf("s") == 3);
    }
    SECTION("what is asked in one turn of the loop goes out as one question")
    {
        CHECK(asking.ask("s"));
        CHECK(asking.ask("t"));
        CHECK(asking.ask("s"));
        asking.io.run();
        REQUIRE(asking.questions.size() == 1);
        CHECK(asking.questions[0].wanted == BudgetCounts{{"s", 2}, {"t", 1}});

        SECTION("and each is answered once, as far as the grants go")
        {
            const std::uint64_t sequence = asking.questions[0].sequence;
            asking.budgets.onGrants({sequence, {{"s", 1}, {"t", 1}}});
            CHECK(asking.answers == std::vector<bool>{true, true, false});
            asking.budgets.onGrants({sequence, {{"s", 1}}});
            asking.budgets.sweep(Start + seconds(1));
            CHECK(asking.answers.size() == 3);
        }
        SECTION("and is denied where no answer comes in time")
        {
            asking.budgets.sweep(Start + milliseconds(99));
            CHECK(asking.answers.empty());
            asking.budgets.sweep(Start + milliseconds(100));
            CHECK(asking.answers == std::vector<bool>{false, false, false});
        }
    }
    SECTION("a smaller view later on does not enlarge the share")
    {
        asking.budgets.growFleet(5);
        CHECK(asking.budgets.fleetSize() == 20);
    }
}
