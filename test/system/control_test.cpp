#include <algorithm>
#include <csignal>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/files.h"
#include "config/documentjson.h"
#include "deployment.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

/// All VMs of a deployment, with the state that they report to operators.
class Fleet
{
public:
    Fleet()
        : deployment("sundarban")
        , document(
              Json::parse(mangoshift::readFile(deployment.folder() + "/document.json").value()))
    {
    }

    Json controlState(const std::string &vm)
    {
        const auto response = deployment.get(deployment.operatorAddress(vm), "/state");
        const Json state = Json::parse(response.body, nullptr, false);
        return state.is_object() && state.contains("control") ? state["control"] : Json();
    }

    std::uint64_t version(const std::string &vm)
    {
        const Json state = controlState(vm);
        return state.is_object() ? state["config"]["version"].get<std::uint64_t>() : 0;
    }

    bool allVmsHaveVersion(std::uint64_t version)
    {
        const auto names = deployment.vmNames();
        return std::all_of(names.begin(), names.end(),
                           [&](const std::string &vm) { return this->version(vm) == version; });
    }

    bool isReady(const std::string &vm)
    {
        return deployment.get(deployment.operatorAddress(vm), "/readyz").status == 200;
    }

    /// Returns the state of `member` as `vm` reports it, or "unknown".
    std::string memberState(const std::string &vm, const std::string &member)
    {
        const Json state = controlState(vm);
        if (state.is_object())
            for (const Json &each : state["members"])
                if (each["vm"] == member)
                    return each["state"];
        return "unknown";
    }

    bool allOthersReport(const std::string &member, const std::string &state)
    {
        const auto names = deployment.vmNames();
        return std::all_of(names.begin(), names.end(), [&](const std::string &vm) {
            return vm == member || memberState(vm, member) == state;
        });
    }

    void publish(const Json &content)
    {
        REQUIRE(setPlatformControl("config", content.dump()).status == 200);
    }

    Deployment::Response setPlatformControl(const std::string &setting, const std::string &value)
    {
        return deployment.put(deployment.platformAddress(), "/control/" + setting, value);
    }

    /// Returns the configuration versions that a VM has logged as in force, over all its
    /// incarnations.
    std::vector<std::uint64_t> loggedVersions(const std::string &vm)
    {
        std::istringstream log(
            mangoshift::readFile(deployment.folder() + "/" + vm + ".log").value());
        std::vector<std::uint64_t> versions;
        const std::string event = "event=config_in_force config_version=";
        for (std::string line; std::getline(log, line);)
            if (const auto at = line.find(event); at != std::string::npos)
                versions.push_back(std::stoull(line.substr(at + event.size())));
        return versions;
    }

    void requireVersionsNeverDecrease()
    {
        for (const std::string &vm : deployment.vmNames()) {
            const auto versions = loggedVersions(vm);
            INFO(vm << ": " << Catch::StringMaker<std::vector<std::uint64_t>>::convert(versions));
            REQUIRE(std::is_sorted(versions.begin(), versions.end()));
        }
    }

    /// Sends a query to a VM. Returns whether the answer is complete.
    bool answersCompletely(const std::string &vm)
    {
        const auto response = deployment.query(vm, "pass-lookup");
        const Json answer = Json::parse(response.body, nullptr, false);
        return response.status == 200 && answer["complete"] == true;
    }

    Deployment deployment;
    Json document;
};

} // namespace

