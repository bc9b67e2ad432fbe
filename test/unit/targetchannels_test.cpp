#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "http/targetchannels.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const TargetHeaderNames Names{"request-id", "time-left", "expected-target"};

std::string makeResponse(const std::string &id, const std::string &body,
                         const std::string &extraHeaders = "")
{
    return "HTTP/1.1 200 OK\r\nrequest-id: " + id + "\r\n" + extraHeaders
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ForwardedRequestPtr makeRequest(const std::string &id)
{
    auto request = std::make_shared<ForwardedRequest>();
    request->id = id;
    request->head = "GET /x HTTP/1.1\r\nHost: shop.example\r\nrequest-id: " + id + "\r\n";
    request->deadline = Clock::now() + 10s;
    return request;
}

std::string idOf(const std::string &request)
{
    const std::size_t at = request.find("request-id: ") + 12;
    return request.substr(at, request.find("\r\n", at) - at);
}

std::string outcomeOf(const TargetCallResult &reply)
{
    switch (reply.end) {
    case TargetCallResult::End::Responded:
        return reply.response.body;
    case TargetCallResult::End::NotConnected:
        return "not connected";
    case TargetCallResult::End::Lost:
        return "lost";
    case TargetCallResult::End::Malformed:
        return "malformed";
    case TargetCallResult::End::Unsent:
        return "unsent";
    case TargetCallResult::End::Abandoned:
        return "abandoned";
    }
    return {};
}

/// Sends requests through `TargetChannels` to a scripted target and collects their outcomes.
class Exchange
{
public:
    explicit Exchange(const ScriptedServer::Script &script, ChannelOptions options = {})
        : m_server(m_io, script)
        , m_channels(m_io, m_server.endpoint(), "t-1", Names, options, m_counts)
    {
    }

    /// Sends a request with `id` and returns its outcome.
    std::string call(const std::string &id)
    {
        const std::size_t before = m_outcomes.size();
        startCall(id);
        REQUIRE(runUntil(m_io, [&] { return m_outcomes.size() > before; }));
        return m_outcomes.back();
    }
    CallNumber startCall(const std::string &id)
    {
        const auto number = m_channels.call(makeRequest(id), [this](const TargetCallResult &reply) {
            m_outcomes.push_back(outcomeOf(reply));
        });
        REQUIRE(number);
        return *number;
    }
    bool run(const std::function<bool()> &isDone) { return runUntil(m_io, isDone); }
    /// Handles what has arrived.
    void poll() { m_io.poll(); }

    ScriptedServer &server() { return m_server; }
    TargetChannels &channels() { return m_channels; }
    const ChannelCounts &counts() const { return m_counts; }
    const std::vector<std::string> &outcomes() const { return m_outcomes; }

private:
    asio::io_context m_io;
    ChannelCounts m_counts;
    std::vector<std::string> m_outcomes;
    ScriptedServer m_server;
    TargetChannels m_channels;
};

/// The connections on which requests wait for a response. Weak, because a socket must not outlive
/// its event loop.
using PendingConnections = std::vector<std::weak_ptr<ScriptedServer::Connection>>;

void respondToRequest(const ScriptedServer::ConnectionPtr &connection)
{
    connection->send(
        makeResponse(idOf(connection->received), "body of " + idOf(connection->received)));
    connection->received.clear();
}

} // namespace

TEST_CASE("A responsive target")
{
    std::string receivedRequest;
    Exchange exchange([&receivedRequest](const ScriptedServer::ConnectionPtr &connection) {
        receivedRequest = connection->received;
        respondToRequest(connection);
    });
    REQUIRE(exchange.call("r1") == "body of r1");

    SECTION("receives the expected target and the remaining time")
    {
        CHECK(receivedRequest.find("expected-target: t-1\r\n") != std::string::npos);
        const std::size_t at = receivedRequest.find("time-left: ");
        REQUIRE(at != std::string::npos);
        const int remainingMs = std::stoi(receivedRequest.substr(at + 11));
        CHECK(remainingMs > 0);
        CHECK(remainingMs <= 10000);
    }
    SECTION("receives the next request on the same connection")
    {
        CHECK(exchange.call("r2") == "body of r2");
        CHECK(exchange.server().accepted() == 1);
    }
}

