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

using namespace mangoshift;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr std::chrono::seconds Patience{10};
/// Long enough for a busy machine.
constexpr PoolTimeouts Generous{milliseconds(2000), milliseconds(500)};

/// A target on the same event loop that answers when the test says so.
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

    void answer(std::size_t request)
    {
        HttpResponse response;
        response.status = 200;
        requests.at(request).connection->respond(response);
    }

    Address address() const { return {"127.0.0.1", acceptor.local_endpoint().port()}; }

    tcp::acceptor acceptor;
    std::vector<Connection> connections;
    std::vector<Request> requests;
    int accepted = 0;
};

struct Bench
{
    explicit Bench(std::size_t maxConnections)
        : target(io)
        , pool(std::make_unique<TargetPool>(io, target.address(), maxConnections, Generous))
    {
    }

    void send(const std::string &callId, Clock::duration timeout = Patience)
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
        const auto end = std::chrono::steady_clock::now() + Patience;
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

TEST_CASE("A target pool keeps its connections within the limit")
{
    Bench bench(2);
    for (const char *call : {"1", "2", "3"})
        bench.send(call);
    REQUIRE(bench.runUntil([&] { return bench.target.requests.size() == 2; }));
    CHECK(bench.target.accepted == 2);
    CHECK(bench.pool->waitingRequests() == 1);

    SECTION("the waiting request goes on the connection that is free first")
    {
        bench.target.answer(0);
        REQUIRE(bench.runUntil([&] { return bench.target.requests.size() == 3; }));
        CHECK(bench.target.accepted == 2);
        CHECK(bench.target.requests[2].message.headers.value("x-call-id") == "3");
    }

    SECTION("a waiting request that is cancelled ends unsent")
    {
        bench.pool->cancel("3");
        CHECK(bench.results.empty());
        REQUIRE(bench.runUntil([&] { return bench.results.size() == 1; }));
        CHECK_FALSE(bench.results[0].hasSentBytes);
    }

    SECTION("nothing posted outlives the pool")
    {
        bench.pool->cancel("3");
        bench.target.answer(0);
        bench.pool.reset();
        bench.runUntil([&] { return bench.io.poll() == 0; });
        CHECK(bench.results.empty());
    }
}

TEST_CASE("A request that waits for a connection ends at its deadline, unsent")
{
    Bench bench(1);
    bench.send("1");
    bench.send("2", milliseconds(20));
    REQUIRE(bench.runUntil([&] { return bench.results.size() == 1; }));
    CHECK(bench.results[0].end == HttpResult::End::TimedOut);
    CHECK_FALSE(bench.results[0].hasSentBytes);
}

TEST_CASE("A cancelled call is withdrawn from the target on another connection")
{
    Bench bench(2);
    bench.send("7-1");
    REQUIRE(bench.runUntil([&] { return bench.target.requests.size() == 1; }));
    bench.pool->cancel("7-1");
    REQUIRE(bench.runUntil([&] { return bench.target.requests.size() == 2; }));
    CHECK(bench.target.requests[1].message.method == "DELETE");
    CHECK(bench.target.requests[1].message.target == "/v1/requests/7-1");
    CHECK(bench.target.requests[1].connection != bench.target.requests[0].connection);
    bench.target.answer(1);

    SECTION("its connection is kept where the target answers soon")
    {
        bench.target.answer(0);
        REQUIRE(bench.runUntil([&] { return bench.results.size() == 1; }));
        CHECK(bench.results[0].end == HttpResult::End::Responded);
        CHECK(bench.pool->openConnections() == 2);
    }

    SECTION("a silent connection is closed, and the target known to answer")
    {
        REQUIRE(bench.runUntil([&] { return bench.results.size() == 1; }));
        CHECK(bench.results[0].end == HttpResult::End::TimedOut);
        CHECK(bench.results[0].hasSentBytes);
        CHECK(bench.results[0].isTargetResponsive);
        CHECK(bench.pool->silentConnections() == 1);
        CHECK(bench.pool->openConnections() == 1);
    }
}

TEST_CASE("An idle connection that the target closes is replaced")
{
    Bench bench(1);
    bench.send("1");
    REQUIRE(bench.runUntil([&] { return bench.target.requests.size() == 1; }));
    bench.target.answer(0);
    REQUIRE(bench.runUntil([&] { return bench.results.size() == 1; }));
    bench.target.connections[0]->close();
    REQUIRE(bench.runUntil([&] { return bench.pool->openConnections() == 0; }));
    bench.send("2");
    REQUIRE(bench.runUntil([&] { return bench.target.requests.size() == 2; }));
    CHECK(bench.target.accepted == 2);
}

TEST_CASE("A request to a target that takes no connection ends unsent")
{
    Bench bench(1);
    bench.target.acceptor.close();
    bench.send("1");
    REQUIRE(bench.runUntil([&] { return bench.results.size() == 1; }));
    CHECK(bench.results[0].end == HttpResult::End::ConnectFailed);
    CHECK_FALSE(bench.results[0].hasSentBytes);
}
