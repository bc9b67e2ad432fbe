#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const std::string NotRun = "\"execution\":\"not_run\"";

} // namespace

// Guards against a stop that reads the response to one request, and thereby sends another one that
// it then ends as one that may have run.
TEST_CASE("A request that waits while the VM ends all requests is not sent any more")
{
    constexpr int waitingCallers = 8;
    EntryFixture fixture;
    PendingTarget &target = fixture.addTarget("i-a1", "a", 1);
    EntryFixture::Caller &first = fixture.addCaller();
    first.send("one", "first");
    REQUIRE(fixture.runUntilArrived(target));
    std::vector<EntryFixture::Caller *> waiting;
    for (int i = 0; i < waitingCallers; ++i) {
        waiting.push_back(&fixture.addCaller());
        waiting.back()->send("one", "waiting-" + std::to_string(i));
    }
    REQUIRE(fixture.run([&] { return fixture.requestsInFlight() == 1 + waitingCallers; }));

    target.respond();
    fixture.endRequests();

    REQUIRE(fixture.runUntilReceived(first, "\r\n\r\n"));
    CHECK(first.hasReceived("HTTP/1.1 200 "));
    for (const EntryFixture::Caller *caller : waiting) {
        REQUIRE(fixture.runUntilReceived(*caller, "execution"));
        CHECK(caller->hasReceived("HTTP/1.1 503 "));
        CHECK(caller->hasReceived("Retry-After"));
        CHECK(caller->hasReceived(NotRun));
    }
    fixture.advance(1ms);
    CHECK(target.arrived() == std::vector<std::string>{"first"});
}

// Guards against a retry that is sent when the request's time is up, and then may have run.
TEST_CASE("A refusal that is read after the deadline is not followed by a retry")
{
    EntryFixture fixture;
    std::vector<PendingTarget *> targets{&fixture.addTarget("i-a1", "a"),
                                         &fixture.addTarget("i-a2", "a")};
    EntryFixture::Caller &caller = fixture.addCaller();
    caller.send("one", "r1");
    REQUIRE(fixture.run(
        [&] { return targets[0]->arrived().size() + targets[1]->arrived().size() == 1; }));
    if (targets[0]->arrived().empty())
        std::swap(targets[0], targets[1]);
    PendingTarget &first = *targets[0];
    PendingTarget &second = *targets[1];
    // Opens a connection to the other target, over which a retry could be sent at once.
    EntryFixture::Caller &other = fixture.addCaller();
    other.send("one", "r2");
    REQUIRE(fixture.runUntilArrived(second));
    second.respond();
    REQUIRE(fixture.runUntilReceived(other, "HTTP/1.1 200 "));

    SECTION("at the time limit of the request")
    {
        fixture.standStill(
            5s, [&first] { first.respond("503 Service Unavailable", "X-Not-Executed: 1"); });
    }
    SECTION("at the end of a stop")
    {
        first.respond("503 Service Unavailable", "X-Not-Executed: 1");
        fixture.endRequests();
    }

    REQUIRE(fixture.runUntilReceived(caller, "execution"));
    CHECK(caller.hasReceived("HTTP/1.1 503 "));
    CHECK(caller.hasReceived(NotRun));
    fixture.advance(1ms);
    CHECK(second.arrived() == std::vector<std::string>{"r2"});
}
