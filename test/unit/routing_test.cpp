#include <catch2/catch.hpp>

#include "mangoshift/routing.h"

using namespace mangoshift;

namespace {

Route routeOf(const std::string &name, const std::string &host, const std::string &prefix)
{
    Route route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.destination = ForwardTo{{{"orders", 1.0}}};
    return route;
}

std::string nameOf(const Route *route)
{
    return route == nullptr ? "none" : route->name;
}

} // namespace

TEST_CASE("A routing table finds the route of a request")
{
    RoutingDocument document;
    document.version = 7;
    document.routes = {routeOf("short", "shop.example", "/a/"),
                       routeOf("long", "shop.example", "/a/b/"),
                       routeOf("other", "desk.example", "/a/")};
    document.services["orders"].maxConnections = 26;
    const RoutingTable table(document);

    SECTION("by the longest prefix among those of its host")
    {
        CHECK(nameOf(table.match("shop.example", "/a/x")) == "short");
        CHECK(nameOf(table.match("shop.example", "/a/b/x")) == "long");
        CHECK(nameOf(table.match("desk.example", "/a/b/x")) == "other");
    }
    SECTION("ignoring the case and the port of the host")
    {
        CHECK(nameOf(table.match("SHOP.Example:8080", "/a/x")) == "short");
    }
    SECTION("by the path alone, ignoring the query")
    {
        CHECK(nameOf(table.match("shop.example", "/a/x?next=/a/b/")) == "short");
        CHECK(nameOf(table.match("shop.example", "/x?/a/")) == "none");
    }
    SECTION("or none if the host or the path is unknown")
    {
        CHECK(nameOf(table.match("shop.example", "/a")) == "none");
        CHECK(nameOf(table.match("nobody.example", "/a/x")) == "none");
        CHECK(nameOf(table.match("", "/a/x")) == "none");
    }
    SECTION("and the limits of a service, or the defaults if the document has none")
    {
        CHECK(table.serviceOf("orders").maxConnections == 26);
        CHECK(table.serviceOf("unheard").maxConnections == 1);
    }
}

TEST_CASE("The services of a split route get requests in proportion to their weights")
{
    WeightedRoundRobin turns;
    std::vector<WeightedService> services{{"a", 7.0}, {"b", 2.0}, {"c", 1.0}};
    std::vector<int> counts(3, 0);

    SECTION("each within one request of its share at any time")
    {
        for (int i = 1; i <= 1000; ++i) {
            ++counts[turns.next(services)];
            for (std::size_t s = 0; s < services.size(); ++s) {
                INFO("service " << s << " after " << i << " requests");
                REQUIRE(std::abs(counts[s] - i * services[s].weight / 10.0) <= 1.0);
            }
        }
    }
    SECTION("also after the number of services changes")
    {
        turns.next(services);
        services.pop_back();
        for (int i = 0; i < 900; ++i)
            ++counts[turns.next(services)];
        CHECK(counts[0] == 700);
        CHECK(counts[1] == 200);
    }
}
