#include <algorithm>
#include <future>
#include <iostream>
#include <random>
#include <set>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/files.h"
#include "bookings.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr std::uint64_t TicketCount = 3000;
constexpr std::size_t CallerCount = 32;

/// The Sundarban deployment, whose VMs reach each other through the relay only.
class RelayedDeployment : public Deployment
{
public:
    RelayedDeployment()
        : Deployment("sundarban",
                     {.targetOptions = {"--service-time-us", "1000"}, .network = Network::Relayed})
    {
    }
    explicit RelayedDeployment(std::map<std::string, std::string> regions)
        : Deployment("sundarban",
                     {.targetOptions = {"--service-time-us", "1000"},
                      .deadline = std::chrono::milliseconds(1000),
                      .network = Network::Relayed,
                      .regions = std::move(regions)})
    {
    }

    void setRules(const Json &rules) { put(relayControl(), "/rules", rules.dump()); }
    void heal() { setRules(Json::array()); }
    void silence() { put(relayControl(), "/silence", "{}"); }

    /// Returns relay rules that apply `mode` to all traffic from the VMs whose names start with
    /// `prefix` to the other VMs, and to the traffic in the opposite direction unless `isOneWay`.
    Json rulesIsolating(const std::string &prefix, const std::string &mode, bool isOneWay)
    {
        Json rules = Json::array();
        for (const std::string &inside : vmNames()) {
            if (inside.find(prefix) != 0)
                continue;
            for (const std::string &outside : vmNames()) {
                if (outside.find(prefix) == 0)
                    continue;
                rules.push_back({{"from", ipOf(inside)}, {"to", ipOf(outside)}, {"mode", mode}});
                if (!isOneWay)
                    rules.push_back(
                        {{"from", ipOf(outside)}, {"to", ipOf(inside)}, {"mode", mode}});
            }
        }
        return rules;
    }

    /// Sends a query to a VM. Returns whether the answer is complete.
    bool answersCompletely(const std::string &vm)
    {
        const Response response = query(vm, "pass-lookup");
        return response.status == 200 && Json::parse(response.body)["complete"] == true;
    }

    /// Returns whether `vm` reports every VM, itself included, as alive.
    bool knowsAllVms(const std::string &vm)
    {
        return aliveVmsSeenBy(vm).size() == vmNames().size();
    }

    /// Returns the VMs that `vm` reports as alive.
    std::set<std::string> aliveVmsSeenBy(const std::string &vm)
    {
        const Json state = Json::parse(get(operatorAddress(vm), "/state").body, nullptr, false);
        std::set<std::string> alive;
        if (state.is_object())
            for (const Json &member : state["control"]["members"])
                if (member["state"] == "alive")
                    alive.insert(member["vm"]);
        return alive;
    }

    /// Returns whether the deployment is split in two: the VMs whose names start with one of the
    /// prefixes in `inside`, and the others. Each side reports exactly its own VMs as alive.
    bool isSplitOff(const std::vector<std::string> &inside)
    {
        std::map<bool, std::set<std::string>> sides;
        const auto isInside = [&](const std::string &vm) {
            return std::any_of(inside.begin(), inside.end(),
                               [&](const std::string &prefix) { return vm.rfind(prefix, 0) == 0; });
        };
        for (const std::string &vm : vmNames())
            sides[isInside(vm)].insert(vm);
        for (const std::string &vm : vmNames())
            if (aliveVmsSeenBy(vm) != sides[isInside(vm)])
                return false;
        return true;
    }

    bool allVmsKnowEachOther()
    {
        const auto vms = vmNames();
        return std::all_of(vms.begin(), vms.end(),
                           [this](const std::string &vm) { return knowsAllVms(vm); });
    }

    /// Returns how often the targets ran a booking.
    std::uint64_t runCount(const std::string &ticket)
    {
        std::uint64_t count = 0;
        for (const Json &target : Json::parse(get(targetControl(), "/records").body))
            count += target["submissions"].value(ticket, 0U);
        return count;
    }
};

/// Checks that the coverage and the snapshot that an answer states match its rows.
void checkCoverage(const std::string &body)
{
    INFO(body);
    const Json answer = Json::parse(body);
    std::set<std::string> shards;
    for (const Json &row : answer["rows"]) {
        CHECK(shards.insert(row["shard"]).second);
        CHECK(row["snapshot"] == answer["snapshot"]);
    }
    CHECK(answer["shards"]["answered"] == shards.size());
    CHECK(answer["complete"] == answer["missing"].empty());
    for (const Json &missing : answer["missing"])
        CHECK(shards.insert(missing["shard"]).second);
    CHECK(answer["shards"]["asked"] == shards.size());
}

