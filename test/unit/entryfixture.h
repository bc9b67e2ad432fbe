#pragma once

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "entry/requestexchange.h"
#include "entry/requestfilters.h"
#include "http/callerlistener.h"
#include "platform/platformadapter.h"
#include "scriptedserver.h"

namespace mangoshift {

/// A target that leaves each request pending until the test responds.
class PendingTarget
{
public:
    PendingTarget(asio::io_context &io, std::string id, std::string service)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_server(io, [this](const ScriptedServer::ConnectionPtr &each) { onBytes(each); })
    {
    }

    RegisteredTarget listing(std::uint32_t slots) const
    {
        RegisteredTarget target;
        target.id = m_id;
        target.service = m_service;
        target.address = "127.0.0.1:" + std::to_string(m_server.endpoint().port());
        target.slots = slots;
        return target;
    }
    /// Returns the ids of the requests that have arrived, in order.
    const std::vector<std::string> &arrived() const { return m_arrived; }
    /// Responds to the latest request.
    void respond(const std::string &statusLine = "200 OK",
                 const std::string &header = "X-Server-Stamp: s")
    {
        m_latest.lock()->send("HTTP/1.1 " + statusLine + "\r\nX-Request-Id: " + m_arrived.back()
                              + "\r\n" + header + "\r\nContent-Length: 0\r\n\r\n");
    }
    /// Sends bytes in response to the latest request.
    void sendBytes(const std::string &bytes) { m_latest.lock()->send(bytes); }
    /// Closes the connection of the latest request.
    void closeConnection() { m_latest.lock()->close(); }
    /// Returns the number of connections that were accepted.
    std::size_t connections() const { return m_server.accepted(); }

private:
    void onBytes(const ScriptedServer::ConnectionPtr &connection)
    {
        const std::string name = "X-Request-Id: ";
        const std::size_t at = connection->received.find(name) + name.size();
        m_arrived.push_back(
            connection->received.substr(at, connection->received.find("\r\n", at) - at));
        connection->received.clear();
        m_latest = connection;
    }

    std::string m_id;
    std::string m_service;
    std::vector<std::string> m_arrived;
    std::weak_ptr<ScriptedServer::Connection> m_latest;
    ScriptedServer m_server;
};

/// What the entry duty consists of, on a thread and a clock that the test controls.
///
/// The route `one` forwards requests, which may run only once, to the service `a`, and `safe` does
/// the same with requests that may run twice; `all` fans out over `a` and `b`, of which one
/// suffices. The time limit is 4 s, the latency target 1 s.
class EntryFixture
{
public:
    /// A caller with one connection.
    class Caller
    {
    public:
        Caller(asio::io_context &io, const Address &address)
            : m_socket(io)
        {
            m_socket.connect({asio::ip::make_address(address.ip), address.port});
            read();
        }
        void send(const std::string &route, const std::string &id)
        {
            asio::write(m_socket,
                        asio::buffer("GET /" + route + "/x HTTP/1.1\r\nHost: shop.example\r\n"
                                     + "X-Request-Id: " + id + "\r\n\r\n"));
        }
        void finishSending() { m_socket.shutdown(asio::ip::tcp::socket::shutdown_send); }
        void close() { m_socket.close(); }
        /// Closes the connection with a TCP reset.
        void reset()
        {
            m_socket.set_option(asio::socket_base::linger(true, 0));
            m_socket.close();
        }
        bool hasReceived(const std::string &text) const
        {
            return m_received.find(text) != std::string::npos;
        }
        const std::string &received() const { return m_received; }

    private:
        void read()
        {
            m_socket.async_read_some(asio::buffer(m_buffer),
                                     [this](const asio::error_code &error, std::size_t size) {
                                         m_received.append(m_buffer.data(), size);
                                         if (!error)
                                             read();
                                     });
        }

        asio::ip::tcp::socket m_socket;
        std::array<char, 4096> m_buffer{};
        std::string m_received;
    };

