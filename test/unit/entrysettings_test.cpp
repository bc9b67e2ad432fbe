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

TEST_CASE("Valid settings of an entry VM are parsed")
{
    const auto settings = parseEntrySettings(Settings.dump());
    REQUIRE(settings);
    CHECK(settings->vm == "a-1");
    CHECK(settings->callerAddress.port == 7000);
    CHECK(settings->retryBudget.slack == 54.0);
    CHECK(settings->retryBudget.window == 10s);
    CHECK(settings->stopTimeout == 5000ms);
}

TEST_CASE("A fault in the settings of an entry VM names its field")
{
    CHECK(faultOf([](Json &json) { json.erase("vm"); }) == "/vm");
    CHECK(faultOf([](Json &json) { json["caller_address"] = "nowhere at all"; })
          == "/caller_address");
    CHECK(faultOf([](Json &json) { json["retry_budget"]["ratio"] = -1; }) == "/retry_budget/ratio");
    CHECK(faultOf([](Json &json) { json["assumed_vms"] = 0; }) == "/assumed_vms");
    CHECK(faultOf([](Json &json) { json["unheard_of"] = 1; }) == "/unheard_of");
    CHECK(faultOf([](Json &json) { json["peer_address"] = "nowhere at all"; }) == "/peer_address");
    CHECK(faultOf([](Json &json) {
              json["seeds"] = {"127.0.0.1:1", "nowhere at all"};
          })
          == "/seeds/1");
}

TEST_CASE("The settings that need a restart are found when settings change")
{
    const auto inForce = parseEntrySettings(Settings.dump());
    Json changed = Settings;
    changed["stop_patience_ms"] = 1;
    changed["retry_budget"]["slack"] = 1;
    changed["seeds"] = {"127.0.0.1:1"};
    CHECK(fieldsThatNeedRestart(*inForce, *parseEntrySettings(changed.dump())).empty());
    changed["peer_address"] = "127.0.0.1:2";
    changed["watch_wait_ms"] = 100;
    changed["target_report_ms"] = 400;
    CHECK(fieldsThatNeedRestart(*inForce, *parseEntrySettings(changed.dump()))
          == std::vector<std::string>{"peer_address", "watch_wait_ms", "target_report_ms"});
}

TEST_CASE("The interval at which targets report is read from the settings")
{
    using std::chrono::milliseconds;
    CHECK(parseEntrySettings(Settings.dump())->targetReportInterval == milliseconds(1200));
    Json changed = Settings;
    changed["target_report_ms"] = 400;
    CHECK(parseEntrySettings(changed.dump())->targetReportInterval == milliseconds(400));
    changed["target_report_ms"] = 0;
    CHECK_FALSE(parseEntrySettings(changed.dump()));
}
