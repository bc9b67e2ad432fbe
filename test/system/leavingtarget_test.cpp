#include <thread>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/files.h"
#include "callers.h"
#include "documents.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

/// How long a target may still get new work after it has been removed or has started to drain.
constexpr std::chrono::seconds GracePeriod{3};
constexpr const char *LeavingTarget = "pass-lookup-00-a";

std::uint64_t requestsReceived(Deployment &deployment)
{
    const Json records =
        Json::parse(deployment.get(deployment.targetControl(), "/records").body)[LeavingTarget];
    return records["queries_run"].get<std::uint64_t>()
        + records["refused_draining"].get<std::uint64_t>() + records["shed"].get<std::uint64_t>();
}

void publishWithoutTarget(Deployment &deployment)
{
    const Json document = withoutTarget(
        Json::parse(mangoshift::readFile(deployment.folder() + "/document.json").value()),
        LeavingTarget);
    const auto response =
        deployment.put(deployment.platformAddress(), "/control/config", document.dump());
    REQUIRE(response.status == 200);
}

} // namespace

TEST_CASE("A target that leaves under load gets no new work after a few seconds")
{
    Deployment deployment("sundarban", {.targetOptions = {"--service-time-us", "1000"}});
    Callers callers(deployment, "pass-lookup");
    REQUIRE(waitForAnswers(callers, 300));
    REQUIRE(requestsReceived(deployment) > 0);
    const std::string target = std::string("/targets/") + LeavingTarget;
    const auto checkNoNewWork = [&] {
        std::this_thread::sleep_for(GracePeriod);
        const std::uint64_t before = requestsReceived(deployment);
        REQUIRE(waitForAnswers(callers, 500));
        CHECK(requestsReceived(deployment) == before);
        callers.stop();
        CHECK(callers.inconsistentCount() == 0);
    };

    SECTION("if the document removes it while the target keeps serving")
    {
        publishWithoutTarget(deployment);
        checkNoNewWork();
    }

    SECTION("if it responds that it is draining while the document still lists it")
    {
        deployment.put(deployment.targetControl(), target, R"({"draining":true})");
        checkNoNewWork();
    }
}