TEST_CASE("A response to another request is never matched to a pending call")
{
    SECTION("if it arrives before the expected response")
    {
        Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
            connection->send(makeResponse("stale", "of another"));
            respondToRequest(connection);
        });
        CHECK(exchange.call("r1") == "body of r1");
        CHECK(exchange.counts().unexpectedResponses == 1);
    }
    SECTION("if it immediately follows the expected response")
    {
        Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
            const std::string id = idOf(connection->received);
            connection->send(makeResponse(id, "own") + makeResponse(id, "extra"));
            connection->received.clear();
        });
        CHECK(exchange.call("r1") == "own");
        CHECK(exchange.call("r2") == "own");
        CHECK(exchange.server().accepted() == 2);
    }
    SECTION("if it arrives while no call is pending")
    {
        Exchange exchange(respondToRequest);
        exchange.call("r1");
        exchange.server().connections().front()->send(makeResponse("r1", "extra"));
        REQUIRE(exchange.run([&] { return exchange.channels().openConnections() == 0; }));
        CHECK(exchange.call("r2") == "body of r2");
    }
}

TEST_CASE("An incomplete or malformed response is not accepted")
{
    SECTION("if the connection is closed in the middle of the body")
    {
        Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
            connection->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
            connection->close();
        });
        CHECK(exchange.call("r1") == "lost");
    }
    SECTION("if the connection is reset during a response without a length")
    {
        Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
            connection->send("HTTP/1.1 200 OK\r\n\r\nabc");
            connection->reset();
        });
        CHECK(exchange.call("r1") == "lost");
    }
    SECTION("if the bytes are not an HTTP response")
    {
        Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
            connection->send("\x01\x02 nonsense\r\n\r\n");
        });
        CHECK(exchange.call("r1") == "malformed");
    }
}

// Guards against a response whose head was cut off being passed on as a whole one with an empty
// body.
TEST_CASE("A response that is cut off anywhere is not accepted")
{
    const std::string head = "HTTP/1.1 200 OK\r\nrequest-id: r1\r\nreceipt: abc\r\n";
    const std::vector<std::string> responses{
        head + "Content-Length: 6\r\n\r\nabcdef",
        head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n3\r\ndef\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 6\r\n\r\nabcdef",
        // Its end is the end of the connection, so only the head can be cut off.
        head + "\r\n"};
    for (const std::string &response : responses) {
        for (std::size_t size = 0; size < response.size(); ++size) {
            INFO(response.substr(0, size));
            Exchange exchange([&](const ScriptedServer::ConnectionPtr &connection) {
                connection->send(response.substr(0, size));
                connection->close();
            });
            CHECK(exchange.call("r1") == "lost");
        }
    }
}

TEST_CASE("A response without a length ends when its connection is closed")
{
    Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
        connection->send("HTTP/1.1 200 OK\r\n\r\nabc");
        connection->close();
    });
    CHECK(exchange.call("r1") == "abc");
}

TEST_CASE("A connection is not reused")
{
    SECTION("if the target announces that it closes the connection")
    {
        Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
            connection->send(
                makeResponse(idOf(connection->received), "ok", "Connection: close\r\n"));
            connection->received.clear();
        });
        exchange.call("r1");
        exchange.call("r2");
        CHECK(exchange.server().accepted() == 2);
    }
    SECTION("shortly before the target's keep-alive timeout")
    {
        Exchange exchange([](const ScriptedServer::ConnectionPtr &connection) {
            connection->send(
                makeResponse(idOf(connection->received), "ok", "Keep-Alive: timeout=0\r\n"));
            connection->received.clear();
        });
        exchange.call("r1");
        exchange.call("r2");
        CHECK(exchange.server().accepted() == 2);
    }
}