    explicit EntryFixture(const RetryBudgetTerms &budget = {0.0, 1000.0, std::chrono::minutes(1)})
        : m_state{m_io,
                  m_adapter,
                  m_metrics,
                  TargetDirectory(m_io, m_adapter, m_metrics, 1,
                                  [this](const PermitRequest &request) {
                                      m_permitRequests.push_back(request);
                                  }),
                  {},
                  RetryBudgets(m_io, budget, 1,
                               [this](const BudgetRequest &request) {
                                   m_budgetRequests.push_back(request);
                               }),
                  std::chrono::milliseconds(10)}
        , m_filters(m_adapter.headers)
        , m_callers(m_io, 16, callerEvents())
        , m_waker(m_io)
    {
        RoutingDocument document;
        document.version = 1;
        document.routes = {route("one", false, ForwardTo{{{"a", 1.0}}}),
                           route("safe", true, ForwardTo{{{"a", 1.0}}}),
                           route("all", true, FanOutTo{{"a", "b"}, 5, 0.5})};
        document.services = {{"a", {64}}, {"b", {64}}};
        m_routing = std::make_shared<const RoutingTable>(std::move(document));
        m_state.directory.setRouting(m_routing);
        {
            const asio::ip::tcp::acceptor acceptor(
                m_io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            m_address = {"127.0.0.1", acceptor.local_endpoint().port()};
        }
        REQUIRE(m_callers.listen(m_address));
    }

    /// Adds a target, which lives as long as the fixture.
    PendingTarget &addTarget(const std::string &id, const std::string &service,
                             std::uint32_t slots = 2)
    {
        m_targets.push_back(std::make_unique<PendingTarget>(m_io, id, service));
        m_state.directory.apply({TargetListed{m_targets.back()->listing(slots)}}, Clock::now());
        return *m_targets.back();
    }
    Caller &addCaller()
    {
        m_connectedCallers.push_back(std::make_unique<Caller>(m_io, m_address));
        return *m_connectedCallers.back();
    }

    bool run(const std::function<bool()> &isDone) { return runUntil(m_io, isDone); }
    bool runUntilArrived(const PendingTarget &target, std::size_t count = 1)
    {
        return run([&] { return target.arrived().size() >= count; });
    }
    bool runUntilReceived(const Caller &caller, const std::string &text)
    {
        return run([&] { return caller.hasReceived(text); });
    }
    /// Runs until a caller is known to have closed its sending side, or to have left.
    bool runUntilLeft()
    {
        return run([this] { return m_hasCallerLeft; });
    }
    /// Handles all events of the present time.
    void poll() { m_io.poll(); }
    /// Lets time pass while the event loop has nothing to do, and sweeps as the entry duty does.
    void advance(Clock::duration time)
    {
        poll();
        bool haveTimersExpired = false;
        standStill(time, [&haveTimersExpired] { haveTimersExpired = true; });
        REQUIRE(run([&haveTimersExpired] { return haveTimersExpired; }));
        poll();
        m_state.directory.sweep(Clock::now());
        poll();
    }
    /// Lets time pass during one turn of the event loop. `during` runs before the timers that have
    /// expired by then, and the sockets are not looked at in between.
    void standStill(Clock::duration time, std::function<void()> during)
    {
        m_clock.advance(time);
        m_waker.expires_at(Clock::time_point());
        m_waker.async_wait([during = std::move(during)](const asio::error_code &) { during(); });
    }

    /// Ends all requests as a stop of the entry duty does, in the order of their ids.
    void endRequests()
    {
        std::map<std::string, std::shared_ptr<RequestExchange>> exchanges;
        for (const auto &[connection, exchange] : m_exchanges)
            exchanges.emplace(exchange->request().id, exchange);
        for (const auto &[id, exchange] : exchanges)
            exchange->endSending(Reason::Draining);
        for (const auto &[id, exchange] : exchanges)
            exchange->finishNow(Reason::Draining);
    }

    EntryState &state() { return m_state; }
    RequestExchange &exchange() { return *m_exchanges.begin()->second; }
    std::size_t requestsInFlight() const { return m_exchanges.size(); }
    const std::vector<BudgetRequest> &budgetRequests() const { return m_budgetRequests; }
    const std::vector<PermitRequest> &permitRequests() const { return m_permitRequests; }

private:
    static Route route(const std::string &name, bool isIdempotent, Destination destination)
    {
        Route route;
        route.name = name;
        route.host = "shop.example";
        route.pathPrefix = "/" + name + "/";
        route.isIdempotent = isIdempotent;
        route.timeout = std::chrono::seconds(4);
        route.latencyTarget = std::chrono::seconds(1);
        route.maxAttempts = 2;
        route.destination = std::move(destination);
        return route;
    }
    std::shared_ptr<RequestExchange> exchangeOf(const CallerConnectionPtr &connection) const
    {
        const auto it = m_exchanges.find(connection);
        return it == m_exchanges.end() ? nullptr : it->second;
    }
    CallerEvents callerEvents()
    {
        CallerEvents events;
        events.onRequest = [this](const CallerConnectionPtr &connection, HttpRequest http) {
            IncomingRequest request;
            request.connection = connection;
            request.http = std::move(http);
            request.receivedAt = Clock::now();
            request.routing = m_routing;
            REQUIRE_FALSE(m_filters.apply(request));
            const auto exchange = std::make_shared<RequestExchange>(
                m_state, std::move(request),
                [this](const auto &ended) { m_exchanges.erase(ended->request().connection); });
            m_exchanges.emplace(connection, exchange);
            exchange->start();
        };
        events.onCallerDisconnected = [this](const CallerConnectionPtr &connection,
                                             ConnectionEnd::Cause cause) {
            m_hasCallerLeft = true;
            if (const auto exchange = exchangeOf(connection))
                exchange->onCallerDisconnected(cause);
        };
        events.onCallerFinished = [this](const CallerConnectionPtr &connection) {
            m_hasCallerLeft = true;
            if (const auto exchange = exchangeOf(connection))
                exchange->onCallerFinished();
        };
        events.onRejected = [](int) {};
        return events;
    }

    PausedClock m_clock;
    asio::io_context m_io;
    Metrics m_metrics;
    WireAdapter m_adapter = platform::adapter();
    std::vector<PermitRequest> m_permitRequests;
    std::vector<BudgetRequest> m_budgetRequests;
    EntryState m_state;
    RoutingTablePtr m_routing;
    RequestFilterChain m_filters;
    bool m_hasCallerLeft = false;
    std::unordered_map<CallerConnectionPtr, std::shared_ptr<RequestExchange>> m_exchanges;
    CallerListener m_callers;
    asio::basic_waitable_timer<Clock> m_waker;
    Address m_address;
    std::vector<std::unique_ptr<PendingTarget>> m_targets;
    std::vector<std::unique_ptr<Caller>> m_connectedCallers;
};

} // namespace mangoshift
