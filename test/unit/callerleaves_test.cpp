#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// A budget that allows no extra request, so that each one is requested from the pool.
const RetryBudgetTerms NoBudget{0.0, 0.0, 60s};

const std::string NotRun = "X-Not-Executed: 1";

} // namespace

TEST_CASE("No budget is requested for a caller that has left")
{
    EntryFixture fixture(NoBudget);
    fixture.state().growFleet(2);
    PendingTarget &target = fixture.addTarget("i-a1", "a");
    EntryFixture::Caller &caller = fixture.addCaller();
    caller.send("one", "r1");
    REQUIRE(fixture.runUntilArrived(target));
    caller.finishSending();
    REQUIRE(fixture.runUntilLeft());
    target.respond("503 Service Unavailable", NotRun);
    REQUIRE(fixture.run(
        [&] { return caller.hasReceived("\r\n\r\n") || !fixture.budgetRequests().empty(); }));
    CHECK(fixture.budgetRequests().empty());
    CHECK(caller.hasReceived("\"execution\":\"not_run\""));
}
