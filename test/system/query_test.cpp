#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "deployment.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

TEST_CASE("A caller's query is answered by separate processes")
{
    GIVEN("the Sundarban deployment, every VM ready")
    {
        Deployment deployment("sundarban");

        SECTION("each VM returns the rows of all shards from one snapshot")
        {
            for (const std::string &vm : deployment.vmNames()) {
                const auto response = deployment.query(vm, "pass-lookup");
                INFO(vm << ": " << response.body);
                REQUIRE(response.status == 200);
                const Json answer = Json::parse(response.body);
                CHECK(answer["complete"] == true);
                CHECK(answer["shards"]["asked"] == 20);
                CHECK(answer["shards"]["answered"] == 20);
                CHECK(answer["missing"].empty());
                CHECK(answer["rows"].size() == 20);
                for (const Json &row : answer["rows"])
                    CHECK(row["snapshot"] == answer["snapshot"]);
            }
        }

        SECTION("a query for an unknown service is rejected with the name of the field")
        {
            const auto response = deployment.query(deployment.vmNames().front(), "no-such-service");
            CHECK(response.status == 404);
            const Json problem = Json::parse(response.body);
            CHECK(problem["field"] == "service");
            CHECK(problem["execution"] == "not_run");
        }

        SECTION("the state dump shows the peer, home, query and control duties")
        {
            const std::string vm = deployment.vmNames().front();
            const auto response = deployment.get(deployment.operatorAddress(vm), "/state");
            const Json state = Json::parse(response.body);
            for (const char *duty : {"peers", "homes", "queries", "control"})
                CHECK(state[duty].is_object());
        }
    }
}
