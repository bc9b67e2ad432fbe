#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "answers.h"
#include "app/files.h"
#include "callers.h"
#include "deployment.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

Json &shardsOf(Json &document, const std::string &name)
{
    for (Json &service : document["services"])
        if (service["name"] == name)
            return service["shards"];
    throw std::runtime_error("unknown service " + name);
}

} // namespace

TEST_CASE("Shards are split and merged while queries run")
{
    Deployment deployment(
        "sundarban",
        {.targetOptions = {"--service-time-us", "1000"}, .deadline = std::chrono::seconds(2)});
    Json document =
        Json::parse(mangoshift::readFile(deployment.folder() + "/document.json").value());
    Json &shards = shardsOf(document, "pass-lookup");
    const auto publish = [&] {
        REQUIRE(
            deployment.put(deployment.platformAddress(), "/control/config", document.dump()).status
            == 200);
    };
    const auto allVmsQueryShards = [&](std::size_t count) {
        return eventually([&] {
            for (const std::string &vm : deployment.vmNames()) {
                const auto response = deployment.query(vm, "pass-lookup");
                if (response.status != 200
                    || Json::parse(response.body)["shards"]["asked"].get<std::size_t>() != count)
                    return false;
            }
            return true;
        });
    };
    Callers callers(deployment, "pass-lookup");
    REQUIRE(waitForAnswers(callers, 300));

    SECTION("each query uses one shard map and states its coverage correctly")
    {
        for (int i = 0; i < 3; ++i) {
            Json addedShard = shards[0];
            addedShard["name"] = "half-" + std::to_string(i);
            shards.push_back(addedShard);
            publish();
            REQUIRE(allVmsQueryShards(21 + static_cast<std::size_t>(i)));
            REQUIRE(waitForAnswers(callers, 100));
        }
        for (int i = 0; i < 3; ++i) {
            shards.erase(shards.size() - 1);
            publish();
            REQUIRE(allVmsQueryShards(22 - static_cast<std::size_t>(i)));
            REQUIRE(waitForAnswers(callers, 100));
        }
        callers.stop();
        INFO(callers.answerCount() << " answers, " << callers.incompleteCount() << " incomplete");
        CHECK(callers.inconsistentCount() == 0);
        CHECK(isComplete(deployment.query(deployment.vmNames().front(), "pass-lookup").body));
    }
}
