#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "../../standins/servedconnection.h"
#include "net/targetpool.h"
#include "scriptedserver.h"

using namespace mangoshift;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds TestTimeout{10};
/// Timeouts that are long enough for a busy machine.
constexpr PoolTimeouts LongTimeouts{milliseconds(2000), milliseconds(500)};

/// A target on the same event loop that responds when the test calls `respond`.
struct ScriptedTarget
{
    using Connection = std::shared_ptr<ServedConnection>;
    struct Request
    {
        Connection connection;
        HttpRequest message;
    };

    explicit ScriptedTarget(asio::io_context &io)
        : acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    void accept()
    {
        acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
            if (error)
                return;
            ++accepted;
            const auto connection = std::make_shared<ServedConnection>(
                std::move(socket), [this](const Connection &from, HttpRequest message) {
                    requests.push_back({from, std::move(message)});
                });
            connections.push_back(connection);
            connection->start([] {});
            accept();
        });
    }

    /// Responds to a request, as often as this is called, and echoes its id if `echoesId` is set.
    /// The bytes are given to the system at once.
    void respond(std::size_t request, bool echoesId = false)
    {
        const Request &answered = requests.at(request);
        HttpResponse response;
        response.status = 200;
        if (echoesId)
            response.headers.add("x-call-id",
                                 std::string(answered.message.headers.value("x-call-id")));
        answered.connection->respond(response);
    }

    Address address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

    tcp::acceptor acceptor;
    std::vector<Connection> connections;
    std::vector<Request> requests;
    int accepted = 0;
};

struct PoolFixture
{
    explicit PoolFixture(std::size_t maxConnections, PoolTimeouts timeouts = LongTimeouts)
        : target(io)
        , pool(std::make_unique<TargetPool>(io, target.address(), maxConnections, timeouts))
    {
    }

    void send(const std::string &callId, Clock::duration timeout = TestTimeout)
    {
        PooledRequest request;
        request.callId = callId;
        request.message.method = "POST";
        request.message.target = "/";
        request.deadline = Clock::now() + timeout;
        pool->send(std::move(request),
                   [this](const HttpResult &result) { results.push_back(result); });
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        io.restart();
        while (!condition() && std::chrono::steady_clock::now() < end)
            io.run_one_for(milliseconds(10));
        return condition();
    }

    asio::io_context io{1};
    ScriptedTarget target;
    std::unique_ptr<TargetPool> pool;
    std::vector<HttpResult> results;
};

} // namespace

TEST_CASE("A target pool does not exceed its connection limit")
{
    PoolFixture fixture(2);
    for (const char *call : {"1", "2", "3"})
        fixture.send(call);
    REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 2; }));
    CHECK(fixture.target.accepted == 2);
    CHECK(fixture.pool->waitingRequests() == 1);

    SECTION("the waiting request is sent on the first connection that becomes idle")
    {
        fixture.target.respond(0);
        REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 3; }));
        CHECK(fixture.target.accepted == 2);
        CHECK(fixture.target.requests[2].message.headers.value("x-call-id") == "3");
    }

    SECTION("a waiting request that is cancelled ends without being sent")
    {
        fixture.pool->cancel("3");
        CHECK(fixture.results.empty());
        REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
        CHECK_FALSE(fixture.results[0].hasSentBytes);
    }

    SECTION("handlers that are still posted do not run after the pool is destroyed")
    {
        fixture.pool->cancel("3");
        fixture.target.respond(0);
        fixture.pool.reset();
        fixture.runUntil([&] { return fixture.io.poll() == 0; });
        CHECK(fixture.results.empty());
    }
}

TEST_CASE("A request that waits for a connection times out at its deadline without being sent")
{
    PoolFixture fixture(1);
    fixture.send("1");
    fixture.send("2", milliseconds(20));
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    CHECK(fixture.results[0].end == HttpResult::End::TimedOut);
    CHECK_FALSE(fixture.results[0].hasSentBytes);
}

TEST_CASE("The cancellation of a request is sent to the target on another connection")
{
    PoolFixture fixture(2);
    fixture.send("7-1");
    REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 1; }));
    fixture.pool->cancel("7-1");
    REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 2; }));
    CHECK(fixture.target.requests[1].message.method == "DELETE");
    CHECK(fixture.target.requests[1].message.target == "/v1/requests/7-1");
    CHECK(fixture.target.requests[1].connection != fixture.target.requests[0].connection);
    fixture.target.respond(1);

    SECTION("the request's connection is kept if the target responds within the grace period")
    {
        fixture.target.respond(0);
        REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
        CHECK(fixture.results[0].end == HttpResult::End::Responded);
        CHECK(fixture.pool->openConnections() == 2);
    }

    SECTION("a silent connection is closed, and the target is reported as responsive")
    {
        REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
        CHECK(fixture.results[0].end == HttpResult::End::TimedOut);
        CHECK(fixture.results[0].hasSentBytes);
        CHECK(fixture.results[0].isTargetResponsive);
        CHECK(fixture.pool->silentConnections() == 1);
        CHECK(fixture.pool->openConnections() == 1);
    }
}