TEST_CASE("A published configuration")
{
    Fleet fleet;

    SECTION("comes into force in every VM, and a rejected one is reported with its invalid field")
    {
        fleet.publish(fleet.document);
        REQUIRE(eventually([&] { return fleet.allVmsHaveVersion(2); }));

        Json faulty = fleet.document;
        faulty["services"][0]["shards"][3]["replicas"][0] = "no-such-target";
        fleet.publish(faulty);
        const auto isRejected = [&](const std::string &field) {
            const auto names = fleet.deployment.vmNames();
            return std::any_of(names.begin(), names.end(), [&](const std::string &vm) {
                return fleet.controlState(vm)["config"]["last_rejected"]["field"] == field;
            });
        };
        CHECK(eventually([&] { return isRejected("/services/0/shards/3/replicas/0"); }));

        Json minimal = fleet.document;
        minimal["targets"] = Json::array({minimal["targets"][0]});
        minimal["services"] = Json::array();
        fleet.publish(minimal);
        CHECK(eventually([&] { return isRejected("/targets"); }));
        CHECK(fleet.allVmsHaveVersion(2));

        minimal["allow_mass_removal"] = true;
        fleet.publish(minimal);
        CHECK(eventually([&] { return fleet.allVmsHaveVersion(5); }));
    }

    SECTION("of about one megabyte is read once by each VM that watches the platform")
    {
        constexpr int added = 6500;
        Json large = fleet.document;
        for (int i = 0; i < added; ++i) {
            Json target = large["targets"][0];
            target["name"] = "added-" + std::to_string(i);
            target["failure_domain"] = "a domain with a name that makes the document long";
            large["targets"].push_back(std::move(target));
        }
        REQUIRE(large.dump().size() > 950'000);
        REQUIRE(large.dump().size() <= mangoshift::MaxDocumentBytes);
        const auto configReads = [&] {
            const auto response =
                fleet.deployment.get(fleet.deployment.platformAddress(), "/control/status");
            return Json::parse(response.body)["config_reads"].get<std::size_t>();
        };
        // Every VM of this deployment watches the platform. One read fetches the document, and the
        // read that follows it may end without a change.
        const std::size_t before = configReads();
        fleet.publish(large);
        REQUIRE(eventually([&] { return fleet.allVmsHaveVersion(2); }));
        CHECK(configReads() - before <= 2 * fleet.deployment.vmNames().size());
    }

    SECTION("that was edited from an outdated version comes into force and is flagged")
    {
        Json edited = fleet.document;
        edited["base_version"] = 1;
        fleet.publish(edited);
        REQUIRE(eventually([&] { return fleet.allVmsHaveVersion(2); }));
        fleet.publish(edited);
        REQUIRE(eventually([&] { return fleet.allVmsHaveVersion(3); }));
        for (const std::string &vm : fleet.deployment.vmNames())
            CHECK(fleet.controlState(vm)["config"]["last_edited_from_older"] == 3);
    }

    SECTION("can remove a target, which gets no new work once the configuration is in force")
    {
        Json documentWithoutTarget = fleet.document;
        const std::string target = documentWithoutTarget["services"][0]["shards"][0]["replicas"][0];
        documentWithoutTarget["services"][0]["shards"][0]["replicas"].erase(0);
        auto &targets = documentWithoutTarget["targets"];
        targets.erase(std::remove_if(targets.begin(), targets.end(),
                                     [&](const Json &each) { return each["name"] == target; }),
                      targets.end());
        const auto queriesRun = [&] {
            const auto response =
                fleet.deployment.get(fleet.deployment.targetControl(), "/records");
            return Json::parse(response.body)[target]["queries_run"].get<std::uint64_t>();
        };
        const auto queryAll = [&] {
            for (int i = 0; i < 5; ++i)
                for (const std::string &vm : fleet.deployment.vmNames())
                    CHECK(fleet.answersCompletely(vm));
        };
        queryAll();
        REQUIRE(queriesRun() > 0);
        fleet.publish(documentWithoutTarget);
        REQUIRE(eventually([&] { return fleet.allVmsHaveVersion(2); }));
        const std::uint64_t before = queriesRun();
        queryAll();
        CHECK(queriesRun() == before);
    }
}

TEST_CASE("No VM returns to an older version when the platform is stale, down or restarted")
{
    Fleet fleet;
    const std::string vm = fleet.deployment.vmNames().front();
    fleet.publish(fleet.document);
    fleet.publish(fleet.document);
    REQUIRE(eventually([&] { return fleet.allVmsHaveVersion(3); }));

    SECTION("a VM that starts while the platform is stale fetches the version of its peers first")
    {
        fleet.setPlatformControl("stale", "1");
        fleet.deployment.vm(vm).signal(SIGKILL);
        fleet.deployment.restartVm(vm);
        REQUIRE(eventually([&] { return fleet.isReady(vm); }));
        CHECK(fleet.version(vm) == 3);
        fleet.requireVersionsNeverDecrease();
    }

    SECTION("a VM that starts while the platform is down gets the configuration from its peers")
    {
        fleet.setPlatformControl("down", "true");
        fleet.deployment.vm(vm).signal(SIGKILL);
        fleet.deployment.restartVm(vm);
        REQUIRE(eventually([&] { return fleet.isReady(vm); }));
        CHECK(fleet.version(vm) == 3);
        CHECK(fleet.answersCompletely(vm));
    }

    SECTION("a platform that is restarted with an older document changes nothing")
    {
        fleet.deployment.restartPlatform(2);
        REQUIRE(eventually([&] {
            const auto response =
                fleet.deployment.get(fleet.deployment.platformAddress(), "/control/status");
            const Json status = Json::parse(response.body, nullptr, false);
            return status.is_object() && status["config_reads"] > 6;
        }));
        CHECK(fleet.allVmsHaveVersion(3));
        fleet.publish(fleet.document);
        fleet.publish(fleet.document);
        CHECK(eventually([&] { return fleet.allVmsHaveVersion(4); }));
        fleet.requireVersionsNeverDecrease();
    }
}

TEST_CASE("A new VM that reaches neither platform nor peers")
{
    Fleet fleet;
    const std::string vm = fleet.deployment.vmNames().front();
    fleet.setPlatformControl("down", "true");
    for (const std::string &each : fleet.deployment.vmNames())
        fleet.deployment.vm(each).signal(SIGKILL);
    fleet.deployment.restartVm(vm);

    SECTION("becomes ready only once the platform responds")
    {
        const auto platformReads = [&] {
            const auto response =
                fleet.deployment.get(fleet.deployment.operatorAddress(vm), "/metrics");
            const std::string name = "\nmangoshift_platform_reads_total ";
            const auto at = response.body.find(name);
            return at == std::string::npos ? 0.0
                                           : std::stod(response.body.substr(at + name.size()));
        };
        REQUIRE(eventually([&] { return platformReads() >= 3; }));
        CHECK_FALSE(fleet.isReady(vm));
        fleet.setPlatformControl("down", "false");
        CHECK(eventually([&] { return fleet.isReady(vm); }));
    }
}

TEST_CASE("A VM that is killed, frozen or stopped")
{
    Fleet fleet;
    const std::string vm = fleet.deployment.vmNames()[2];
    const std::string other = fleet.deployment.vmNames()[0];
    REQUIRE(eventually([&] { return fleet.allOthersReport(vm, "alive"); }));

    SECTION("is reported dead by all others after a kill, and its shards are still answered")
    {
        fleet.deployment.vm(vm).signal(SIGKILL);
        REQUIRE(eventually([&] { return fleet.allOthersReport(vm, "dead"); }));
        for (int i = 0; i < 10; ++i)
            CHECK(fleet.answersCompletely(other));
    }

    SECTION("is reported dead by all others while frozen, and alive and ready again afterwards")
    {
        fleet.deployment.vm(vm).signal(SIGSTOP);
        REQUIRE(eventually([&] { return fleet.allOthersReport(vm, "dead"); }));
        fleet.deployment.vm(vm).signal(SIGCONT);
        CHECK(eventually([&] { return fleet.allOthersReport(vm, "alive"); }));
        CHECK(eventually([&] { return fleet.isReady(vm); }));
        CHECK(fleet.answersCompletely(vm));
    }

    SECTION("is reported as leaving and not ready after SIGTERM, then exits with status 0")
    {
        fleet.deployment.vm(vm).signal(SIGTERM);
        CHECK(eventually([&] { return fleet.allOthersReport(vm, "leaving"); }));
        CHECK_FALSE(fleet.isReady(vm));
        CHECK(fleet.answersCompletely(other));
        CHECK(fleet.deployment.vm(vm).wait() == 0);
        CHECK(fleet.answersCompletely(other));
    }
}

TEST_CASE("200 configurations are published while VMs are killed and restarted and the platform "
          "goes down")
{
    constexpr int publications = 200;
    constexpr int seed = 20261204;
    Fleet fleet;
    std::mt19937 random(seed);
    const auto names = fleet.deployment.vmNames();
    bool isDown = false;
    for (int i = 0; i < publications; ++i) {
        if (i % 10 == 3) {
            const std::string &vm = names[random() % names.size()];
            fleet.deployment.vm(vm).signal(SIGKILL);
            fleet.deployment.restartVm(vm);
        }
        if (i % 25 == 20) {
            isDown = !isDown;
            fleet.setPlatformControl("down", isDown ? "true" : "false");
        }
        fleet.publish(fleet.document);
        const std::uint64_t version = i + 2;
        const auto isInForceSomewhere = [&] {
            return std::any_of(names.begin(), names.end(),
                               [&](const std::string &vm) { return fleet.version(vm) == version; });
        };
        if (!isDown)
            REQUIRE(eventually(isInForceSomewhere));
    }
    fleet.setPlatformControl("down", "false");

    SECTION("every VM ends with the last version, and no VM ever logs an older version again")
    {
        INFO("seed " << seed);
        REQUIRE(eventually([&] { return fleet.allVmsHaveVersion(publications + 1); }));
        fleet.requireVersionsNeverDecrease();
    }
}
