#include <csignal>
#include <filesystem>
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

/// A new folder that is removed at the end of a test.
class TemporaryFolder
{
public:
    TemporaryFolder()
        : m_path(std::filesystem::temp_directory_path() / "mangoshift-check-XXXXXX")
    {
        if (mkdtemp(m_path.data()) == nullptr)
            throw std::runtime_error("cannot create a temporary folder");
    }
    ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const { return m_path; }

private:
    std::string m_path;
};

/// Writes the run.json that deploy/run.py would write, so that a trace can be replayed against the
/// processes of the test.
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

/// Writes a trace with one second of load, the given faults and a lower bound for the coverage in
/// percent. Returns its path.
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

TEST_CASE("Subcommands report success or failure by their exit status")
{
    SECTION("each has a help text, and unknown subcommands and options are usage errors")
    {
        for (const Command &command : commands()) {
            INFO(command.name);
            CHECK(exitStatusOf({command.name, "--help"}) == ExitOk);
            CHECK(exitStatusOf({command.name, "--no-such-option"}) == ExitUsage);
        }
        CHECK(exitStatusOf({"no-such-command"}) == ExitUsage);
        CHECK(exitStatusOf({"--version"}) == ExitOk);
    }
    SECTION("check accepts the sample deployments, and fails on an invalid or missing file")
    {
        const std::string document = sourcePath("deploy/rozova/document.json");
        CHECK(exitStatusOf({"check", "--document", document}) == ExitOk);
        CHECK(exitStatusOf({"check", "--document", sourcePath("deploy/sundarban/document.json")})
              == ExitOk);
        CHECK(exitStatusOf({"check", "--settings", document}) == ExitFault);
        CHECK(exitStatusOf({"check", "--entry-settings", document}) == ExitFault);
        CHECK(exitStatusOf({"check", "--document", document + ".missing"}) == ExitFailure);
    }
    SECTION(
        "check compares a configuration with the one in force, and prints what it finds as JSON")
    {
        // Guards against exit statuses and fields that scripts rely on before they send a change.
        TemporaryFolder folder;
        const auto write = [&folder](const std::string &name, const Json &json) {
            std::ofstream(folder.path() + "/" + name) << json.dump();
            return folder.path() + "/" + name;
        };
        Json routing = Json::parse(
            R"({"version": 1, "services": [{"name": "s", "max_conns": 2}], "routes": [
                {"name": "r", "host": "h", "prefix": "/", "kind": "safe", "timeout_ms": 100,
                 "target_latency_ms": 50, "priority": 1, "max_attempts": 1, "service": "s"}]})");
        const std::string current = write("current.json", routing);
        routing["version"] = 2;
        routing["routes"][0]["max_attempts"] = 0;
        const std::string warned = write("warned.json", routing);
        routing["routes"][0]["target_latency_ms"] = 101;
        const std::string wrong = write("wrong.json", routing);
        const std::string document = sourcePath("deploy/rozova/document.json");

        CHECK(exitStatusOf({"check", "--routing", current, "--against", current}) == ExitOk);
        CHECK(exitStatusOf({"check", "--routing", warned, "--against", current}) == ExitOk);
        CHECK(exitStatusOf({"check", "--document", document, "--against", document}) == ExitOk);
        CHECK(exitStatusOf({"check", "--routing", document}) == ExitFault);
        CHECK(exitStatusOf({"check", "--routing", current, "--against", document}) == ExitFault);
        CHECK(exitStatusOf({"check", "--against", current}) == ExitUsage);
        CHECK(exitStatusOf({"check", "--routing", current, "--against", current + ".missing"})
              == ExitFailure);
        const std::string output = folder.path() + "/output.json";
        CHECK(Process("mangoshift", {"check", "--json", "-r", wrong, "-a", current}, output).wait()
              == ExitFault);
        const Json results = Json::parse(*readFile(output));
        REQUIRE(results.size() == 1);
        CHECK(results[0]["file"] == wrong);
        CHECK(results[0]["findings"][0]["severity"] == "warning");
        CHECK(results[0]["findings"][0]["place"] == "/routes/0/max_attempts");
        CHECK(results[0]["findings"][1]["severity"] == "error");
        CHECK(results[0]["findings"][1]["kind"] == "contradiction");
        CHECK(results[0]["differences"] == Json::parse(R"([
                  {"place": "document", "field": "version", "before": "1", "after": "2"},
                  {"place": "route r", "field": "latency target", "before": "50 ms",
                   "after": "101 ms"}])"));
    }
    SECTION("state fails if nothing listens at the address")
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

        SECTION("if all outcomes hold, the exit status is 0 and a JSON report is written")
        {
            CHECK(replay(writeTrace(deployment, 1, "")) == ExitOk);
            const Json report = Json::parse(*readFile(deployment.folder() + "/report.json"));
            CHECK(report[0]["holds"] == true);
            CHECK(report[0]["segments"][0]["sent"] > 0);
        }
        SECTION("if an outcome does not hold, the exit status is 1")
        {
            CHECK(replay(writeTrace(deployment, 101, "")) == ExitFault);
        }
        SECTION("faults are applied to the targets, the processes and the platform")
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
        SECTION("a fault that cannot be injected makes the replay fail")
        {
            CHECK(replay(writeTrace(deployment, 0,
                                    R"({"at_ms":0,"process":"nobody","signal":"KILL"})"))
                  == ExitFailure);
        }
    }
}
