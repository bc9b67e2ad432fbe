#include <algorithm>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "config/documentjson.h"
#include "mangoshift/configcheck.h"
#include "platform/platformadapter.h"

using namespace mangoshift;
using Json = nlohmann::json;
using Change = std::function<void(Json &)>;

namespace {

const Json RoutingBase = Json::parse(R"({
  "version": 7,
  "routes": [
    {"name": "all", "host": "shop.example", "prefix": "/a/", "kind": "safe", "timeout_ms": 2500,
     "target_latency_ms": 150, "priority": 1, "max_attempts": 2, "top_k": 10,
     "min_coverage": 0.5, "fanout_services": ["s1", "s2", "s3"]},
    {"name": "orders", "host": "shop.example", "prefix": "/b/", "kind": "unsafe",
     "timeout_ms": 1000, "target_latency_ms": 600, "priority": 2, "max_attempts": 1,
     "traffic_split": [{"service": "o1", "weight": 3}, {"service": "o2", "weight": 0.5}]},
    {"name": "stock", "host": "desk.example", "prefix": "/b/", "kind": "safe",
     "timeout_ms": 1000, "target_latency_ms": 600, "priority": 2, "max_attempts": 1,
     "service": "o1"}],
  "services": [{"name": "s1", "max_conns": 26}, {"name": "s2", "max_conns": 26},
               {"name": "s3", "max_conns": 26}, {"name": "o1", "max_conns": 9},
               {"name": "o2", "max_conns": 9}],
  "limits": {"max_header_bytes": 100, "max_body_bytes": 200, "header_timeout_ms": 300,
             "idle_timeout_ms": 400}})");

const Json DocumentBase = Json::parse(R"({
  "base_version": 4, "allow_mass_removal": false,
  "request_kinds": [{"name": "urgent", "priority": 0, "idempotent": true},
                    {"name": "order", "priority": 1, "idempotent": false}],
  "targets": [
    {"name": "t1", "address": "127.0.2.1:9100", "failure_domain": "a", "slots": 2, "connections": 9},
    {"name": "t2", "address": "127.0.2.2:9100", "failure_domain": "b", "slots": 2, "connections": 9},
    {"name": "t3", "address": "127.0.2.3:9100", "failure_domain": "a", "slots": 2, "connections": 9},
    {"name": "t4", "address": "127.0.2.4:9100", "failure_domain": "b", "slots": 2, "connections": 9}],
  "services": [
    {"name": "lookup", "kind": "urgent", "deadline_ms": 100, "partial_answers": true,
     "shards": [{"name": "00", "replicas": ["t1", "t2"]}, {"name": "01", "replicas": ["t3", "t4"]}]},
    {"name": "book", "kind": "order", "deadline_ms": 900, "partial_answers": false,
     "shards": [{"name": "00", "replicas": ["t2", "t4"]}]}]})");

tl::expected<RoutingDocument, std::string> parseRouting(const Json &json)
{
    return platform::decodeDocument(json);
}

tl::expected<Document, Faults> parseOperatorsDocument(const Json &json)
{
    return parseDocument(json.dump(), 1);
}

/// Returns the findings of the routing document after `change`, the decoder's included.
Findings routingFindings(const Change &change, const std::optional<HedgeTerms> &hedges = {})
{
    Json json = RoutingBase;
    change(json);
    Findings findings;
    const auto document = platform::decodeDocument(json, &findings);
    REQUIRE(document);
    const Findings further = checkRouting(*document, nullptr, hedges).findings;
    findings.insert(findings.end(), further.begin(), further.end());
    return findings;
}

/// Returns the findings of the operators' document after `change`, compared with the one before it.
Findings documentFindings(const Change &change)
{
    Json json = DocumentBase;
    change(json);
    const auto current = parseOperatorsDocument(DocumentBase);
    const auto next = parseOperatorsDocument(json);
    REQUIRE(next);
    return checkDocument(*next, &*current).findings;
}

/// Checks that there is exactly one finding and that it is as stated.
void checkOnly(const Findings &findings, FindingSeverity severity, FindingKind kind,
               const std::string &place, const std::string &text)
{
    REQUIRE(findings.size() == 1);
    CHECK(findings[0].severity == severity);
    CHECK(findings[0].kind == kind);
    CHECK(findings[0].place == place);
    CHECK_THAT(findings[0].text, Catch::Contains(text));
}

