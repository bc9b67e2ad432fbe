#include <algorithm>
#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "duties/memberswire.h"
#include "fleet.h"

using namespace mangoshift;
using namespace mangoshift::testing;

namespace {

constexpr int Seeds = 1000;
/// How long a dead VM may stay in the view of any of seven VMs.
constexpr seconds DetectionTarget{3};
/// How long views may disagree after all faults have ended.
constexpr seconds ConvergenceTarget{30};

Fleet joinedFleet(std::size_t size, std::uint64_t seed)
{
    Fleet fleet(size, seed);
    fleet.readLists();
    fleet.run(seconds(5));
    return fleet;
}

bool isOutOfAllViews(const Fleet &fleet, const std::string &vm)
{
    const auto names = fleet.names();
    return std::none_of(names.begin(), names.end(),
                        [&](const std::string &each) { return fleet.viewOf(each).contains(vm); });
}

/// Starts a random fault or resumes all paused VMs.
void injectFault(Fleet &fleet)
{
    switch (fleet.random()() % 6) {
    case 0:
        fleet.loss = static_cast<double>(fleet.random()() % 30) / 100;
        break;
    case 1:
        fleet.duplication = 0.3;
        fleet.maxDelay = milliseconds(fleet.random()() % 200 + 1);
        break;
    case 2:
        fleet.pause(fleet.anyVm());
        break;
    case 3: {
        const std::uint64_t salt = fleet.random()();
        fleet.isCut = [salt](const std::string &a, const std::string &b) {
            return std::hash<std::string>()(a + std::to_string(salt)) % 2
                != std::hash<std::string>()(b + std::to_string(salt)) % 2;
        };
        break;
    }
    case 4: {
        const std::string vm = fleet.anyVm();
        fleet.kill(vm);
        fleet.start(vm);
        break;
    }
    default:
        for (const std::string &vm : fleet.names())
            fleet.unpause(vm);
        break;
    }
}

void endFaults(Fleet &fleet)
{
    fleet.loss = 0;
    fleet.duplication = 0;
    fleet.maxDelay = milliseconds(5);
    fleet.isCut = nullptr;
    for (const std::string &vm : fleet.names())
        fleet.unpause(vm);
    fleet.readLists();
}

} // namespace

TEST_CASE("Membership among seven VMs")
{
    GIVEN("VMs that have received the platform's list")
    {
        Fleet fleet = joinedFleet(7, 1);

        SECTION("every VM is in the view of every other")
        {
            INFO(fleet.describe());
            CHECK(fleet.isConverged());
            CHECK(fleet.machine("vm0").hasJoined(fleet.now()));
        }

        SECTION("equal tables have equal hashes")
        {
            for (const std::string &vm : fleet.names())
                CHECK(fleet.machine(vm).tableHash() == fleet.machine("vm0").tableHash());
        }

        SECTION("a leaving VM is immediately marked as leaving in all views")
        {
            fleet.perform("vm3", fleet.machine("vm3").leave());
            fleet.run(milliseconds(20));
            for (const std::string &vm : fleet.names())
                for (const Member &member : fleet.machine(vm).view()->members)
                    CHECK(member.isLeaving == (member.vm == "vm3"));
        }

        SECTION("a restarted VM can be a home once it has its configuration")
        {
            const auto isStartingInViewOf = [&](const std::string &vm) {
                const auto &members = fleet.machine(vm).view()->members;
                const auto it = std::find_if(members.begin(), members.end(),
                                             [](const Member &each) { return each.vm == "vm3"; });
                return it != members.end() && it->isStarting;
            };
            fleet.kill("vm3");
            fleet.start("vm3", true);
            fleet.readLists();
            fleet.run(seconds(5));
            for (const std::string &vm : fleet.names())
                CHECK(isStartingInViewOf(vm));

            fleet.perform("vm3", fleet.machine("vm3").startServing());
            fleet.run(DetectionTarget);
            for (const std::string &vm : fleet.names())
                CHECK_FALSE(isStartingInViewOf(vm));
            CHECK(fleet.isConverged());
        }

        SECTION("a VM that was replaced under the same name is recognized as the new one")
        {
            fleet.kill("vm2");
            fleet.run(seconds(5));
            fleet.start("vm2");
            const auto incarnation = fleet.machine("vm2").self().member.incarnation;
            fleet.readLists();
            fleet.run(seconds(5));
            INFO(fleet.describe());
            REQUIRE(fleet.isConverged());
            for (const Member &member : fleet.machine("vm5").view()->members)
                if (member.vm == "vm2")
                    CHECK(member.incarnation == incarnation);
        }
    }

    GIVEN("a network without faults")
    {
        SECTION("no VM is ever declared dead, for any seed")
        {
            for (int seed = 0; seed < 50; ++seed) {
                Fleet fleet = joinedFleet(7, seed);
                fleet.run(seconds(60));
                INFO("seed " << seed);
                REQUIRE(fleet.deaths.empty());
            }
        }

        SECTION("a killed VM is removed from every view within the target time, for any seed")
        {
            for (int seed = 0; seed < Seeds; ++seed) {
                Fleet fleet = joinedFleet(7, seed);
                fleet.kill("vm4");
                const auto took =
                    fleet.runUntil([&] { return isOutOfAllViews(fleet, "vm4"); }, seconds(20));
                INFO("seed " << seed << " took "
                             << std::chrono::duration_cast<milliseconds>(took).count() << " ms");
                REQUIRE(took <= DetectionTarget);
            }
        }
    }
}