TEST_CASE("An idle connection that the target closes is replaced by a new one")
{
    PoolFixture fixture(1);
    fixture.send("1");
    REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 1; }));
    fixture.target.respond(0);
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    fixture.target.connections[0]->close();
    REQUIRE(fixture.runUntil([&] { return fixture.pool->openConnections() == 0; }));
    fixture.send("2");
    REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 2; }));
    CHECK(fixture.target.accepted == 2);
}

// Guards against connections that a VM keeps to a target which it used only while another home of
// the shard was late: the target's limit holds for all VMs together.
TEST_CASE("Connections that are no longer used are closed")
{
    PoolTimeouts timeouts = LongTimeouts;
    timeouts.idle = milliseconds(50);
    PoolFixture fixture(2, timeouts);
    fixture.send("1");
    fixture.send("2");
    REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 2; }));
    fixture.target.respond(0);
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    REQUIRE(fixture.pool->openConnections() == 2);

    SECTION("but not while a request is pending on them")
    {
        REQUIRE(fixture.runUntil([&] { return fixture.pool->openConnections() == 1; }));
        CHECK(fixture.results.size() == 1);
        fixture.target.respond(1);
        REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 2; }));
        CHECK(fixture.results[1].end == HttpResult::End::Responded);
        CHECK(fixture.runUntil([&] { return fixture.pool->openConnections() == 0; }));
    }

    SECTION("and opened again for the next request")
    {
        fixture.target.respond(1);
        REQUIRE(fixture.runUntil([&] { return fixture.pool->openConnections() == 0; }));
        fixture.send("3");
        REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 3; }));
        fixture.target.respond(2);
        REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 3; }));
        CHECK(fixture.results[2].end == HttpResult::End::Responded);
    }
}

TEST_CASE("A request to a target that refuses connections ends without being sent")
{
    PoolFixture fixture(1);
    fixture.target.acceptor.close();
    fixture.send("1");
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));
    CHECK(fixture.results[0].end == HttpResult::End::ConnectFailed);
    CHECK_FALSE(fixture.results[0].hasSentBytes);
}

// Operators of similar systems saw the next caller get an answer that was not its own.
TEST_CASE("A response that a target sends a second time answers no other request")
{
    PoolFixture fixture(1);
    fixture.send("a");
    REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 1; }));
    fixture.target.respond(0, true);
    REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 1; }));

    SECTION("if it arrives while the connection is idle")
    {
        fixture.target.respond(0);
        REQUIRE(fixture.runUntil([&] { return fixture.pool->openConnections() == 0; }));
        CHECK(fixture.results.size() == 1);
    }
    SECTION("if a busy thread has not read it when the connection is used again")
    {
        fixture.target.respond(0);
        fixture.send("b");
        REQUIRE(fixture.runUntil(
            [&] { return fixture.target.requests.size() == 2 || fixture.results.size() == 2; }));
        CHECK(fixture.results.size() == 1);
        CHECK(fixture.target.accepted == 2);
        fixture.target.respond(1);
        REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 2; }));
        CHECK(fixture.results.back().end == HttpResult::End::Responded);
    }
    SECTION("if it arrives after the next request was written, and names its own id")
    {
        fixture.send("b");
        REQUIRE(fixture.runUntil([&] { return fixture.target.requests.size() == 2; }));
        fixture.target.respond(0, true);
        REQUIRE(fixture.runUntil([&] { return fixture.results.size() == 2; }));
        CHECK(fixture.results.back().end == HttpResult::End::Malformed);
        CHECK(fixture.results.back().hasSentBytes);
    }
}

// Guards against bytes of one response being read as the response to a request that is sent from
// within the first one's handler.
TEST_CASE("What follows a response in the same read answers no other request")
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    const std::string extra = GENERATE_COPY(as<std::string>(), response + "x",
                                            "\r\n" + response + "x", "HTTP/1.1 200 OK\r\n", "x");
    INFO(extra);
    asio::io_context io;
    std::size_t requests = 0;
    ScriptedServer target(io, [&](const ScriptedServer::ConnectionPtr &connection) {
        if (connection->received.find("\r\n\r\n") == std::string::npos)
            return;
        connection->received.clear();
        connection->send(++requests == 1 ? response + "a" + extra : response + "b");
    });
    TargetPool pool(io, {"127.0.0.1", target.endpoint().port()}, 1, LongTimeouts);
    const auto makeRequest = [](const std::string &id) {
        PooledRequest request;
        request.callId = id;
        request.message.method = "POST";
        request.message.target = "/";
        request.deadline = Clock::now() + TestTimeout;
        request.isCancellable = false;
        return request;
    };
    std::vector<HttpResult> results;
    pool.send(makeRequest("a"), [&](HttpResult first) {
        results.push_back(std::move(first));
        pool.send(makeRequest("b"),
                  [&](HttpResult second) { results.push_back(std::move(second)); });
    });
    REQUIRE(runUntil(io, [&] { return results.size() == 2; }));
    CHECK(results[0].end == HttpResult::End::Responded);
    CHECK(results[0].response.body == "a");
    CHECK(results[1].end == HttpResult::End::Responded);
    CHECK(results[1].response.body == "b");
    CHECK(requests == 2);
    CHECK(target.accepted() == 2);
}
