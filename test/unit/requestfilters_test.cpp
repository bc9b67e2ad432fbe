#include <catch2/catch.hpp>

#include "entry/requestfilters.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

EntryHeaderNames names()
{
    EntryHeaderNames names;
    names.target = {"request-id", "time-left", "expected-target"};
    return names;
}

RoutingTablePtr routing()
{
    RoutingDocument document;
    document.version = 3;
    Route route;
    route.name = "orders";
    route.host = "shop.example";
    route.pathPrefix = "/orders/";
    route.timeout = 1000ms;
    route.destination = ForwardTo{{{"orders", 1.0}}};
    document.routes = {route};
    return std::make_shared<const RoutingTable>(document);
}

IncomingRequest requestOf(const std::string &host, const std::string &target,
                          const std::string &timeLeft)
{
    IncomingRequest request;
    request.receivedAt = Clock::time_point(1h);
    request.routing = routing();
    request.http.target = target;
    request.http.headers.add("Host", host);
    request.http.headers.add("Request-Id", "r1");
    if (!timeLeft.empty())
        request.http.headers.add("Time-Left", timeLeft);
    return request;
}

} // namespace

TEST_CASE("A valid request passes the filters")
{
    const RequestFilterChain chain(names());
    IncomingRequest request = requestOf("shop.example", "/orders/7", "600");
    REQUIRE_FALSE(chain.apply(request));
    CHECK(request.id == "r1");
    CHECK(request.route->name == "orders");

    SECTION("and its deadline is a little before that of the caller")
    {
        CHECK(request.deadline == request.receivedAt + 585ms);
    }
    SECTION("and the route's timeout applies if it is sooner or the stated time is missing or "
            "malformed")
    {
        for (const std::string stated : {"5000", "", "soon", "-4", "7x"}) {
            IncomingRequest other = requestOf("shop.example", "/orders/7", stated);
            INFO("stated '" << stated << "'");
            REQUIRE_FALSE(chain.apply(other));
            CHECK(other.deadline == other.receivedAt + 1000ms);
        }
    }
}

TEST_CASE("A request that a filter stops is reported as not run")
{
    const RequestFilterChain chain(names());
    const auto statusOf = [&chain](IncomingRequest &&request) {
        const auto rejection = chain.apply(request);
        REQUIRE(rejection);
        CHECK(rejection->verdict.execution == Execution::NotRun);
        return rejection->status;
    };

    SECTION("with status 404 if no route matches")
    {
        CHECK(statusOf(requestOf("shop.example", "/unheard/", "600")) == 404);
        CHECK(statusOf(requestOf("nobody.example", "/orders/7", "600")) == 404);
    }
    SECTION("with status 400 if it has no request id")
    {
        IncomingRequest request = requestOf("shop.example", "/orders/7", "600");
        request.http.headers.entries().erase(request.http.headers.entries().begin() + 1);
        const int status = statusOf(std::move(request));
        CHECK(status == 400);
    }
    SECTION("with status 503, not 404, while no configuration is in force")
    {
        IncomingRequest request = requestOf("nobody.example", "/unheard/", "600");
        request.routing = nullptr;
        const int status = statusOf(std::move(request));
        CHECK(status == 503);
    }
    SECTION("with status 503 if no time is left")
    {
        CHECK(statusOf(requestOf("shop.example", "/orders/7", "0")) == 503);
    }
}
