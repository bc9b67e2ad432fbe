#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

constexpr double Rate = 5.0;
/// Three report intervals of targets, which is more than a target that returns is presumed cold.
constexpr auto AfterPresumption = 3600ms;

std::string warmupHeader(std::chrono::milliseconds left)
{
    return "X-Server-Stamp: s\r\nX-Warmup-Ms: " + std::to_string(left.count());
}

/// A VM with one target of the service `a`, of which cold targets take five requests a second for
/// at most twenty seconds.
class ColdTarget : public EntryFixture
{
public:
    explicit ColdTarget(double rate = Rate)
        : m_target(addTarget("i-a1", "a"))
    {
        state().directory.setWarmup({1.5, 5.0, 3}, 1200ms);
        setRate(rate);
    }

    PendingTarget &target() { return m_target; }
    TargetHandle &handle() { return *state().directory.targets().at("i-a1"); }
    TargetLimit &limit() { return handle().standing->limit(); }
    void setRate(double rate)
    {
        RoutingDocument document;
        document.services = {{"a", {1, rate, 20s}}, {"b", {1}}};
        state().directory.setRouting(std::make_shared<const RoutingTable>(std::move(document)));
    }
    /// Reads a new entry of the target.
    void report(std::chrono::milliseconds warmupLeft)
    {
        RegisteredTarget listing = m_target.listing(2);
        listing.warmupLeft = warmupLeft;
        listing.sequence = ++m_sequence;
        listing.failureDomain = "east";
        state().directory.apply({TargetListed{listing}}, Clock::now());
        poll();
    }
    void evacuate(const std::set<std::string> &domains)
    {
        state().directory.setEvacuatedDomains(domains, Clock::now());
        poll();
    }
    Caller &send(const std::string &id, const std::string &route = "one")
    {
        Caller &caller = addCaller();
        caller.send(route, id);
        REQUIRE(run([this] { return requestsInFlight() > 0; }));
        poll();
        return caller;
    }
    /// Replies to all requests for permits. Grants one to each that depends on it if `isGranted`.
    void reply(bool isGranted)
    {
        REQUIRE(run([this] { return permitRequests().size() > m_replied; }));
        for (; m_replied < permitRequests().size(); ++m_replied) {
            const PermitRequest request = permitRequests()[m_replied];
            PermitReply reply{request.sequence, {}};
            for (const PermitAsk &ask : request.asks) {
                m_asked = ask.parts.front().front();
                reply.outcomes.push_back(isGranted && ask.required > 0
                                             ? PermitOutcome{true, {{handle().limitKey, 0ms}}, {}}
                                             : PermitOutcome{false, {}, 700ms});
            }
            state().directory.onPermits(reply);
        }
        poll();
    }
    /// The target and limit of the latest ask for permits.
    const HeardLimit &asked() const { return m_asked; }
    /// Serves a request, with a permit if the target is cold.
    void serve(const std::string &id, const std::string &header = "X-Server-Stamp: s")
    {
        const std::size_t earlier = m_target.arrived().size();
        Caller &caller = send(id);
        if (limit().isCold())
            reply(true);
        REQUIRE(runUntilArrived(m_target, earlier + 1));
        m_target.respond("200 OK", header);
        REQUIRE(runUntilReceived(caller, "HTTP/1.1 200 "));
        poll();
    }
    double coldTargets()
    {
        state().directory.sweep(Clock::now());
        return state().metrics.coldTargets.Value();
    }

private:
    PendingTarget &m_target;
    std::uint64_t m_sequence = 0;
    std::size_t m_replied = 0;
    HeardLimit m_asked;
};

} // namespace

// Guards against a first request that reaches a target which is not known to be cold yet.
TEST_CASE("A target that is listed cold gets no request without a permit")
{
    ColdTarget vm;
    vm.report(15s);
    REQUIRE(vm.limit().value() == WarmupTerms{1.5, 5.0, 3}.limit(Rate));
    CHECK(vm.coldTargets() == 1);

    SECTION("a request that the rate does not allow is refused at once as not run")
    {
        auto &caller = vm.send("r");
        vm.reply(false);
        REQUIRE(vm.runUntilReceived(caller, "HTTP/1.1 503 "));
        CHECK(caller.hasReceived("not_run"));
        CHECK(caller.hasReceived("Retry-After"));
        CHECK(vm.target().arrived().empty());
    }
    SECTION("a request is sent for a permit, which the pool grants for the warm-up limit")
    {
        vm.advance(5s);
        auto &caller = vm.send("r");
        vm.reply(true);
        REQUIRE(vm.runUntilArrived(vm.target()));
        CHECK(vm.asked() == HeardLimit{vm.handle().limitKey, vm.limit().value(), 0ms});
        vm.target().respond();
        CHECK(vm.runUntilReceived(caller, "HTTP/1.1 200 "));
    }
    // Guards against urgent requests that find all permits granted ahead to others.
    SECTION("only urgent requests take permits ahead of their time")
    {
        const HeardLimit heard{vm.handle().limitKey, vm.limit().value(), 0ms};
        const auto maxWaitOf = [&](std::uint32_t priority) {
            vm.state().directory.requestPermits(
                {priority, 1, 1, 100ms, {{heard}}}, [](const auto &, const auto &) {},
                Clock::now());
            vm.poll();
            return vm.permitRequests().back().asks.at(0).maxWait;
        };
        CHECK(maxWaitOf(0) == 100ms);
        CHECK(maxWaitOf(1) == 0ms);
        vm.advance(15s);
        CHECK(maxWaitOf(1) == 100ms);
    }
    SECTION("a late request gets no hedge either, and a lost one no retry")
    {
        vm.send("r", "safe");
        vm.reply(true);
        REQUIRE(vm.runUntilArrived(vm.target()));
        PendingTarget &other = vm.addTarget("i-a2", "a");
        RegisteredTarget listing = other.listing(2);
        listing.warmupLeft = 15s;
        listing.startedAt = 1;
        vm.state().directory.apply({TargetListed{listing}}, Clock::now());
        for (int i = 0; i < 30; ++i)
            vm.advance(100ms);
        CHECK(vm.target().arrived().size() == 1);
        CHECK(other.arrived().empty());
    }
    // Guards against a thread that is short of processor time and sends with a permit that has
    // expired since the target was picked.
    SECTION("an expired permit is not used, although it was valid when the target was picked")
    {
        vm.serve("first");
        const Clock::time_point pickedAt = Clock::now();
        vm.limit().addPermit(pickedAt, pickedAt);
        vm.advance(PermitLifetime);
        ServiceCall call;
        call.service = "a";
        call.request = std::make_shared<ForwardedRequest>();
        call.canWait = false;
        call.onSent = [](const auto &, CallNumber) { FAIL("sent"); };
        CHECK(vm.state().directory.call(call, pickedAt).state == CallState::NoFreeSlot);
        vm.poll();
        CHECK(vm.target().arrived().size() == 1);
    }
    SECTION("until its time is over")
    {
        vm.advance(15s);
        CHECK(vm.coldTargets() == 0);
        vm.serve("r");
        CHECK_FALSE(vm.limit().isLimited());
    }
    SECTION("nor after it was removed and listed again")
    {
        const RegisteredTarget warm = vm.target().listing(2);
        vm.state().directory.apply({TargetDelisted{"i-a1"}, TargetListed{warm}}, Clock::now());
        CHECK(vm.limit().isCold());
    }
    SECTION("unless a new configuration states no rate")
    {
        vm.setRate(0.0);
        vm.serve("r");
        CHECK(vm.coldTargets() == 0);
    }
}