/// Checks that every VM states its coverage correctly, and that its answers become complete once it
/// has noticed which VMs are unreachable.
void checkAllVmsServe(RelayedDeployment &deployment)
{
    for (const std::string &vm : deployment.vmNames()) {
        const auto response = deployment.query(vm, "pass-lookup");
        REQUIRE(response.status == 200);
        checkCoverage(response.body);
    }
    for (const std::string &vm : deployment.vmNames())
        CHECK(eventually([&] { return deployment.answersCompletely(vm); }));
}

/// Takes down, or brings back, all targets in the failure domains whose names start with `prefix`.
void setTargetsDown(Deployment &deployment, const std::string &prefix, bool isDown)
{
    const Json document =
        Json::parse(mangoshift::readFile(deployment.folder() + "/document.json").value());
    const Json change{{"down", isDown}};
    for (const Json &target : document["targets"])
        if (target["failure_domain"].get<std::string>().rfind(prefix, 0) == 0)
            deployment.put(deployment.targetControl(),
                           "/targets/" + target["name"].get<std::string>(), change.dump());
}

std::string fetchTicket(Deployment &deployment, const std::string &vm)
{
    return Json::parse(deployment.post(vm, "/v1/tickets/slot-booking", "").body)["tickets"][0];
}

/// Submits one booking through every VM at the same time. Returns the tickets of the bookings that
/// failed, by VM, and checks that each of these was answered as `may_have_run`.
std::map<std::string, std::string> submitAtOnce(Deployment &deployment)
{
    std::map<std::string, std::string> tickets;
    for (const std::string &vm : deployment.vmNames())
        tickets.emplace(vm, fetchTicket(deployment, vm));
    std::map<std::string, std::future<Deployment::Response>> responses;
    for (const auto &[vm, ticket] : tickets)
        responses.emplace(vm,
                          std::async(std::launch::async, [&deployment, vm = vm, ticket = ticket] {
                              return deployment.submit(vm, "slot-booking", ticket);
                          }));
    for (auto &[vm, pending] : responses) {
        const Deployment::Response response = pending.get();
        if (response.status == 200)
            tickets.erase(vm);
        else
            CHECK(Json::parse(response.body)["execution"] == "may_have_run");
    }
    return tickets;
}

} // namespace

