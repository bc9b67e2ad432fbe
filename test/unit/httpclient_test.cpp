#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "http/httpclient.h"
#include "pouringserver.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = HttpClient::End;

namespace {

/// Long enough for every test on any machine; tests of the limits on time use a paused clock.
constexpr HttpClientLimits Limits{{4096, 8192}, seconds(60), seconds(60)};

} // namespace

TEST_CASE("A response without an end is rejected by the client, whatever part of it has none")
{
    const auto [begin, repeated, end] = GENERATE(from_range(endlessPours()));
    INFO(begin << " / " << repeated);
    PouringServer server(begin, repeated);
    HttpClient client(server.address(), Limits);
    const HttpClient::Result result = client.get("/");
    CHECK(result.end == end);
    CHECK(result.hasSentBytes);
    CHECK(result.response.body.empty());

    SECTION("and the next exchange uses a new connection, on which it succeeds")
    {
        server.setResponse("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ngood");
        const HttpClient::Result next = client.get("/");
        CHECK(next.hasStatus(200));
        CHECK(next.response.body == "good");
        CHECK(server.accepted() == 2);
    }
}

TEST_CASE("A response that trickles without an end is rejected at the limit of the whole exchange")
{
    PausedClock clock;
    const auto [begin, repeated] = GENERATE(table<std::string, std::string>(
        {{"", "\r\n"},
         {"HTTP/1.1 200 OK\r\n", "a: b\r\n"},
         {"HTTP/1.1 200 OK\r\nContent-Length: 8000\r\n\r\n", "x"},
         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"}}));
    INFO(begin << " / " << repeated);
    // Each piece arrives in time for any limit between two reads.
    PouringServer server(begin, repeated, [&clock] { clock.advance(milliseconds(500)); });
    HttpClient client(server.address(), {Limits.size, seconds(1), seconds(10)});
    CHECK(client.get("/").end == End::TooSlow);
}

TEST_CASE("A client for which a server has nothing to say")
{
    GIVEN("a server that accepts requests and never responds")
    {
        PouringServer server("", "");
        PausedClock clock;
        HttpClient client(server.address(), Limits);
        auto result = std::async(std::launch::async, [&] { return client.get("/"); });
        server.waitForRequests(1);

        SECTION("ends at its time limit")
        {
            clock.advance(Limits.answer);
            CHECK(result.get().end == End::TimedOut);
        }

        SECTION("can be aborted by another thread, for good")
        {
            client.abort();
            CHECK(result.get().end == End::Aborted);
            const HttpClient::Result later = client.get("/");
            CHECK(later.end == End::Aborted);
            CHECK_FALSE(later.hasSentBytes);
        }
    }

    GIVEN("a server that cannot be reached")
    {
        Address address;
        {
            const PouringServer closed("", "");
            address = closed.address();
        }
        HttpClient client(address, Limits);

        SECTION("reports that no byte of the request was sent")
        {
            const HttpClient::Result result = client.sendJson("POST", "/", "{}");
            CHECK(result.end == End::NotConnected);
            CHECK_FALSE(result.hasSentBytes);
        }
    }
}

TEST_CASE("A client keeps its connection")
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
    PouringServer server(response + "body", "");
    HttpClient client(server.address(), Limits);
    REQUIRE(client.get("/first").response.body == "body");

    SECTION("for its next request")
    {
        CHECK(client.get("/second").response.body == "body");
        CHECK(server.accepted() == 1);
    }

    SECTION("unless the server sent bytes after the response, which belong to no request")
    {
        server.setResponse(response + "bodyHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother");
        CHECK(client.get("/second").response.body == "body");
        server.setResponse(response + "good");
        CHECK(client.get("/third").response.body == "good");
        CHECK(server.accepted() == 2);
    }

    SECTION("unless the server has closed it, and then sends each request once")
    {
        server.closeConnections();
        CHECK(client.sendJson("POST", "/second", "{}").response.body == "body");
        CHECK(server.accepted() == 2);
        CHECK(server.requests() == 2);
    }

    SECTION("and never repeats a request after which the server closes it")
    {
        server.closeOnRequest();
        const HttpClient::Result result = client.sendJson("POST", "/second", "{}");
        CHECK(result.end == End::Lost);
        CHECK(result.hasSentBytes);
        CHECK(server.requests() == 2);
    }
}

TEST_CASE("A client reads a response that ends with its connection")
{
    PouringServer server("HTTP/1.1 200 OK\r\n\r\nbody", "");
    server.closeAfterResponse();
    HttpClient client(server.address(), Limits);
    const HttpClient::Result result = client.get("/");
    CHECK(result.end == End::Responded);
    CHECK(result.response.body == "body");
    CHECK_FALSE(result.response.keepAlive);
}
