#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <asio/connect.hpp>
#include <catch2/catch.hpp>

#include "app/callerclient.h"
#include "entry/storeconnection.h"
#include "http/callerlistener.h"
#include "http/targetchannels.h"
#include "net/targetpool.h"
#include "pouringserver.h"

// Every reader of an event loop, before a peer that sends without an end. The blocking client and
// the links between VMs have tests of their own.

using namespace mangoshift;
using namespace std::chrono_literals;
using asio::ip::tcp;

namespace {

const std::string Trickle = "HTTP/1.1 200 OK\r\n";

/// Makes a server send slowly enough that no limit on bytes is reached within a test's time limit.
void waitForNextPiece()
{
    asio::io_context io;
    asio::steady_timer(io, 10ms).wait();
}

/// Returns what a `TargetPool` makes of the target's response.
HttpResult callPool(const PouringServer &target, std::size_t &openConnections,
                    Clock::duration deadline = 60s)
{
    asio::io_context io;
    TargetPool pool(io, target.address(), 1, {60s, 500ms, 60s});
    std::optional<HttpResult> result;
    PooledRequest request;
    request.callId = "c";
    request.message.method = "POST";
    request.message.target = "/";
    request.deadline = Clock::now() + deadline;
    request.isCancellable = false;
    pool.send(std::move(request), [&](HttpResult end) { result = std::move(end); });
    REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    openConnections = pool.openConnections();
    return *result;
}

} // namespace

TEST_CASE("A pool of connections to a target rejects a response without an end")
{
    std::size_t openConnections = 1;

    SECTION("whatever part of it has none")
    {
        const auto [begin, repeated, end] = GENERATE(from_range(endlessPours()));
        INFO(begin << " / " << repeated);
        const PouringServer target(begin, repeated);
        const HttpResult result = callPool(target, openConnections);
        CHECK(result.end == HttpResult::End::Malformed);
        CHECK(result.hasSentBytes);
        CHECK(openConnections == 0);
    }

    SECTION("at the deadline of the request if it trickles")
    {
        const PouringServer target(Trickle, "a: b\r\n", waitForNextPiece);
        const HttpResult result = callPool(target, openConnections, 300ms);
        CHECK(result.end == HttpResult::End::TimedOut);
        CHECK(openConnections == 0);
    }
}

TEST_CASE("Channels to a target reject a response without an end, whatever part of it has none")
{
    const auto [begin, repeated, end] = GENERATE(from_range(endlessPours()));
    INFO(begin << " / " << repeated);
    const PouringServer target(begin, repeated);
    asio::io_context io;
    ChannelCounts counts;
    TargetChannels channels(io, {asio::ip::make_address("127.0.0.1"), target.address().port}, "t-1",
                            {"request-id", "time-left", "expected-target"}, {}, counts);
    auto request = std::make_shared<ForwardedRequest>();
    request->id = "r";
    request->head = "GET /x HTTP/1.1\r\nHost: shop.example\r\n";
    request->deadline = Clock::now() + 60s;
    std::optional<TargetCallResult> result;
    REQUIRE(channels.call(request, [&](TargetCallResult end_) { result = std::move(end_); }));
    REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    CHECK(result->end == TargetCallResult::End::Malformed);
    CHECK(counts.malformed == 1);
}

TEST_CASE("A connection to the store rejects a response without an end")
{
    std::optional<StoreConnection::Result> result;
    std::chrono::milliseconds timeout = 60s;
    asio::io_context io;
    const auto read = [&](const PouringServer &store) {
        StoreConnection connection(io, store.address());
        connection.get("/", timeout, [&](StoreConnection::Result end) { result = std::move(end); });
        REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    };

    SECTION("whatever part of it has none")
    {
        const auto [begin, repeated, end] = GENERATE(from_range(endlessPours()));
        INFO(begin << " / " << repeated);
        read(PouringServer(begin, repeated));
        REQUIRE_FALSE(*result);
        CHECK(result->error() == "malformed response");
    }

    SECTION("at the time limit of the read if it trickles")
    {
        timeout = 300ms;
        read(PouringServer(Trickle, "a: b\r\n", waitForNextPiece));
        REQUIRE_FALSE(*result);
        CHECK(result->error() == "timeout");
    }
}

TEST_CASE("A replay's connection to a VM ends with a response without an end")
{
    asio::io_context io;
    std::optional<ClientConnection::End> end;
    const auto call = [&](const PouringServer &vm) {
        auto connection = std::make_shared<ClientConnection>(io, vm.address());
        connection->call("GET / HTTP/1.1\r\n\r\n", 60s,
                         [&](ClientConnection::End how, const HttpResponse &) { end = how; });
        REQUIRE(runUntil(io, [&] { return end.has_value(); }));
        return connection;
    };

    SECTION("whatever part of it has none")
    {
        const auto [begin, repeated, unused] = GENERATE(from_range(endlessPours()));
        INFO(begin << " / " << repeated);
        const PouringServer vm(begin, repeated);
        const auto connection = call(vm);
        CHECK(end == ClientConnection::End::Lost);
        CHECK_FALSE(connection->isUsable());
    }

    SECTION("and with responses without an end that nobody asked for")
    {
        const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        const PouringServer vm(response, response);
        const auto connection = call(vm);
        CHECK(end == ClientConnection::End::Responded);
        CHECK(runUntil(io, [&] { return !connection->isUsable(); }));
    }
}

TEST_CASE("A listener for callers ends a request without an end")
{
    const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
    const auto [begin, repeated, status] = GENERATE_COPY(table<std::string, std::string, int>(
        {{"", "\r\n", 431},
         {"", "no HTTP", 400},
         {"POST /", "path", 431},
         {post, "Name: value\r\n", 431},
         {post + "Name: ", "value", 431},
         {post, "name", 431},
         {post + "Content-Length: 99999999\r\n\r\n", "body", 413},
         {post + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n", 413},
         {post + "Transfer-Encoding: chunked\r\n\r\n4;", "extension", 431},
         {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: value\r\n", 431}}));
    INFO(begin << " / " << repeated);
    asio::io_context io;
    int rejected = 0;
    CallerEvents events;
    events.onRequest = [](const CallerConnectionPtr &, const HttpRequest &) {};
    events.onCallerDisconnected = [](const CallerConnectionPtr &, ConnectionEnd::Cause) {};
    events.onRejected = [&](int with) { rejected = with; };
    CallerListener listener(io, 16, events);
    Address address{"127.0.0.1", 0};
    {
        const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        address.port = acceptor.local_endpoint().port();
    }
    REQUIRE(listener.listen(address));
    tcp::socket caller(io);
    caller.connect({asio::ip::make_address(address.ip), address.port});
    std::string piece = repeated;
    while (piece.size() < 4096)
        piece += repeated;
    caller.non_blocking(true);
    asio::error_code error;
    asio::write(caller, asio::buffer(begin), error);
    // Stops well above all limits of a listener.
    constexpr std::size_t bound = 16U << 20U;
    std::size_t poured = 0;
    CHECK(runUntil(io, [&] {
        poured += caller.write_some(asio::buffer(piece), error);
        const bool isClosed = error && error != asio::error::would_block;
        return rejected != 0 || isClosed || poured > bound;
    }));
    CHECK(rejected == status);
    CHECK(poured <= bound);
    // The listener reads on for a second, so that the caller receives the response.
    CHECK(runUntil(io, [&] {
        listener.sweep(Clock::now() + 1h);
        return listener.connections() == 0;
    }));
}