TEST_CASE("Answers state their coverage correctly while VMs cannot reach each other")
{
    GIVEN("the Sundarban deployment with a relay between its VMs")
    {
        RelayedDeployment deployment;
        const std::string domain = "khulna-a";
        for (const std::string &vm : deployment.vmNames())
            REQUIRE(eventually(
                [&] { return deployment.knowsAllVms(vm) && deployment.answersCompletely(vm); }));

        SECTION("a failure domain cut off in one direction or both serves the shards it can")
        {
            for (const bool isOneWay : {false, true}) {
                deployment.setRules(deployment.rulesIsolating(domain, "cut", isOneWay));
                for (const std::string &vm : deployment.vmNames()) {
                    const auto response = deployment.query(vm, "pass-lookup");
                    REQUIRE(response.status == 200);
                    checkCoverage(response.body);
                    // Each side of the cut holds replicas of at least 10 of the 20 shards.
                    CHECK(Json::parse(response.body)["shards"]["answered"] >= 10);
                    if (vm.find(domain) != 0)
                        CHECK(eventually([&] { return deployment.answersCompletely(vm); }));
                }
                deployment.heal();
                for (const std::string &vm : deployment.vmNames())
                    CHECK(eventually([&] { return deployment.answersCompletely(vm); }));
            }
        }

        SECTION("connections that stay silent are replaced")
        {
            deployment.silence();
            for (const std::string &vm : deployment.vmNames()) {
                checkCoverage(deployment.query(vm, "pass-lookup").body);
                CHECK(eventually([&] { return deployment.answersCompletely(vm); }));
            }
        }

        SECTION("a booking that is delayed between VMs past its deadline does not run")
        {
            // One VM is the home VM of the only shard; all others must forward their bookings to
            // it.
            const std::vector<std::string> vms = deployment.vmNames();
            for (const std::string &vm : vms)
                REQUIRE(deployment.submit(vm, "slot-booking", fetchTicket(deployment, vm)).status
                        == 200);
            deployment.setRules({{{"mode", "block"}}});
            const std::map<std::string, std::string> heldTickets = submitAtOnce(deployment);
            REQUIRE(heldTickets.size() == vms.size() - 1);
            // Keeps the first bookings delayed for another deadline in addition to their own.
            submitAtOnce(deployment);
            deployment.heal();
            for (const auto &[vm, ticket] : heldTickets) {
                const auto isServedAgain = [&, from = vm] {
                    return deployment.submit(from, "slot-booking", fetchTicket(deployment, from))
                               .status
                        == 200;
                };
                REQUIRE(eventually(isServedAgain));
            }
            for (const auto &[vm, ticket] : heldTickets) {
                INFO("submitted through " << vm);
                CHECK(deployment.runCount(ticket) == 0);
            }
        }

        SECTION("bookings run at most once while connections are cut and restored")
        {
            BookingLoad load(deployment, TicketCount, CallerCount, Seed);
            std::mt19937_64 random(Seed);
            const std::vector<std::string> domains{"kolkata-a", "kolkata-b", "khulna-a",
                                                   "khulna-b"};
            std::uint64_t cuts = 0;
            while (!load.isDone()) {
                const std::string &isolatedDomain = domains[random() % domains.size()];
                const std::string mode = random() % 2 == 0 ? "cut" : "block";
                if (random() % 4 == 0)
                    deployment.silence();
                deployment.setRules(
                    deployment.rulesIsolating(isolatedDomain, mode, random() % 2 == 0));
                ++cuts;
                const std::uint64_t goal = load.processedTickets() + 100;
                eventually([&] { return load.isDone() || load.processedTickets() >= goal; });
                deployment.heal();
            }
            const BookingAudit audit = auditBookings(deployment, load.finish());
            std::cout << "cuts seed=" << Seed << " cuts=" << cuts << " " << audit.toString()
                      << std::endl;
            CHECK(audit.answeredRan > 0);
            CHECK(audit.violationCount() == 0);
            for (const std::string &vm : deployment.vmNames())
                CHECK(eventually([&] { return deployment.answersCompletely(vm); }));
        }
    }
}

TEST_CASE("Regions that cannot reach each other")
{
    GIVEN("a deployment in two regions with a relay between its VMs")
    {
        RelayedDeployment deployment(
            std::map<std::string, std::string>{{"kolkata", "west"}, {"khulna", "east"}});
        REQUIRE(eventually([&] { return deployment.allVmsKnowEachOther(); }));
        const Json regionRules = deployment.rulesIsolating("khulna", "cut", false);
        const Json domainRules = deployment.rulesIsolating("kolkata-a", "cut", false);
        Json allRules = regionRules;
        allRules.insert(allRules.end(), domainRules.begin(), domainRules.end());

        SECTION("keep serving, and find each other again whichever of two partitions ends first")
        {
            for (const bool isRegionFirst : {true, false}) {
                deployment.setRules(allRules);
                checkAllVmsServe(deployment);
                REQUIRE(eventually([&] {
                    return deployment.aliveVmsSeenBy("khulna-a-vm0").size() == 3
                        && deployment.aliveVmsSeenBy("kolkata-a-vm0").size() == 2
                        && deployment.aliveVmsSeenBy("kolkata-b-vm0").size() == 2;
                }));
                deployment.setRules(isRegionFirst ? domainRules : regionRules);
                CHECK(eventually([&] {
                    return deployment.isSplitOff({isRegionFirst ? "kolkata-a" : "khulna"});
                }));
                checkAllVmsServe(deployment);
                deployment.heal();
                CHECK(eventually([&] { return deployment.allVmsKnowEachOther(); }));
                checkAllVmsServe(deployment);
            }
        }

        SECTION("report the missing shards if the targets of one region are down as well")
        {
            deployment.setRules(regionRules);
            setTargetsDown(deployment, "khulna", true);
            CHECK(eventually([&] { return deployment.isSplitOff({"khulna"}); }));
            for (const std::string &vm : deployment.vmNames()) {
                // Half of the 20 shards have both their replicas in the east.
                CHECK(eventually([&] {
                    const auto response = deployment.query(vm, "pass-lookup");
                    REQUIRE(response.status == 200);
                    checkCoverage(response.body);
                    return Json::parse(response.body)["shards"]["answered"] == 10;
                }));
            }
            deployment.heal();
            setTargetsDown(deployment, "khulna", false);
            checkAllVmsServe(deployment);
        }
    }
}
