#include <algorithm>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config/documentjson.h"
#include "config/settings.h"

using namespace mangoshift;
using Json = nlohmann::json;

namespace {

Json documentJson()
{
    return Json::parse(R"({
        "request_kinds": [{"name": "urgent", "priority": 0}, {"name": "unused"}],
        "targets": [
            {"name": "t0", "address": "127.0.0.1:1", "failure_domain": "a", "slots": 2, "connections": 4},
            {"name": "t1", "address": "127.0.0.1:2", "failure_domain": "b"}],
        "services": [{"name": "s", "kind": "urgent", "deadline_ms": 100,
                      "shards": [{"name": "x", "replicas": ["t0", "t1"]}]}]})");
}

Json settingsJson()
{
    return Json::parse(R"({
        "vm": "a-vm0", "failure_domain": "a", "region": "r", "caller_address": "127.0.0.1:1",
        "operator_address": "127.0.0.1:2", "peer_address": "127.0.0.1:3",
        "platform_address": "127.0.0.1:4"})");
}

/// Returns the fault paths of the document after setting the value at `pointer`.
std::vector<std::string> faultsWith(const std::string &pointer, const Json &value)
{
    Json json = documentJson();
    json[Json::json_pointer(pointer)] = value;
    std::vector<std::string> paths;
    const auto document = parseDocument(json.dump(), 1);
    if (!document)
        for (const Fault &fault : document.error())
            paths.push_back(fault.path);
    return paths;
}

using Paths = std::vector<std::string>;

} // namespace

