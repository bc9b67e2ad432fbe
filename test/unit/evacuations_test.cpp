#include <algorithm>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/statewire.h"
#include "entryfixture.h"
#include "mangoshift/evacuations.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// The domains that a store held as evacuated at each revision.
using History = std::vector<std::set<std::string>>;

History makeHistory(std::mt19937_64 &random)
{
    History history(1);
    for (int i = 0; i < 60; ++i) {
        std::set<std::string> next = history.back();
        const std::string domain(1, static_cast<char>('a' + random() % 4));
        if (next.erase(domain) == 0)
            next.insert(domain);
        history.push_back(next);
    }
    return history;
}

/// An entry duty with a service `a` in the failure domains `east` and `west`, and a service `b` in
/// `east` only.
class TwoDomains : public EntryFixture
{
public:
    TwoDomains()
    {
        for (const auto &[id, service, domain] :
             {std::tuple("i-a1", "a", "east"), std::tuple("i-a2", "a", "west"),
              std::tuple("i-b1", "b", "east")}) {
            m_targets[id] = &addTarget(id, service);
            RegisteredTarget listing = m_targets[id]->listing(2);
            listing.failureDomain = domain;
            state().directory.apply({TargetListed{listing}}, Clock::now());
        }
    }

    PendingTarget &target(const std::string &id) { return *m_targets.at(id); }
    void evacuate(const std::set<std::string> &domains)
    {
        state().directory.setEvacuatedDomains(domains, Clock::now());
        poll();
    }
    /// Sends a request and returns the target that it arrives at, which answers it.
    std::string serve(const std::string &route)
    {
        std::map<std::string, std::size_t> before;
        for (const auto &[name, target] : m_targets)
            before[name] = target->arrived().size();
        const std::string id = "r" + std::to_string(++m_requests);
        m_caller.send(route, id);
        std::string reached;
        REQUIRE(run([&] {
            for (const auto &[name, target] : m_targets)
                if (target->arrived().size() > before[name])
                    reached = name;
            return !reached.empty();
        }));
        target(reached).respond();
        REQUIRE(runUntilReceived(m_caller, "X-Request-Id: " + id + "\r\n"));
        return reached;
    }

private:
    std::map<std::string, PendingTarget *> m_targets;
    Caller &m_caller = addCaller();
    int m_requests = 0;
};

} // namespace

// Guards against evacuations that end or return because of a report that is older than what is
// known, whether it comes from another VM, from a listing or from a watch.
TEST_CASE("Evacuations follow the newest report, in whichever order the reports come")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 200));
    CAPTURE(seed);
    std::mt19937_64 random(seed);
    const History history = makeHistory(random);
    Evacuations evacuations;
    std::map<std::string, std::uint64_t> newest;
    for (int i = 0; i < 200; ++i) {
        const std::uint64_t revision = random() % history.size();
        if (random() % 2 == 0) {
            evacuations.replaceAll(history[revision], revision);
            for (const std::string domain : {"a", "b", "c", "d"})
                newest[domain] = std::max(newest[domain], revision);
        } else {
            const std::string domain(1, static_cast<char>('a' + random() % 4));
            evacuations.set(domain, history[revision].contains(domain), revision);
            newest[domain] = std::max(newest[domain], revision);
        }
        for (const auto &[domain, at] : newest)
            REQUIRE(evacuations.domains().contains(domain) == history[at].contains(domain));
    }
}

TEST_CASE("Evacuations are bounded in number")
{
    Evacuations evacuations;
    for (std::size_t i = 0; i < 2 * Evacuations::MaxDomains; ++i)
        evacuations.set(std::to_string(i), true, i + 1);
    CHECK(evacuations.domains().size() == Evacuations::MaxDomains);

    SECTION("a domain that is no longer evacuated makes room for another one")
    {
        evacuations.set("0", false, 1000);
        CHECK(evacuations.set("late", true, 1001).size() == 1);
        CHECK(evacuations.domains().contains("late"));
    }
}

// Guards against a VM of an earlier release, which knows nothing of evacuations, ending them.
TEST_CASE("The state that VMs send each other names the evacuated domains")
{
    PeerState state;
    state.revision = 7;
    const auto sent = [](const PeerState &each) {
        wire::StateReplyT reply = toWire(each, 1);
        return fromWire(reply).evacuatedDomains;
    };
    CHECK_FALSE(sent(state).has_value());
    state.evacuatedDomains.emplace();
    CHECK(sent(state) == std::set<std::string>());
    state.evacuatedDomains = {"east", "west"};
    CHECK(sent(state) == std::set<std::string>{"east", "west"});
}

