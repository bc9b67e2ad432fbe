#include <algorithm>
#include <fstream>
#include <functional>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "app/command.h"
#include "entrysystem.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

bool contains(const std::string &text, const std::string &what)
{
    return text.find(what) != std::string::npos;
}

/// Returns what `mangoshift explain` says about a request from the log of the first VM.
Json explain(const EntrySystem &system, const std::string &id)
{
    REQUIRE_FALSE(system.waitForLogLine(id).empty());
    const std::string output = system.logPath() + ".explanation-" + id;
    Process command("mangoshift", {"explain", "--format", "json", id, system.logPath()}, output);
    REQUIRE(command.wait() == ExitOk);
    return Json::parse(std::ifstream(output));
}

/// Returns whether the explanation has a step, or an earlier event of the VM, with this text.
bool hasText(const Json &explanation, const std::string &list, const std::string &text)
{
    const auto lines = explanation.at(list).get<std::vector<std::string>>();
    return std::any_of(lines.begin(), lines.end(),
                       [&text](const std::string &line) { return contains(line, text); });
}

} // namespace

TEST_CASE("The cause of a failed request is found from its id and the log alone")
{
    EntrySystem system;
    // Sends queries until a response satisfies `condition`. Returns its request id.
    const auto queryUntil =
        [&system](const std::function<bool(const httplib::Response &)> &condition) {
            std::string id;
            int attempts = 0;
            REQUIRE(eventually([&] {
                id = "query-" + std::to_string(++attempts);
                const auto response = system.sendRequest("GET", "/all/x", id);
                return response && condition(*response);
            }));
            return id;
        };

    SECTION("an order whose targets have no capacity is refused")
    {
        system.setTargetMode("i-oa", "shed");
        system.setTargetMode("i-ob", "shed");
        const auto response = system.sendRequest("POST", "/orders/x", "crest");
        REQUIRE(response);
        REQUIRE(response->status == 503);
        const Json explanation = explain(system, "crest");
        INFO(explanation.dump());
        CHECK(contains(explanation.at("cause"), "the targets responded that they had no capacity"));
        CHECK(contains(explanation.at("cause"), "It has not run anywhere"));
        CHECK(hasText(explanation, "steps", "target i-oa of orders failed"));
        CHECK(hasText(explanation, "steps", "target i-ob of orders failed"));
    }
    SECTION("an answer is partial because a shard has no target any more")
    {
        system.removeEntry(Targets[4]);
        const std::string id = queryUntil([](const httplib::Response &each) {
            return each.get_header_value("X-Missing-Parts") == "1";
        });
        const Json explanation = explain(system, id);
        INFO(explanation.dump());
        CHECK(contains(explanation.at("cause"), "Missing: s3"));
        CHECK(hasText(explanation, "steps", "not sent to s3: no other target is known"));
        CHECK(hasText(explanation, "background", "target_delisted service=s3 target=i-s3a"));
    }
    SECTION("the outcome of an order is unknown because its connection was reset")
    {
        system.setTargetMode("i-oa", "lose");
        system.setTargetMode("i-ob", "lose");
        const auto response = system.sendRequest("POST", "/orders/x", "reset");
        REQUIRE(response);
        REQUIRE(response->status == 502);
        const auto targets = system.targetsThatRan("reset");
        REQUIRE(targets.size() == 1);
        const Json explanation = explain(system, "reset");
        INFO(explanation.dump());
        CHECK(contains(explanation.at("cause"), "It may have run"));
        CHECK(hasText(explanation, "steps", "target " + targets[0] + " of orders failed"));
        CHECK(contains(explanation.at("cause"), "orders@" + targets[0]));
    }
    SECTION("a new route is unknown because the VM has lost the store")
    {
        system.setStoreMode("down");
        REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
        const auto response = system.sendRequest("GET", "/new/x", "stale");
        REQUIRE(response);
        REQUIRE(response->status == 404);
        const Json explanation = explain(system, "stale");
        INFO(explanation.dump());
        CHECK(contains(explanation.at("cause"), "Configuration 1 was in force"));
        CHECK(hasText(explanation, "background", "store_lost"));
        CHECK(hasText(explanation, "background", "configuration_adopted"));
    }
    SECTION("a query is refused because the targets of its shards have said that they leave")
    {
        for (const std::string target : {"i-s2a", "i-s2b", "i-s3a"})
            system.setTargetMode(target, "leaving");
        // Each of the two targets of s2 says so in its own response.
        const std::string id =
            queryUntil([](const httplib::Response &each) { return each.status == 503; });
        const Json explanation = explain(system, id);
        INFO(explanation.dump());
        CHECK(contains(explanation.at("cause"), "It has not run anywhere"));
        CHECK(hasText(explanation, "steps", "not sent to s3: each target that is left has said"));
        CHECK(hasText(explanation, "background", "target_leaving"));
    }
}