TEST_CASE("An unreachable target is reported as not connected and the request as not sent")
{
    asio::io_context io;
    asio::ip::tcp::endpoint closedEndpoint;
    {
        const asio::ip::tcp::acceptor acceptor(
            io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        closedEndpoint = acceptor.local_endpoint();
    }
    ChannelCounts counts;
    TargetChannels channels(io, closedEndpoint, "t-1", Names, {}, counts);
    std::optional<TargetCallResult> result;
    channels.call(makeRequest("r1"),
                  [&result](TargetCallResult reply) { result = std::move(reply); });
    REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    CHECK(outcomeOf(*result) == "not connected");
    CHECK_FALSE(result->isSent);
    CHECK(counts.connectFailures == 1);
}

TEST_CASE("Calls beyond the connection limit are queued")
{
    PendingConnections pendingConnections;
    ChannelOptions options;
    options.maxConnections = 1;
    options.maxWaitingCalls = 2;
    Exchange exchange(
        [&pendingConnections](const ScriptedServer::ConnectionPtr &connection) {
            pendingConnections.push_back(connection);
        },
        options);
    exchange.startCall("r1");
    REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
    const CallNumber second = exchange.startCall("r2");
    exchange.startCall("r3");

    SECTION("in order of arrival")
    {
        respondToRequest(pendingConnections[0].lock());
        REQUIRE(exchange.run([&] { return pendingConnections.size() == 2; }));
        CHECK(idOf(pendingConnections[1].lock()->received) == "r2");
        CHECK(exchange.server().accepted() == 1);
    }
    SECTION("up to a limit")
    {
        CHECK_FALSE(exchange.channels().call(makeRequest("r4"), [](const TargetCallResult &) {}));
    }
    SECTION("and a call that is abandoned while queued is never sent")
    {
        exchange.channels().abandon(second, 1s);
        REQUIRE(exchange.run([&] { return exchange.outcomes().size() == 1; }));
        CHECK(exchange.outcomes().front() == "unsent");
        respondToRequest(pendingConnections[0].lock());
        REQUIRE(exchange.run([&] { return pendingConnections.size() == 2; }));
        CHECK(idOf(pendingConnections[1].lock()->received) == "r3");
    }
}

TEST_CASE("A connection that may not be kept serves a single request")
{
    ChannelOptions options;
    options.maxConnections = 1;
    Exchange exchange(respondToRequest, options);
    REQUIRE(exchange.call("r1") == "body of r1");
    REQUIRE(exchange.channels().openConnections() == 1);

    SECTION("so an idle one is closed when that comes to hold")
    {
        exchange.channels().setTerms({1, false});
        CHECK(exchange.channels().openConnections() == 0);
        AND_THEN("each further request has a connection of its own, which its response closes")
        {
            CHECK(exchange.call("r2") == "body of r2");
            CHECK(exchange.channels().openConnections() == 0);
            CHECK(exchange.call("r3") == "body of r3");
            CHECK(exchange.counts().opened == 3);
        }
    }
    SECTION("but a request in flight is not cut off, and those that wait get connections")
    {
        exchange.startCall("r2");
        exchange.startCall("r3");
        exchange.channels().setTerms({1, false});
        REQUIRE(exchange.run([&] { return exchange.outcomes().size() == 3; }));
        CHECK(exchange.outcomes()
              == std::vector<std::string>{"body of r1", "body of r2", "body of r3"});
    }
}

TEST_CASE("A call counts as sent from its first byte")
{
    PendingConnections pendingConnections;
    ChannelOptions options;
    options.maxConnections = 1;
    Exchange exchange(
        [&pendingConnections](const ScriptedServer::ConnectionPtr &connection) {
            pendingConnections.push_back(connection);
        },
        options);
    std::vector<std::string> sent;
    std::vector<TargetCallResult> results;
    const auto call = [&](const std::string &id) {
        return exchange.channels().call(
            makeRequest(id), [&](const TargetCallResult &result) { results.push_back(result); },
            [&sent, id] { sent.push_back(id); });
    };
    call("r1");
    CHECK(sent.empty());
    REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
    CHECK(sent == std::vector<std::string>{"r1"});

    SECTION("which is when a connection is free for it")
    {
        call("r2");
        CHECK(sent == std::vector<std::string>{"r1"});
        respondToRequest(pendingConnections[0].lock());
        REQUIRE(exchange.run([&] { return pendingConnections.size() == 2; }));
        CHECK(sent == std::vector<std::string>{"r1", "r2"});
    }
    SECTION("and never if it was abandoned before")
    {
        const auto second = call("r2");
        REQUIRE(second);
        exchange.channels().abandon(*second, 1s);
        respondToRequest(pendingConnections[0].lock());
        REQUIRE(exchange.run([&] { return results.size() == 2; }));
        CHECK(sent == std::vector<std::string>{"r1"});
        CHECK(std::count_if(results.begin(), results.end(),
                            [](const TargetCallResult &result) { return result.isSent; })
              == 1);
    }
    SECTION("and never if its connection had been reset before")
    {
        const ScriptedServer::ConnectionPtr connection = pendingConnections[0].lock();
        respondToRequest(connection);
        REQUIRE(exchange.run([&] { return results.size() == 1; }));
        // The reset is not read from the socket before the next request is written to it.
        connection->reset();
        call("r2");
        CHECK(sent == std::vector<std::string>{"r1"});
        REQUIRE(exchange.run([&] { return results.size() == 2; }));
        CHECK(results[1].end == TargetCallResult::End::NotConnected);
        CHECK_FALSE(results[1].isSent);
    }
}

TEST_CASE("An abandoned call")
{
    PendingConnections pendingConnections;
    Exchange exchange([&pendingConnections](const ScriptedServer::ConnectionPtr &connection) {
        pendingConnections.push_back(connection);
    });
    const CallNumber number = exchange.startCall("r1");
    REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
    exchange.channels().abandon(number, 300ms);

    SECTION("leaves the connection usable if the response arrives within the grace period")
    {
        respondToRequest(pendingConnections[0].lock());
        REQUIRE(exchange.run([&] { return exchange.outcomes().size() == 1; }));
        exchange.startCall("r2");
        REQUIRE(exchange.run([&] { return pendingConnections.size() == 2; }));
        CHECK(exchange.server().accepted() == 1);
    }
    SECTION("closes the connection if no response arrives within the grace period")
    {
        exchange.channels().sweep(Clock::now() + 299ms);
        CHECK(exchange.channels().openConnections() == 1);
        exchange.channels().sweep(Clock::now() + 301ms);
        CHECK(exchange.channels().openConnections() == 0);
        CHECK(exchange.outcomes() == std::vector<std::string>{"abandoned"});
        CHECK(exchange.counts().silent == 1);
    }
}

// Guards against blaming a target, and a request that may run only once, for a thread that was
// late.
TEST_CASE("What has arrived before a busy thread looks at its time limits is not overdue")
{
    PendingConnections pendingConnections;
    Exchange exchange([&pendingConnections](const ScriptedServer::ConnectionPtr &connection) {
        pendingConnections.push_back(connection);
    });
    const CallNumber number = exchange.startCall("r1");

    SECTION("a connection that is made")
    {
        // The system has made the connection, and the event loop has not run since.
        exchange.channels().sweep(Clock::now() + 501ms);
        REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
        respondToRequest(pendingConnections[0].lock());
        REQUIRE(exchange.run([&] { return exchange.outcomes().size() == 1; }));
        CHECK(exchange.counts().connectFailures == 0);
    }
    SECTION("the response to an abandoned call")
    {
        REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
        exchange.channels().abandon(number, 300ms);
        respondToRequest(pendingConnections[0].lock());
        exchange.channels().sweep(Clock::now() + 301ms);
    }
    SECTION("a response of which a part was read before")
    {
        REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
        exchange.channels().abandon(number, 300ms);
        const ScriptedServer::ConnectionPtr connection = pendingConnections[0].lock();
        connection->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n");
        exchange.poll();
        connection->send("body of r1");
        exchange.channels().sweep(Clock::now() + 301ms);
    }
    REQUIRE(exchange.outcomes() == std::vector<std::string>{"body of r1"});
    CHECK(exchange.channels().openConnections() == 1);
    CHECK(exchange.counts().silent == 0);
}

TEST_CASE("The response to an abandoned call that ends with its connection is not overdue either")
{
    PendingConnections pendingConnections;
    Exchange exchange([&pendingConnections](const ScriptedServer::ConnectionPtr &connection) {
        pendingConnections.push_back(connection);
    });
    const CallNumber number = exchange.startCall("r1");
    REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
    exchange.channels().abandon(number, 300ms);
    const ScriptedServer::ConnectionPtr connection = pendingConnections[0].lock();
    connection->send("HTTP/1.1 200 OK\r\n\r\nabc");
    connection->close();
    exchange.channels().sweep(Clock::now() + 301ms);
    CHECK(exchange.outcomes() == std::vector<std::string>{"abc"});
    CHECK(exchange.counts().silent == 0);
}

TEST_CASE("Retired channels finish the pending call and close")
{
    PendingConnections pendingConnections;
    Exchange exchange([&pendingConnections](const ScriptedServer::ConnectionPtr &connection) {
        pendingConnections.push_back(connection);
    });
    exchange.startCall("r1");
    REQUIRE(exchange.run([&] { return pendingConnections.size() == 1; }));
    exchange.channels().retire();
    CHECK_FALSE(exchange.channels().isIdle());
    respondToRequest(pendingConnections[0].lock());
    REQUIRE(exchange.run([&] { return exchange.outcomes().size() == 1; }));
    CHECK(exchange.outcomes().front() == "body of r1");
    CHECK(exchange.channels().openConnections() == 0);
}