// Guards against a limit that depends on whether the configuration or the target is read first.
TEST_CASE("A target is cold for no longer than its service states, whichever is read first")
{
    ColdTarget vm(0.0);
    vm.report(60s);
    CHECK_FALSE(vm.limit().isLimited());
    vm.setRate(Rate);
    CHECK(vm.limit().isCold());
    CHECK(vm.limit().coldUntil() <= Clock::now() + 60s);
    SECTION("an entry")
    {
        CHECK(vm.limit().coldUntil() == Clock::now() + 20s);
    }
    SECTION("a response")
    {
        vm.serve("r", warmupHeader(90s));
        CHECK(vm.limit().coldUntil() <= Clock::now() + 20s);
    }
}

TEST_CASE("A target that becomes cold again")
{
    ColdTarget vm;
    vm.report(0s);
    vm.serve("r1");
    REQUIRE_FALSE(vm.limit().isLimited());

    SECTION("is limited by its response until a later one says that it is warm")
    {
        vm.serve("r2", warmupHeader(15s));
        REQUIRE(vm.limit().isCold());
        CHECK(vm.limit().coldUntil() <= Clock::now() + 15s);
        vm.serve("r3", warmupHeader(0s));
        CHECK_FALSE(vm.limit().isLimited());
        vm.serve("r4");
    }
    SECTION("is limited by its entry")
    {
        vm.report(15s);
        CHECK(vm.limit().isCold());
        vm.report(0s);
        CHECK(vm.limit().isCold());
        vm.advance(AfterPresumption);
        vm.report(0s);
        CHECK_FALSE(vm.limit().isCold());
    }
    // Guards against calls that go out one after the other over the one connection.
    SECTION("does not get the calls that wait for a connection to it")
    {
        while (vm.handle().load.limit() < 2)
            vm.serve("more");
        vm.send("running");
        REQUIRE(vm.run([&vm] { return vm.target().arrived().back() == "running"; }));
        vm.send("waiting");
        REQUIRE(vm.run([&vm] { return vm.handle().load.inFlight() == 2; }));
        const std::size_t earlier = vm.target().arrived().size();
        vm.target().respond("200 OK", warmupHeader(15s));
        vm.reply(false);
        CHECK(vm.target().arrived().size() == earlier);
    }
}

// Guards against full load at once on targets that were without requests during an evacuation.
TEST_CASE("After an evacuation a target counts as cold")
{
    ColdTarget vm;
    vm.report(0s);
    vm.evacuate({"east"});
    CHECK_FALSE(vm.limit().isCold());
    vm.advance(60s);
    vm.evacuate({});
    REQUIRE(vm.limit().isCold());

    SECTION("for two and a half report intervals if it says nothing")
    {
        vm.advance(2999ms);
        CHECK(vm.limit().isCold());
        vm.report(0s);
        CHECK(vm.limit().isCold());
        vm.advance(1ms);
        CHECK_FALSE(vm.limit().isCold());
    }
    SECTION("for as long as its entry says")
    {
        vm.report(15s);
        vm.advance(14s);
        CHECK(vm.limit().isCold());
        vm.advance(1s);
        CHECK_FALSE(vm.limit().isCold());
    }
    SECTION("until a response says that it is not")
    {
        vm.serve("r", warmupHeader(0s));
        CHECK_FALSE(vm.limit().isCold());
    }
}

// Guards against any change for the users whose configuration states no rate.
TEST_CASE("Targets of services without a rate are not limited while they are cold")
{
    ColdTarget vm(0.0);
    vm.report(15s);
    vm.serve("r1", warmupHeader(15s));
    vm.evacuate({"east"});
    vm.evacuate({});
    vm.serve("r2");
    CHECK(vm.coldTargets() == 0);
    CHECK(vm.permitRequests().empty());
}
