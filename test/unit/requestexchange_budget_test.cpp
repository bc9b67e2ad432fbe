#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "entry/requestexchange.h"
#include "http/callerlistener.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// One extra request for each first one, so that the budget shows how many of these were counted.
const RetryBudgetTerms Terms{1.0, 0.0, 10s};

/// Returns an endpoint at which nothing listens.
asio::ip::tcp::endpoint unusedEndpoint(asio::io_context &io)
{
    const asio::ip::tcp::acceptor acceptor(
        io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return acceptor.local_endpoint();
}

/// Takes requests of a caller and forwards them to the targets of one service.
class ForwardingVm
{
public:
    ForwardingVm()
        : m_state{m_io,
                  m_adapter,
                  m_metrics,
                  TargetDirectory(m_io, m_adapter, m_metrics, 1, [](const PermitRequest &) {}),
                  {},
                  RetryBudgets(m_io, Terms, 1, [](const BudgetRequest &) {}),
                  0ms}
        , m_callers(m_io, 10, events())
        , m_caller(m_io)
    {
        m_adapter.headers.target = {"request-id", "time-left", "expected-target"};
        m_adapter.headers.receipt = "receipt";
        m_adapter.headers.notRun = "not-run";
        m_adapter.decodeNotice = [](const HttpResponse &) { return TargetNotice{}; };
        RoutingDocument document;
        Route route;
        route.name = "orders";
        route.host = "shop.example";
        route.pathPrefix = "/";
        route.timeout = 5s;
        route.latencyTarget = 2s;
        route.maxAttempts = 3;
        route.destination = ForwardTo{{{"orders", 1.0}}};
        document.routes = {route};
        document.services["orders"].maxConnections = 10;
        m_routing = std::make_shared<const RoutingTable>(document);
        m_state.directory.setRouting(m_routing);
        const asio::ip::tcp::endpoint endpoint = unusedEndpoint(m_io);
        REQUIRE(m_callers.listen({"127.0.0.1", endpoint.port()}));
        m_caller.connect(endpoint);
    }

    void addTarget(const std::string &id, const asio::ip::tcp::endpoint &endpoint)
    {
        RegisteredTarget target;
        target.id = id;
        target.service = "orders";
        target.address = "127.0.0.1:" + std::to_string(endpoint.port());
        m_state.directory.apply({TargetListed{target}}, Clock::now());
    }
    /// Adds a target at whose address nothing listens.
    void addUnreachableTarget(const std::string &id) { addTarget(id, unusedEndpoint(m_io)); }

    /// Sends a request and waits for its end.
    void sendRequest()
    {
        const std::size_t ended = m_ended;
        asio::write(m_caller,
                    asio::buffer(std::string("GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n")));
        REQUIRE(runUntil(m_io, [this, ended] { return m_ended > ended; }));
    }

    asio::io_context &io() { return m_io; }
    std::uint64_t connectFailures() const { return m_state.directory.counts().connectFailures; }
    /// Returns the extra requests that the requests so far have earned. No request must follow.
    double earnedExtras()
    {
        return m_state.budgets.share("orders").remaining(Clock::now() + Terms.window / 2);
    }

private:
    CallerEvents events()
    {
        CallerEvents events;
        events.onRequest = [this](const CallerConnectionPtr &connection, HttpRequest http) {
            IncomingRequest request;
            request.connection = connection;
            request.http = std::move(http);
            request.receivedAt = Clock::now();
            request.id = "r" + std::to_string(++m_lastRequest);
            request.routing = m_routing;
            request.route = &m_routing->document().routes.front();
            request.deadline = request.receivedAt + request.route->timeout;
            m_exchange = std::make_shared<RequestExchange>(
                m_state, std::move(request),
                [this](const std::shared_ptr<RequestExchange> &) { ++m_ended; });
            m_exchange->start();
        };
        events.onCallerDisconnected = [](const CallerConnectionPtr &, ConnectionEnd::Cause) {};
        events.onRejected = [](int) {};
        return events;
    }

    asio::io_context m_io;
    Metrics m_metrics;
    WireAdapter m_adapter;
    RoutingTablePtr m_routing;
    EntryState m_state;
    std::shared_ptr<RequestExchange> m_exchange;
    std::size_t m_lastRequest = 0;
    std::size_t m_ended = 0;
    CallerListener m_callers;
    asio::ip::tcp::socket m_caller;
};

} // namespace

TEST_CASE("A caller's request earns extra requests once, and only if it reaches a target")
{
    ForwardingVm vm;

    SECTION("none if its target cannot be reached")
    {
        vm.addUnreachableTarget("i-1");
        vm.sendRequest();
        CHECK(vm.connectFailures() == 1);
        CHECK(vm.earnedExtras() == 0);
    }
    SECTION("none if no target can be reached, one after the other")
    {
        vm.addUnreachableTarget("i-1");
        vm.addUnreachableTarget("i-2");
        vm.sendRequest();
        CHECK(vm.connectFailures() == 2);
        CHECK(vm.earnedExtras() == 0);
    }
    SECTION("one each, whether or not another target could not be reached before")
    {
        int arrived = 0;
        ScriptedServer server(vm.io(), [&arrived](const ScriptedServer::ConnectionPtr &connection) {
            if (connection->received.find("\r\n\r\n") == std::string::npos)
                return;
            connection->received.clear();
            ++arrived;
            connection->send("HTTP/1.1 200 OK\r\nreceipt: r\r\nContent-Length: 0\r\n\r\n");
        });
        vm.addTarget("i-1", server.endpoint());
        vm.addUnreachableTarget("i-2");
        constexpr int maxRequests = 1000;
        while (vm.connectFailures() == 0 && arrived < maxRequests)
            vm.sendRequest();
        REQUIRE(vm.connectFailures() > 0);
        CHECK(vm.earnedExtras() == arrived);
    }
}
