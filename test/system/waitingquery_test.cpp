// What callers are told of queries that wait at the home of a shard, against what the targets ran.

#include <future>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "deployment.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

int queriesRun(Deployment &deployment)
{
    int count = 0;
    for (const Json &target :
         Json::parse(deployment.get(deployment.targetControl(), "/records").body))
        count += target["queries_run"].get<int>();
    return count;
}

} // namespace

TEST_CASE("A query that no target has got by its deadline is reported as not run")
{
    constexpr int queries = 24;
    // No request ends in its time.
    Deployment deployment("sundarban",
                          {.targetOptions = {"--service-time-us", "60000000"},
                           .deadline = std::chrono::milliseconds(1500)});
    const std::string vm = deployment.vmNames().front();
    std::vector<std::future<Deployment::Response>> pending;
    pending.reserve(queries);
    for (int i = 0; i < queries; ++i)
        pending.push_back(std::async(std::launch::async, [&deployment, &vm] {
            return deployment.query(vm, "nursery-portal");
        }));
    int notRun = 0;
    int mayHaveRun = 0;
    for (auto &each : pending) {
        const Deployment::Response response = each.get();
        INFO(response.status << " " << response.body);
        const Json problem = Json::parse(response.body, nullptr, false);
        REQUIRE(problem.is_object());
        const bool isNotRun = problem["execution"] == "not_run";
        CHECK(response.status == (isNotRun ? 503 : 504));
        CHECK(problem.contains("retry_after_ms") == isNotRun);
        notRun += isNotRun ? 1 : 0;
        mayHaveRun += problem["execution"] == "may_have_run" ? 1 : 0;
    }
    const int ran = queriesRun(deployment);
    INFO("not run " << notRun << ", may have run " << mayHaveRun << ", copies run " << ran);
    CHECK(notRun + mayHaveRun == queries);
    // A query that was hedged runs twice.
    CHECK(mayHaveRun <= ran);
    CHECK(notRun >= queries - ran);
    CHECK(notRun > 0);
    CHECK(mayHaveRun > 0);
}
