#include <vector>

#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

bool isAvoided(EntryFixture &fixture, const std::string &target)
{
    return fixture.state().directory.targets().at(target)->load.isAvoided(Clock::now());
}

} // namespace

// Guards against observations that do not reach the pool, and against any effect of the setting
// while it is off.
TEST_CASE("The target directory reports what it has seen of targets, and takes outlooks")
{
    EntryFixture fixture;
    PendingTarget &target = fixture.addTarget("i-a1", "a");
    TargetDirectory &directory = fixture.state().directory;
    const LimitKey key = directory.targets().at("i-a1")->limitKey;
    std::vector<CapacityObservations> reports;
    directory.setReportCapacity(
        [&reports](CapacityObservations report) { reports.push_back(std::move(report)); });
    TargetPolicies policies;
    policies.sharesCapacity = GENERATE(true, false);
    directory.setPolicies(policies);
    fixture.advance(1ms);
    reports.clear();

    EntryFixture::Caller &caller = fixture.addCaller();
    caller.send("one", "r-1");
    REQUIRE(fixture.runUntilArrived(target));
    target.respond();
    REQUIRE(fixture.run([&] { return fixture.requestsInFlight() == 0; }));
    fixture.advance(300ms);
    const CapacityOutlooks outlooks{
        {{key, 1.0, 0.0, 2.0, true, 0ms}, {key + 1, 1.0, 0.0, 2.0, true, 0ms}}};
    if (!policies.sharesCapacity) {
        CHECK(reports.empty());
        directory.onOutlooks(outlooks, Clock::now());
        CHECK_FALSE(isAvoided(fixture, "i-a1"));
        return;
    }
    // A usual response tells the domain nothing.
    CHECK(reports.empty());
    directory.onOverdue(directory.targets().at("i-a1"), 100ms, Clock::now(), Clock::now());
    fixture.advance(200ms);
    REQUIRE(reports.size() == 1);
    REQUIRE(reports[0].targets.size() == 1);
    CHECK(reports[0].targets[0].target == key);
    CHECK(reports[0].targets[0].overdue == 1);
    fixture.advance(1s);
    REQUIRE(reports.size() == 2);
    CHECK(reports[1].targets.empty());
    CHECK_FALSE(isAvoided(fixture, "i-a1"));
    directory.onOutlooks(outlooks, Clock::now());
    CHECK(isAvoided(fixture, "i-a1"));
    CHECK(directory.outlook(*directory.targets().at("i-a1"), Clock::now()));
    fixture.advance(TargetOutlook::Lifetime);
    CHECK_FALSE(isAvoided(fixture, "i-a1"));
}
