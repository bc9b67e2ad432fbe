#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "entryfixture.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const std::string Limit100 = "X-Server-Stamp: s\r\nServer-Limit: 100";
const std::string Limit5 = "X-Server-Stamp: s\r\nServer-Limit: 5";

/// A VM that may send three calls to a target, to which it may open one connection only.
class OneConnection : public EntryFixture
{
public:
    OneConnection()
        : m_target(addTarget("i-a1", "a", 3))
    {
        RoutingDocument document;
        document.services = {{"a", {1}}};
        state().directory.setRouting(std::make_shared<const RoutingTable>(std::move(document)));
        Caller &caller = addCaller();
        for (int i = 0; i < 20 && handle().load.limit() < 3; ++i) {
            const std::size_t earlier = m_target.arrived().size();
            caller.send("one", "early");
            REQUIRE(runUntilArrived(m_target, earlier + 1));
            advance(10ms);
            m_target.respond();
            REQUIRE(run([this] { return requestsInFlight() == 0; }));
        }
        REQUIRE(handle().load.limit() == 3);
    }

    PendingTarget &target() { return m_target; }
    TargetHandle &handle() { return *state().directory.targets().at("i-a1"); }
    /// Returns the requests that have arrived since the first ones.
    std::vector<std::string> arrived() const
    {
        std::vector<std::string> ids = m_target.arrived();
        std::erase(ids, "early");
        return ids;
    }
    bool runUntilArrived(const std::string &id)
    {
        return run([this, id] { return m_target.arrived().back() == id; });
    }
    using EntryFixture::runUntilArrived;
    /// Sends a request that the target gets.
    Caller &sendFirst(const std::string &id)
    {
        Caller &caller = addCaller();
        caller.send("one", id);
        REQUIRE(runUntilArrived(id));
        return caller;
    }
    /// Sends a request that waits for the connection.
    Caller &sendWaiting(const std::string &id)
    {
        const std::size_t earlier = handle().load.inFlight();
        Caller &caller = addCaller();
        caller.send("one", id);
        REQUIRE(run([&] { return handle().load.inFlight() == earlier + 1; }));
        return caller;
    }
    /// Responds to the request that has arrived last, and handles what comes of it.
    void respond(const Caller &caller, const std::string &headers)
    {
        m_target.respond("200 OK", headers);
        REQUIRE(runUntilReceived(caller, "HTTP/1.1 200 "));
        poll();
    }
    /// Grants one permit to the first request that depends on one and has no reply yet.
    bool grantPermit()
    {
        bool isGranted = false;
        return run([this, &isGranted] {
            while (!isGranted && m_replied < permitRequests().size()) {
                const PermitRequest request = permitRequests()[m_replied++];
                PermitReply reply{request.sequence, {}};
                for (const PermitAsk &ask : request.asks) {
                    reply.outcomes.emplace_back();
                    if (ask.required == 0 || std::exchange(isGranted, true))
                        continue;
                    reply.outcomes.back() = {true, {{handle().limitKey, 0ms}}, {}};
                }
                state().directory.onPermits(reply);
            }
            return isGranted;
        });
    }
    /// Returns how many requests were sent for a cause.
    double sends(const std::string &cause)
    {
        return state().metrics.entrySends.Add({{"cause", cause}}).Value();
    }
    void addPermits(int count)
    {
        for (int i = 0; i < count; ++i)
            state().directory.addSparePermit({handle().limitKey, Clock::now()});
    }

private:
    PendingTarget &m_target;
    std::size_t m_replied = 0;
};

using Ids = std::vector<std::string>;

/// Returns how many answers a caller has got.
std::size_t answersIn(const std::string &received)
{
    std::size_t count = 0;
    for (std::size_t at = 0; (at = received.find("HTTP/1.1 ", at)) != std::string::npos; ++at)
        ++count;
    return count;
}

} // namespace

// Guards against calls that wait for a connection and go out, one for each response, although
// their target has named a limit meanwhile.
TEST_CASE("A call that waits for a connection needs a permit once its target names a limit")
{
    OneConnection vm;
    const bool isLimitedBefore = GENERATE(false, true);
    CAPTURE(isLimitedBefore);
    if (isLimitedBefore) {
        EntryFixture::Caller &caller = vm.sendFirst("r0");
        vm.respond(caller, Limit100);
        vm.addPermits(3);
    }
    const Ids before = vm.arrived();
    const double firstSends = vm.sends("first");
    EntryFixture::Caller &first = vm.sendFirst("r1");
    EntryFixture::Caller &second = vm.sendWaiting("r2");
    EntryFixture::Caller &third = vm.sendWaiting("r3");
    const auto arrivedSince = [&] {
        Ids ids = vm.arrived();
        ids.erase(ids.begin(), ids.begin() + static_cast<std::ptrdiff_t>(before.size()));
        return ids;
    };

    SECTION("which it queues for")
    {
        vm.respond(first, Limit5);
        CHECK(arrivedSince() == Ids{"r1"});
        REQUIRE(vm.grantPermit());
        REQUIRE(vm.runUntilArrived("r2"));
        vm.respond(second, Limit5);
        CHECK(arrivedSince() == Ids{"r1", "r2"});
        REQUIRE(vm.grantPermit());
        REQUIRE(vm.runUntilArrived("r3"));
        vm.respond(third, Limit5);
        CHECK(arrivedSince() == Ids{"r1", "r2", "r3"});
        for (const EntryFixture::Caller *caller : {&first, &second, &third})
            CHECK(answersIn(caller->received()) == 1);
        CHECK(vm.handle().load.inFlight() == 0);
        CHECK(vm.sends("first") == firstSends + 3);
        CHECK(vm.sends("retry") == 0);
    }
    SECTION("and is answered in time if it gets none")
    {
        vm.respond(first, Limit5);
        for (int i = 0; i < 50 && vm.requestsInFlight() > 0; ++i)
            vm.advance(100ms);
        REQUIRE(vm.runUntilReceived(second, "HTTP/1.1 "));
        REQUIRE(vm.runUntilReceived(third, "HTTP/1.1 "));
        CHECK(arrivedSince() == Ids{"r1"});
        for (const EntryFixture::Caller *caller : {&second, &third})
            CHECK(answersIn(caller->received()) == 1);
    }
}

// Guards against permits that are used, together, long after their time, because the calls that
// hold them wait while their target stalls.
TEST_CASE("A call that waits for a connection uses its permit within the permit's life only")
{
    OneConnection vm;
    vm.respond(vm.sendFirst("r0"), Limit100);
    vm.addPermits(2);
    EntryFixture::Caller &first = vm.sendFirst("r1");
    EntryFixture::Caller &second = vm.sendWaiting("r2");

    SECTION("and goes out with it before its end")
    {
        vm.advance(PermitLifetime - 1ms);
        vm.respond(first, Limit100);
        REQUIRE(vm.runUntilArrived("r2"));
        vm.respond(second, Limit100);
        CHECK(answersIn(second.received()) == 1);
    }
    SECTION("and queues for another one after its end")
    {
        vm.advance(PermitLifetime);
        vm.respond(first, Limit100);
        CHECK(vm.arrived() == Ids{"r0", "r1"});
        REQUIRE(vm.grantPermit());
        REQUIRE(vm.runUntilArrived("r2"));
        vm.respond(second, Limit100);
        CHECK(vm.arrived() == Ids{"r0", "r1", "r2"});
        CHECK(answersIn(second.received()) == 1);
        CHECK(vm.sends("retry") == 0);
    }
}