TEST_CASE("Targets of an evacuated failure domain")
{
    TwoDomains vm;

    SECTION("get no requests while another domain has targets")
    {
        vm.evacuate({"east"});
        for (int i = 0; i < 10; ++i)
            CHECK(vm.serve("safe") == "i-a2");
    }
    SECTION("end undisturbed what they have begun")
    {
        vm.evacuate({"west"});
        auto &caller = vm.addCaller();
        caller.send("safe", "early");
        REQUIRE(vm.runUntilArrived(vm.target("i-a1")));
        vm.evacuate({"east"});
        vm.target("i-a1").respond();
        CHECK(vm.runUntilReceived(caller, "HTTP/1.1 200 "));
    }
    SECTION("leave a service without targets, whose requests are refused at once as not run")
    {
        vm.evacuate({"east", "west"});
        auto &caller = vm.addCaller();
        caller.send("one", "r");
        REQUIRE(vm.runUntilReceived(caller, "HTTP/1.1 503 "));
        CHECK(caller.hasReceived("not_run"));
        CHECK(caller.hasReceived("Retry-After"));
        CHECK(vm.target("i-a1").arrived().empty());
    }
    SECTION("leave queries that the other shards can answer in part")
    {
        vm.evacuate({"east"});
        auto &caller = vm.addCaller();
        caller.send("all", "q");
        REQUIRE(vm.runUntilArrived(vm.target("i-a2")));
        vm.target("i-a2").respond();
        REQUIRE(vm.runUntilReceived(caller, "HTTP/1.1 200 "));
        CHECK(caller.hasReceived("X-Missing-Parts: 1"));
        CHECK(vm.target("i-b1").arrived().empty());
    }
    SECTION("get no hedge of a request that is late elsewhere")
    {
        vm.evacuate({"east"});
        auto &caller = vm.addCaller();
        caller.send("safe", "late");
        REQUIRE(vm.runUntilArrived(vm.target("i-a2")));
        vm.advance(2s);
        vm.poll();
        CHECK(vm.target("i-a1").arrived().empty());
        vm.target("i-a2").respond();
        CHECK(vm.runUntilReceived(caller, "HTTP/1.1 200 "));
    }
    SECTION("are also those that are listed during the evacuation")
    {
        vm.evacuate({"north"});
        PendingTarget &added = vm.addTarget("i-a3", "a");
        RegisteredTarget listing = added.listing(2);
        listing.failureDomain.assign("north");
        vm.state().directory.apply({TargetDelisted{"i-a3"}, TargetListed{listing}}, Clock::now());
        for (int i = 0; i < 10; ++i)
            vm.serve("safe");
        CHECK(added.arrived().empty());
    }
}

// Guards against all VMs returning at the same moment to targets that may be cold.
TEST_CASE("After an evacuation targets return gradually")
{
    TwoDomains vm;
    vm.evacuate({"east"});
    const auto &targets = vm.state().directory.targets();

    SECTION("within two seconds, at a random time and with one request at a time")
    {
        vm.evacuate({});
        const TargetHandle &target = *targets.at("i-a1");
        CHECK(target.returnsAt <= Clock::now() + 2s);
        CHECK(target.load.limit() == 1);
        vm.advance(2s);
        bool isUsed = false;
        for (int i = 0; i < 200 && !isUsed; ++i)
            isUsed = vm.serve("safe") == "i-a1";
        CHECK(isUsed);
    }
    SECTION("at once if the service has no other target")
    {
        vm.evacuate({"west"});
        CHECK(vm.serve("safe") == "i-a1");
    }
}

// Guards against a request that was given to a target's connections before the evacuation and is
// sent when one of them becomes free.
TEST_CASE("A call that waits for a connection to an evacuated target is sent elsewhere")
{
    TwoDomains vm;
    RoutingDocument document;
    document.services = {{"a", {1}}, {"b", {1}}};
    vm.state().directory.setRouting(std::make_shared<const RoutingTable>(std::move(document)));
    vm.evacuate({"west"});
    for (int i = 0; i < 4; ++i)
        vm.serve("safe");
    REQUIRE(vm.state().directory.targets().at("i-a1")->load.limit() == 2);
    auto &first = vm.addCaller();
    first.send("one", "first");
    REQUIRE(vm.run([&vm] { return vm.target("i-a1").arrived().back() == "first"; }));
    auto &second = vm.addCaller();
    second.send("one", "second");
    const TargetLoad &load = vm.state().directory.targets().at("i-a1")->load;
    REQUIRE(vm.run([&load] { return load.inFlight() == 2; }));
    vm.evacuate({"east"});
    REQUIRE(vm.runUntilArrived(vm.target("i-a2")));
    CHECK(vm.target("i-a2").arrived() == std::vector<std::string>{"second"});
    vm.target("i-a2").respond();
    CHECK(vm.runUntilReceived(second, "HTTP/1.1 200 "));
    vm.target("i-a1").respond();
    CHECK(vm.runUntilReceived(first, "HTTP/1.1 200 "));
    CHECK(vm.target("i-a1").arrived().back() == "first");
}
