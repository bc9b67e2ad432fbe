#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// The longest time that a call waits for the permit of a probe.
constexpr auto ProbeWait = 10ms;
/// The time between two probes: at a low rate of requests it is longer than `ProbeInterval`.
constexpr auto ProbeGap = 2s;

/// A service with a target without a limit, which has one slot, and one whose limit is in doubt.
/// Nobody grants permits.
struct DoubtfulService
{
    EntryFixture fixture;
    PendingTarget &unlimited = fixture.addTarget("i-a1", "a", 1);
    EntryFixture::Caller &prober = fixture.addCaller();

    DoubtfulService()
    {
        fixture.addTarget("i-a2", "a");
        directory().targets().at("i-a2")->standing->limit().onResponse(1.0, std::nullopt,
                                                                       Clock::now());
        fixture.advance(LimitShare::DoubtTime);
    }
    TargetDirectory &directory() { return fixture.state().directory; }

    /// Sends requests that probe, with time between them, and answers each at once.
    void probe(int count)
    {
        for (int i = 1; i <= count; ++i) {
            const std::string id = "probe-" + std::to_string(i);
            prober.send("one", id);
            REQUIRE(fixture.run([this] { return fixture.requestsInFlight() == 1; }));
            REQUIRE(unlimited.arrived().size() + 1 == static_cast<std::size_t>(i));
            fixture.advance(ProbeWait);
            REQUIRE(fixture.runUntilArrived(unlimited, static_cast<std::size_t>(i)));
            unlimited.respond();
            REQUIRE(fixture.run([this] { return fixture.requestsInFlight() == 0; }));
            fixture.advance(ProbeGap);
        }
    }
    /// Hands a call to the directory. `absence` receives why it was refused.
    CallState call(const std::string &id, Clock::duration deadlineIn,
                   std::optional<TargetAbsence> &absence)
    {
        const Clock::time_point now = Clock::now();
        auto request = std::make_shared<ForwardedRequest>();
        request->id = id;
        request->head = "GET /one/x HTTP/1.1\r\nX-Request-Id: " + id + "\r\n";
        request->deadline = now + deadlineIn;
        ServiceCall call;
        call.service = "a";
        call.request = std::move(request);
        call.usefulUntil = now + deadlineIn;
        call.waitLimit = now + deadlineIn;
        call.onSent = [](const TargetHandlePtr &, CallNumber) {};
        call.onEnded = [](const TargetHandlePtr &, const TargetCallResult &) {};
        call.onNoTarget = [&absence](const TargetAbsence &why) { absence = why; };
        return directory().call(std::move(call), now).state;
    }
};

} // namespace

// Guards against requests that were refused because of the time between two probes.
TEST_CASE("Calls that wait only to probe a limit do not count as turns")
{
    DoubtfulService service;
    std::optional<TargetAbsence> absence;
    service.probe(12);

    SECTION("for calls that come to wait later")
    {
        // The first probes, one is sent, and the others wait.
        for (int i = 0; i < 6; ++i)
            service.fixture.addCaller().send("one", "burst-" + std::to_string(i));
        service.fixture.run([&] { return service.fixture.requestsInFlight() == 6; });
        CHECK(service.fixture.requestsInFlight() == 6);
    }
    SECTION("for a call that is looked at while one of them waits")
    {
        REQUIRE(service.call("probe", 1s, absence) == CallState::Waiting);
        const Clock::time_point now = Clock::now();
        CHECK(service.directory().canGetTurn("a", {now + 1500ms, now + 1500ms}, now));
        CHECK(service.directory().expectedWait("a", 1s, now) == 0s);
    }
}

TEST_CASE("A call that has probed a limit waits for its turn if no target has a free slot")
{
    DoubtfulService service;
    std::optional<TargetAbsence> absence;
    REQUIRE(service.call("probe", 4s, absence) == CallState::Waiting);
    REQUIRE(service.call("other", 4s, absence) == CallState::Sent);
    REQUIRE(service.fixture.runUntilArrived(service.unlimited));
    CHECK(service.directory().expectedWait("a", 1s, Clock::now()) == 0s);
    service.fixture.advance(ProbeWait);
    CHECK(service.directory().expectedWait("a", 1s, Clock::now()) > 0s);
    CHECK_FALSE(absence);
    service.unlimited.respond();
    CHECK(service.fixture.runUntilArrived(service.unlimited, 2));
    CHECK(service.directory().expectedWait("a", 1s, Clock::now()) == 0s);
}

TEST_CASE("A call that waits to probe a limit ends as soon as its time is up")
{
    DoubtfulService service;
    std::optional<TargetAbsence> absence;
    REQUIRE(service.call("probe", ProbeWait / 2, absence) == CallState::Waiting);
    service.fixture.standStill(ProbeWait / 2, [] {});
    service.fixture.poll();
    REQUIRE(absence);
    CHECK(absence->cause == TargetAbsence::Cause::NoTime);
}