TEST_CASE("The structure of a document is validated")
{
    REQUIRE(parseDocument(documentJson().dump(), 1));

    SECTION("every unknown field is reported as a fault")
    {
        CHECK(faultsWith("/servces", 1) == Paths{"/servces"});
        CHECK(faultsWith("/targets/1/a~1b", 1) == Paths{"/targets/1/a~1b"});
        Json json = documentJson();
        json["services"][0]["shards"][0]["one"] = 1;
        json["services"][0]["shards"][0]["two"] = 2;
        CHECK(parseDocument(json.dump(), 1).error().size() == 2);
    }
    SECTION("the fault for a missing field contains the path of the field")
    {
        Json json = documentJson();
        json["targets"][0].erase("address");
        CHECK(parseDocument(json.dump(), 1).error().front().path == "/targets/0/address");
    }
    SECTION("a number outside the range of its type is a fault and is not truncated")
    {
        CHECK(faultsWith("/request_kinds/0/priority", 256) == Paths{"/request_kinds/0/priority"});
        CHECK(faultsWith("/request_kinds/0/priority", -1) == Paths{"/request_kinds/0/priority"});
        CHECK(faultsWith("/targets/0/slots", 4294967297U) == Paths{"/targets/0/slots"});
        // Has two faults: it is not an integer and it is out of range.
        CHECK(faultsWith("/targets/0/connections", 1e30)
              == Paths{"/targets/0/connections", "/targets/0/connections"});
        CHECK(faultsWith("/base_version", 18446744073709551615U) == Paths{"/base_version"});
        CHECK(faultsWith("/targets/0/slots", 1.5) == Paths{"/targets/0/slots"});
    }
    SECTION("a deadline of zero or of more than a minute is a fault")
    {
        CHECK(faultsWith("/services/0/deadline_ms", 0) == Paths{"/services/0/deadline_ms"});
        CHECK(faultsWith("/services/0/deadline_ms", 60001) == Paths{"/services/0/deadline_ms"});
        CHECK(faultsWith("/services/0/deadline_ms", 60000).empty());
    }
    SECTION("a shard without replicas and a service without shards are faults")
    {
        CHECK(faultsWith("/services/0/shards/0/replicas", Json::array())
              == Paths{"/services/0/shards/0/replicas"});
        CHECK(faultsWith("/services/0/shards", Json::array()) == Paths{"/services/0/shards"});
    }
    SECTION("a text that is not a JSON object or is longer than a megabyte has a single fault")
    {
        CHECK(parseDocument("[]", 1).error().front().path.empty());
        CHECK(parseDocument(std::string(MaxDocumentBytes + 1, ' '), 1).error().size() == 1);
        CHECK(parseDocument(std::string(100'000, '['), 1).error().front().path.empty());
    }
}

TEST_CASE("The semantics of a document are validated")
{
    SECTION("a reference to an unknown name is a fault")
    {
        CHECK(faultsWith("/services/0/kind", "none") == Paths{"/services/0/kind"});
        CHECK(faultsWith("/services/0/shards/0/replicas/1", "t9")
              == Paths{"/services/0/shards/0/replicas/1"});
    }
    SECTION("a replica that is listed twice is a fault")
    {
        CHECK(faultsWith("/services/0/shards/0/replicas/1", "t0")
              == Paths{"/services/0/shards/0/replicas/1"});
    }
    SECTION("more slots than connections are a fault")
    {
        CHECK(faultsWith("/targets/0/slots", 5) == Paths{"/targets/0/slots"});
    }
    SECTION("a duplicate name, or one that cannot be used in a URL path, is a fault")
    {
        CHECK(faultsWith("/targets/1/name", "t0").front() == "/targets/1/name");
        CHECK(faultsWith("/request_kinds/1/name", "urgent") == Paths{"/request_kinds/1/name"});
        CHECK(faultsWith("/services/0/shards/1", {{"name", "x"}, {"replicas", {"t0"}}})
              == Paths{"/services/0/shards/1/name"});
        CHECK(faultsWith("/services/0/name", "a/b") == Paths{"/services/0/name"});
    }
    SECTION("an address without a port is a fault")
    {
        CHECK(faultsWith("/targets/0/address", "127.0.0.1") == Paths{"/targets/0/address"});
    }
}

TEST_CASE("Settings are validated, and changes that need a restart are reported")
{
    const auto settings = parseSettings(settingsJson().dump());
    REQUIRE(settings);
    Json json = settingsJson();

    SECTION("unknown fields, wrong types and values outside their range are faults")
    {
        json["log_level"] = "loud";
        json["caller_threads"] = 0;
        json["vm"] = 7;
        json["verbose"] = true;
        Paths paths;
        const auto parsed = parseSettings(json.dump());
        REQUIRE_FALSE(parsed);
        for (const Fault &fault : parsed.error())
            paths.push_back(fault.path);
        std::sort(paths.begin(), paths.end());
        CHECK(paths == Paths{"/caller_threads", "/log_level", "/verbose", "/vm"});
    }
    SECTION("each mechanism is enabled unless it is disabled by name")
    {
        CHECK(settings->mechanisms == Mechanisms{});
        for (const std::string name : {"target_hedges", "target_ejection", "home_hedges"}) {
            json["mechanisms"] = {{name, false}};
            const Mechanisms mechanisms = parseSettings(json.dump())->mechanisms;
            CHECK(mechanisms
                  == Mechanisms{name != "target_hedges", name != "target_ejection",
                                name != "home_hedges"});
            CHECK(fieldsThatNeedRestart(*settings, *parseSettings(json.dump()))
                  == Paths{"mechanisms"});
        }
        json["mechanisms"] = {{"home_hedges", "off"}, {"hedges", false}};
        CHECK(parseSettings(json.dump()).error().size() == 2);
    }
    SECTION("a changed address needs a restart, changed settings of the log do not")
    {
        json["log_level"] = "debug";
        json["log_lines_per_s"] = 20;
        json["log_bytes_per_s"] = 30000;
        CHECK(parseSettings(json.dump())->logLimits == LogLimits{20, 30000});
        CHECK(fieldsThatNeedRestart(*settings, *parseSettings(json.dump())).empty());
        json["peer_address"] = "127.0.0.1:9";
        CHECK(fieldsThatNeedRestart(*settings, *parseSettings(json.dump()))
              == Paths{"peer_address"});
    }
}
