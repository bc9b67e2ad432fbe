#include <csignal>
#include <fstream>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/command.h"
#include "app/files.h"
#include "deployment.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

int exitStatusOf(const std::vector<std::string> &arguments)
{
    return Process("mangoshift", arguments, "/dev/null").wait();
}

/// Writes down what deploy/run.py writes, for a replay against the test's processes.
void writeRunFile(Deployment &deployment)
{
    Json run{{"deployment", "sundarban"},
             {"platform", deployment.platformAddress()},
             {"target_controls", {deployment.targetControl()}},
             {"callers", Json::array()},
             {"pids", Json::object()}};
    for (const std::string &vm : deployment.vmNames()) {
        run["callers"].push_back(deployment.callerAddress(vm));
        run["pids"][vm] = deployment.vm(vm).pid();
    }
    std::ofstream(deployment.folder() + "/run.json") << run.dump();
}

/// Writes a trace of one second with faults and one stated outcome.
std::string writeTrace(const Deployment &deployment, double minCoverage, const std::string &faults)
{
    std::string path = deployment.folder() + "/trace.jsonl";
    std::ofstream(path)
        << R"({"trace":"t","deployment":"sundarban","seed":1,"outcomes":[{"segment":"load",)"
        << R"("measure":"coverage_percent","at_least":)" << minCoverage
        << R"(},{"measure":"foreign_rows","at_most":0},{"measure":"sent","at_least":1}]})"
        << "\n"
        << R"({"segment":"load","service":"pass-lookup","from_ms":0,"to_ms":1000,"rate":20})"
        << "\n"
        << faults;
    return path;
}

} // namespace

TEST_CASE("Subcommands say by their exit status how it went")
{
    SECTION("each has a help text, and an unknown one is a wrong command line")
    {
        for (const Command &command : commands()) {
            INFO(command.name);
            CHECK(exitStatusOf({command.name, "--help"}) == ExitOk);
            CHECK(exitStatusOf({command.name, "--no-such-option"}) == ExitUsage);
        }
        CHECK(exitStatusOf({"no-such-command"}) == ExitUsage);
        CHECK(exitStatusOf({"--version"}) == ExitOk);
    }
    SECTION("check passes the sample deployments, and fails on a fault or a missing file")
    {
        const std::string document = sourcePath("deploy/rozova/document.json");
        CHECK(exitStatusOf({"check", "--document", document}) == ExitOk);
        CHECK(exitStatusOf({"check", "--document", sourcePath("deploy/sundarban/document.json")})
              == ExitOk);
        CHECK(exitStatusOf({"check", "--settings", document}) == ExitFault);
        CHECK(exitStatusOf({"check", "--entry-settings", document}) == ExitFault);
        CHECK(exitStatusOf({"check", "--document", document + ".missing"}) == ExitFailure);
    }
    SECTION("state of an address where nothing listens fails")
    {
        CHECK(exitStatusOf({"state", "--of", "127.0.0.1:1"}) == ExitFailure);
    }
}

TEST_CASE("A trace is replayed against real processes")
{
    GIVEN("the Sundarban deployment, every VM ready")
    {
        Deployment deployment("sundarban");
        writeRunFile(deployment);
        const auto replay = [&](const std::string &trace) {
            return exitStatusOf({"replay", "--run", deployment.folder(), "--trace", trace, "--json",
                                 deployment.folder() + "/report.json"});
        };

        SECTION("outcomes that hold give the status 0, and a report for machines")
        {
            CHECK(replay(writeTrace(deployment, 1, "")) == ExitOk);
            const Json report = Json::parse(*readFile(deployment.folder() + "/report.json"));
            CHECK(report[0]["holds"] == true);
            CHECK(report[0]["segments"][0]["sent"] > 0);
        }
        SECTION("an outcome that does not hold gives the status 1")
        {
            CHECK(replay(writeTrace(deployment, 101, "")) == ExitFault);
        }
        SECTION("faults reach the targets, the processes and the platform")
        {
            const std::string vm = deployment.vmNames().back();
            const std::string faults =
                R"({"at_ms":0,"targets":"pass-lookup-0?-a","set":{"slow_factor":2},"spread_ms":10})"
                "\n"
                R"({"at_ms":10,"process":")"
                + vm
                + R"(","signal":"KILL"})"
                  "\n"
                  R"({"at_ms":20,"publish":[{"op":"replace","path":"/services/0/deadline_ms","value":99}]})";
            CHECK(replay(writeTrace(deployment, 0, faults)) == ExitOk);
            CHECK(deployment.vm(vm).wait() == -SIGKILL);
            const auto status = deployment.get(deployment.platformAddress(), "/control/status");
            CHECK(Json::parse(status.body)["version"] == 2);
        }
        SECTION("a fault that cannot be brought about is a failure, not a pass")
        {
            CHECK(replay(writeTrace(deployment, 0,
                                    R"({"at_ms":0,"process":"nobody","signal":"KILL"})"))
                  == ExitFailure);
        }
    }
}