void checkWarning(const Findings &findings, FindingKind kind, const std::string &place,
                  const std::string &text)
{
    checkOnly(findings, FindingSeverity::Warning, kind, place, text);
}

void checkError(const Findings &findings, FindingKind kind, const std::string &place,
                const std::string &text)
{
    checkOnly(findings, FindingSeverity::Error, kind, place, text);
}

/// Makes a random change to a copy of `json`: another value in one field, or one entry less in one
/// list. Sets `place` to a part of the place that the difference must name.
Json changeAtRandom(const Json &json, std::mt19937_64 &random, std::string &place)
{
    const Json flat = json.flatten();
    const auto draw = [&](std::size_t count) { return random() % count; };
    const auto drawLeaf = [&] {
        return std::next(flat.begin(), std::ptrdiff_t(draw(flat.size())));
    };
    const auto leaf = drawLeaf();
    Json::json_pointer pointer(leaf.key());
    place = "document";
    if (const std::string &key = leaf.key(); key.starts_with("/limits"))
        place = "limits";
    else if (const std::size_t listEnd = key.find('/', 1); listEnd != std::string::npos)
        place = json.at(Json::json_pointer(key.substr(0, key.find('/', listEnd + 1)))).at("name");
    Json changed = json;
    if (draw(4) == 0) {
        while (!pointer.empty() && !json.at(pointer.parent_pointer()).is_array())
            pointer.pop_back();
        if (!pointer.empty())
            changed[pointer.parent_pointer()].erase(std::stoul(pointer.back()));
        return changed;
    }
    Json &value = changed[pointer];
    if (value.is_boolean())
        value = !value.get<bool>();
    else if (value.is_number_float())
        value = value.get<double>() / 2;
    else if (value.is_number())
        value = value.get<int>() + 1;
    else if (value == "safe" || value == "unsafe")
        value = value == "safe" ? "unsafe" : "safe";
    else if (const auto other = drawLeaf(); draw(2) == 0 && other->is_string())
        value = *other;
    else
        value = value.get<std::string>() + "x";
    return changed;
}

/// Makes random changes and checks that the differences name each that leaves a valid document.
template <typename Parse>
void checkRandomChanges(const Json &base, Parse parse)
{
    const auto before = parse(base);
    REQUIRE(before);
    std::mt19937_64 random(20261206);
    int namedChanges = 0;
    for (int i = 0; i < 4000; ++i) {
        std::string place;
        const Json changed = changeAtRandom(base, random, place);
        const auto after = parse(changed);
        if (!after || changed == base)
            continue;
        INFO(Json::diff(base, changed).dump());
        const ConfigDifferences differences = differencesOf(*before, *after);
        REQUIRE(std::any_of(differences.begin(), differences.end(), [&](const auto &each) {
            return each.place.find(place) != std::string::npos;
        }));
        ++namedChanges;
    }
    // Guards against changes that are all invalid, so that nothing is compared.
    CHECK(namedChanges > 1000);
}

} // namespace

TEST_CASE("A configuration without faults has no findings and no differences from itself")
{
    // Guards against warnings about usual configurations, which operators would learn to ignore.
    const HedgeTerms hedges{0.1, 0.1};
    const auto routing = parseRouting(RoutingBase);
    const ConfigCheck routingCheck = checkRouting(*routing, &*routing, hedges);
    CHECK(routingCheck.findings.empty());
    CHECK(routingCheck.differences == ConfigDifferences());
    CHECK_FALSE(checkRouting(*routing, nullptr, hedges).differences);
    const auto document = parseOperatorsDocument(DocumentBase);
    const ConfigCheck documentCheck = checkDocument(*document, &*document);
    CHECK(documentCheck.findings.empty());
    CHECK(documentCheck.differences == ConfigDifferences());
}