TEST_CASE("A VM that pauses")
{
    Fleet fleet = joinedFleet(7, 11);

    GIVEN("a pause after which no message reaches the VM")
    {
        fleet.pause("vm1");
        fleet.run(seconds(10));
        fleet.isCut = [](const std::string &a, const std::string &b) {
            return a == "vm1" || b == "vm1";
        };
        fleet.deaths.clear();
        fleet.unpause("vm1");
        fleet.run(seconds(4));

        SECTION("its view is stale, and it declares no VM dead")
        {
            CHECK(fleet.machine("vm1").isViewStale());
            CHECK(fleet.deaths["vm1"] == 0);
        }

        SECTION("it continues alone once its probes have failed for long enough")
        {
            fleet.run(seconds(20));
            CHECK(fleet.viewOf("vm1") == std::set<std::string>{"vm1"});
            CHECK(fleet.machine("vm1").isViewStale());
        }

        SECTION("a platform's list that was requested before the pause ended leaves the view stale")
        {
            const auto before = fleet.now() - seconds(8);
            fleet.machine("vm1").onPlatformList({}, before, fleet.now());
            CHECK(fleet.machine("vm1").isViewStale());
            fleet.machine("vm1").onPlatformList({}, fleet.now(), fleet.now());
            CHECK_FALSE(fleet.machine("vm1").isViewStale());
        }
    }

    GIVEN("a pause after which messages are delivered again")
    {
        fleet.pause("vm1");
        fleet.run(seconds(10));
        CHECK(isOutOfAllViews(fleet, "vm9"));
        CHECK_FALSE(fleet.viewOf("vm0").contains("vm1"));
        fleet.unpause("vm1");
        fleet.run(seconds(5));

        SECTION("the VM is in all views again, and its own view is not stale")
        {
            INFO(fleet.describe());
            CHECK(fleet.isConverged());
            CHECK_FALSE(fleet.machine("vm1").isViewStale());
        }
    }
}

TEST_CASE("Two parts of a fleet that are cut off from each other")
{
    Fleet fleet = joinedFleet(7, 5);
    const auto isOnLeftSide = [](const std::string &vm) { return vm < "vm3"; };
    fleet.isCut = [&](const std::string &a, const std::string &b) {
        return isOnLeftSide(a) != isOnLeftSide(b);
    };
    fleet.run(seconds(15));

    SECTION("each side continues with its own VMs")
    {
        CHECK(fleet.viewOf("vm0") == std::set<std::string>{"vm0", "vm1", "vm2"});
        CHECK(fleet.viewOf("vm5") == std::set<std::string>{"vm3", "vm4", "vm5", "vm6"});
    }

    SECTION("they find each other again without the platform")
    {
        fleet.isCut = nullptr;
        fleet.run(seconds(15));
        INFO(fleet.describe());
        CHECK(fleet.isConverged());
    }

    SECTION("no VM is removed from a view when the cut ends")
    {
        fleet.isCut = nullptr;
        fleet.deaths.clear();
        fleet.run(seconds(15));
        CHECK(fleet.deaths.empty());
    }
}

