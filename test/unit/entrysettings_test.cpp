#include <catch2/catch.hpp>

#include <nlohmann/json.hpp>

#include "entry/entrysettings.h"

using namespace mangoshift;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

const Json Settings = Json::parse(R"({
  "vm": "a-1", "failure_domain": "a", "region": "r", "caller_address": "127.0.0.1:7000",
  "ready_address": "127.0.0.1:7001", "operator_address": "127.0.0.1:7002",
  "store_address": "127.0.0.1:7003",
  "retry_budget": {"ratio": 0.2, "slack": 54, "window_s": 10}})");

template <typename Change>
std::string faultOf(Change change)
{
    Json json = Settings;
    change(json);
    const auto settings = parseEntrySettings(json.dump());
    return settings ? std::string() : settings.error().front().path;
}

} // namespace

TEST_CASE("An entry VM's settings are read")
{
    const auto settings = parseEntrySettings(Settings.dump());
    REQUIRE(settings);
    CHECK(settings->vm == "a-1");
    CHECK(settings->callerAddress.port == 7000);
    CHECK(settings->retryBudget.slack == 54.0);
    CHECK(settings->retryBudget.window == 10s);
    CHECK(settings->stopPatience == 5000ms);
}

TEST_CASE("A fault in an entry VM's settings names its field")
{
    CHECK(faultOf([](Json &json) { json.erase("vm"); }) == "/vm");
    CHECK(faultOf([](Json &json) { json["caller_address"] = "nowhere at all"; })
          == "/caller_address");
    CHECK(faultOf([](Json &json) { json["retry_budget"]["ratio"] = -1; }) == "/retry_budget/ratio");
    CHECK(faultOf([](Json &json) { json["vms_at_most"] = 0; }) == "/vms_at_most");
    CHECK(faultOf([](Json &json) { json["unheard_of"] = 1; }) == "/unheard_of");
}