TEST_CASE("Entries of a routing document that can never match or be used are found")
{
    // Guards against a route or service that operators believe to be in use.
    const auto check = [](const Change &change, const std::string &place, const std::string &text) {
        checkWarning(routingFindings(change), FindingKind::Unused, place, text);
    };
    check([](Json &json) { json["routes"][2]["host"] = "SHOP.example"; }, "route stock",
          "route orders has the same host and prefix");
    check([](Json &json) { json["routes"][0]["host"] = "shop.example:80"; }, "route all", "port");
    check([](Json &json) { json["routes"][0]["prefix"] = "a/"; }, "route all", "prefix");
    check([](Json &json) { json["routes"][0]["prefix"] = "/a?x/"; }, "route all", "prefix");
    check(
        [](Json &json) {
            json["services"].push_back({{"name", "o3"}, {"max_conns", 1}});
        },
        "service o3", "no route uses it");
    check([](Json &json) { json["routes"][0]["fanout_services"].push_back("s1"); },
          "/routes/0/fanout_services/3", "listed before");
    const Findings split =
        routingFindings([](Json &json) { json["routes"][1]["traffic_split"][1]["weight"] = 0; });
    REQUIRE(split.size() == 2);
    CHECK(split[0].place == "/routes/1/traffic_split/1");
    CHECK(split[1].place == "service o2");
}

TEST_CASE("Limits of a routing document that contradict each other are found")
{
    // Guards against limits that are valid one by one but cannot be met together.
    const auto warning = [](const Change &change, const std::string &place,
                            const std::string &text) {
        checkWarning(routingFindings(change), FindingKind::Contradiction, place, text);
    };
    checkError(routingFindings([](Json &json) { json["routes"][1]["timeout_ms"] = 599; }),
               FindingKind::Contradiction, "route orders", "above the timeout of 599 ms");
    CHECK(routingFindings([](Json &json) { json["routes"][1]["timeout_ms"] = 600; }).empty());
    warning([](Json &json) { json["routes"][0]["max_attempts"] = 0; }, "/routes/0/max_attempts",
            "counts as 1");
    warning([](Json &json) { json["services"][0]["max_conns"] = 0; }, "/services/0/max_conns",
            "counts as 1");
    warning([](Json &json) { json["services"].push_back(json["services"][0]); }, "/services/5",
            "replaces");
    warning([](Json &json) { json["routes"][0]["kind"] = "unsafe"; }, "/routes/0/kind",
            "no effect");
    warning([](Json &json) { json["routes"][0]["top_k"] = 0; }, "route all", "0 records");
    warning([](Json &json) { json["routes"][0]["target_latency_ms"] = 0; }, "route all",
            "latency target of 0 ms");
    warning([](Json &json) { json["routes"][1]["name"] = "all"; }, "route all", "same name");
    warning([](Json &json) { json["limits"]["max_header_bytes"] = 0; }, "limits", "header bytes");
    warning([](Json &json) { json["limits"]["header_timeout_ms"] = 0; }, "limits",
            "header timeout");
    warning([](Json &json) { json["services"].erase(0); }, "route all", "s1 is not listed");
    SECTION("a timeout of 0, which is below no latency target")
    {
        const Findings findings = routingFindings([](Json &json) {
            json["routes"][1]["timeout_ms"] = 0;
            json["routes"][1]["target_latency_ms"] = 0;
        });
        REQUIRE(findings.size() == 2);
        CHECK_THAT(findings[0].text, Catch::Contains("no time to respond"));
    }
    SECTION("coverage that the listed shards cannot provide, but not one that they just provide")
    {
        const auto listOneShard = [](double coverage) {
            return [coverage](Json &json) {
                json["services"].erase(0);
                json["services"].erase(0);
                json["routes"][0]["min_coverage"] = coverage;
            };
        };
        const Findings findings = routingFindings(listOneShard(0.34));
        REQUIRE(findings.size() == 3);
        CHECK(findings[2].severity == FindingSeverity::Error);
        CHECK_THAT(findings[2].text, Catch::Contains("requires 2 of 3 shards, but only 1"));
        CHECK(routingFindings(listOneShard(0.33)).size() == 2);
    }
    SECTION("hedges beyond the budget, of routes that are hedged")
    {
        const auto change = [](Json &json) { json["routes"][1]["max_attempts"] = 2; };
        checkWarning(routingFindings(change, HedgeTerms{0.1, 0.04}), FindingKind::Contradiction,
                     "route all", "10% of its requests are hedged");
        CHECK(routingFindings(change, HedgeTerms{1 - 0.9, 0.1}).empty());
    }
}