TEST_CASE("Two VMs that are cut off only from each other")
{
    SECTION("stay alive through indirect probes by the other VMs, for any seed")
    {
        for (int seed = 0; seed < 50; ++seed) {
            Fleet fleet = joinedFleet(7, seed);
            fleet.isCut = [](const std::string &a, const std::string &b) {
                return std::min(a, b) == "vm0" && std::max(a, b) == "vm1";
            };
            fleet.run(seconds(30));
            INFO("seed " << seed);
            REQUIRE(fleet.suspicions.empty());
            REQUIRE(fleet.isConverged());
        }
    }
}

TEST_CASE("A new VM that reaches nobody")
{
    Fleet fleet(1, 3);

    SECTION("has not joined, however long it waits")
    {
        fleet.run(seconds(60));
        CHECK_FALSE(fleet.machine("vm0").hasJoined(fleet.now()));
    }

    SECTION("has joined alone if no listed VM responds within the join timeout")
    {
        const Member silent{"vm9", "domain0", "region", "vm9", 0, false};
        fleet.perform("vm0",
                      fleet.machine("vm0").onPlatformList({silent}, fleet.now(), fleet.now()));
        CHECK_FALSE(fleet.machine("vm0").hasJoined(fleet.now()));
        fleet.run(seconds(3));
        CHECK(fleet.machine("vm0").hasJoined(fleet.now()));
    }
}

TEST_CASE("The number of messages that a VM sends does not grow with the fleet")
{
    const auto sentBy = [](std::size_t size) {
        Fleet fleet(size, 9);
        fleet.readLists();
        fleet.run(seconds(40));
        fleet.heartbeats.clear();
        fleet.run(seconds(20));
        std::size_t sent = 0;
        for (const auto &[vm, count] : fleet.heartbeats)
            sent += count;
        return static_cast<double>(sent) / static_cast<double>(size);
    };
    const double few = sentBy(7);
    const double many = sentBy(56);
    INFO("messages sent by each VM in 20 s: " << few << " of 7, " << many << " of 56");
    CHECK(many < few * 1.1);
}

TEST_CASE("A heartbeat fits into one datagram")
{
    constexpr std::size_t datagramBytes = 1200;
    Fleet fleet(40, 21);
    std::size_t largest = 0;
    fleet.onSend = [&](const HeartbeatMessage &message) {
        largest = std::max(largest, encodeFrame(*makeFrame(toWire(message))).size());
    };
    fleet.readLists();
    fleet.run(seconds(10));
    fleet.kill("vm1");
    fleet.run(seconds(10));
    CHECK(largest <= datagramBytes);
}

TEST_CASE("Views agree again after any faults")
{
    GIVEN("loss, duplication, reordering, pauses, cuts and restarts in any order")
    {
        SECTION("once the faults have ended, every view contains every live VM, for any seed")
        {
            for (int seed = 0; seed < Seeds; ++seed) {
                Fleet fleet = joinedFleet(5 + seed % 3, seed);
                for (int i = 0; i < 12; ++i) {
                    injectFault(fleet);
                    fleet.run(seconds(2));
                }
                endFaults(fleet);
                fleet.runUntil([&] { return fleet.isConverged(); }, ConvergenceTarget);
                INFO("seed " << seed << "\n" << fleet.describe());
                REQUIRE(fleet.isConverged());
                // The views must stay converged: no VM that responds is declared dead again.
                fleet.deaths.clear();
                fleet.run(seconds(10));
                REQUIRE(fleet.isConverged());
            }
        }
    }
}

TEST_CASE("A VM that may be cut off pings other failure domains")
{
    Fleet fleet = joinedFleet(7, 1);
    const std::string own = fleet.machine("vm0").self().member.failureDomain;
    std::map<std::string, std::string> domains;
    for (const MemberRecord &record : fleet.machine("vm1").table())
        domains[record.member.peerAddress] = record.member.failureDomain;
    const auto pinged = [&] {
        std::set<std::string> addresses;
        for (const MembershipAction &action : fleet.machine("vm0").pingOtherDomains())
            if (const auto *heartbeat = std::get_if<SendHeartbeat>(&action))
                addresses.insert(heartbeat->address);
        return addresses;
    };

    SECTION("it pings three VMs, none of its own domain")
    {
        const auto addresses = pinged();
        CHECK(addresses.size() == 3);
        for (const std::string &address : addresses)
            CHECK(domains.at(address) != own);
    }
    SECTION("it also pings VMs that count as dead, as they may have recovered")
    {
        for (const auto &[address, domain] : domains)
            if (domain != own)
                fleet.kill(address);
        fleet.run(seconds(30));
        CHECK(pinged().size() == 3);
    }
}