TEST_CASE("A routing document that does not replace the one in force is an error")
{
    // Guards against a change that is sent and then ignored because its version is not higher.
    const auto current = parseRouting(RoutingBase);
    RoutingDocument next = *current;
    next.routes[0].priority = 5;
    checkError(checkRouting(next, &*current, {}).findings, FindingKind::Rejected, "document",
               "version 7 is not above version 7");
    next.version = 8;
    CHECK_FALSE(checkRouting(next, &*current, {}).hasErrors());
}

TEST_CASE("Faults of an operators' document that is valid by itself are found")
{
    // Guards against leftovers after an edit, and against documents that VMs reject only because of
    // the one in force.
    checkWarning(documentFindings([](Json &json) {
                     json["services"][1]["kind"] = "urgent";
                     json["base_version"] = 5;
                 }),
                 FindingKind::Unused, "kind order", "no service uses it");
    checkWarning(documentFindings([](Json &json) {
                     json["services"][0]["shards"].erase(1);
                     json["base_version"] = 5;
                 }),
                 FindingKind::Unused, "target t3", "no shard uses it");
    checkWarning(documentFindings([](Json &json) {
                     json["targets"][3]["address"] = "127.0.2.1:9100";
                     json["base_version"] = 0;
                 }),
                 FindingKind::Contradiction, "target t4", "target t1 has the same address");
    checkWarning(documentFindings([](Json &json) { json["services"][0]["deadline_ms"] = 90; }),
                 FindingKind::Contradiction, "document", "older version");
    const Change removeMost = [](Json &json) {
        json["base_version"] = 5;
        json["targets"] = Json::array({json["targets"][0]});
        for (Json &service : json["services"])
            for (Json &shard : service["shards"])
                shard["replicas"] = Json::array({"t1"});
    };
    checkError(documentFindings(removeMost), FindingKind::Rejected, "document",
               "more than half of the targets");
    CHECK(documentFindings([&](Json &json) {
              removeMost(json);
              json["allow_mass_removal"] = true;
          }).empty());
}

TEST_CASE("Every change of a configuration is named as a difference")
{
    SECTION("of a routing document, changed at random")
    {
        checkRandomChanges(RoutingBase,
                           [](const Json &json) -> tl::expected<RoutingDocument, std::string> {
                               // A fan-out may always run more than once, so its kind has no
                               // effect.
                               const Json &first = json["routes"][0];
                               if (first.contains("fanout_services") && first["kind"] != "safe")
                                   return tl::make_unexpected("has no effect");
                               return parseRouting(json);
                           });
    }
    SECTION("of an operators' document, changed at random")
    {
        checkRandomChanges(DocumentBase, parseOperatorsDocument);
    }
    SECTION("with the entry, the field and both values")
    {
        const auto before = parseRouting(RoutingBase);
        RoutingDocument after = *before;
        after.routes[0].timeout = std::chrono::milliseconds(2000);
        std::get<FanOutTo>(after.routes[0].destination).shards.pop_back();
        after.services.erase("o2");
        CHECK(differencesOf(*before, after)
              == ConfigDifferences{{"route all", "shard s3", "present", std::nullopt},
                                   {"route all", "timeout", "2500 ms", "2000 ms"},
                                   {"service o2", "", "present", std::nullopt}});
    }
    SECTION("the order of routes included, as the first of two that match alike takes precedence")
    {
        const auto before = parseRouting(RoutingBase);
        RoutingDocument after = *before;
        std::swap(after.routes[0], after.routes[1]);
        CHECK(differencesOf(*before, after)
              == ConfigDifferences{{"routes", "order", "route all, route orders, route stock",
                                    "route orders, route all, route stock"}});
    }
    SECTION("routes with the same name are compared one by one")
    {
        auto before = parseRouting(RoutingBase);
        before->routes[1].name = "all";
        RoutingDocument after = *before;
        after.routes[1].priority = 9;
        CHECK(differencesOf(*before, after)
              == ConfigDifferences{{"route all (2)", "priority", "2", "9"}});
    }
}
