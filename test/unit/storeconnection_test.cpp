#include <memory>
#include <optional>
#include <string>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "entry/storeconnection.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// A connection to a scripted store that leaves the first request without a response. The clock
/// stands still.
class StoreFixture
{
public:
    StoreFixture()
        : m_server(m_io, [this](const ScriptedServer::ConnectionPtr &each) { m_pending = each; })
        , m_connection(m_io, {"127.0.0.1", m_server.endpoint().port()})
        , m_waker(m_io)
    {
    }

    void get(std::chrono::milliseconds timeout)
    {
        m_connection.get("/x", timeout,
                         [this](StoreConnection::Result result) { m_result = std::move(result); });
    }
    bool runUntilRequested()
    {
        return runUntil(m_io, [this] { return !m_pending.expired(); });
    }
    void send(const std::string &bytes) { m_pending.lock()->send(bytes); }
    void poll() { m_io.poll(); }
    /// Lets time pass during one turn of the event loop. `during` runs before the timers that have
    /// expired by then, and the sockets are not looked at in between.
    void standStill(Clock::duration time, const std::function<void()> &during)
    {
        m_clock.advance(time);
        m_waker.expires_at(Clock::time_point());
        m_waker.async_wait([during](const asio::error_code &) { during(); });
    }
    const StoreConnection::Result &result()
    {
        REQUIRE(runUntil(m_io, [this] { return m_result.has_value(); }));
        return *m_result;
    }

private:
    PausedClock m_clock;
    asio::io_context m_io;
    std::weak_ptr<ScriptedServer::Connection> m_pending;
    ScriptedServer m_server;
    StoreConnection m_connection;
    asio::basic_waitable_timer<Clock> m_waker;
    std::optional<StoreConnection::Result> m_result;
};

} // namespace

TEST_CASE("A response of the store that has arrived before a busy thread looks at its time limit")
{
    StoreFixture store;
    store.get(500ms);
    REQUIRE(store.runUntilRequested());

    SECTION("is taken")
    {
        store.standStill(
            600ms, [&store] { store.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"); });
        REQUIRE(store.result());
        CHECK(store.result()->body == "body");
    }
    SECTION("is taken if a part of it was read before")
    {
        store.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo");
        store.poll();
        store.standStill(600ms, [&store] { store.send("dy"); });
        REQUIRE(store.result());
        CHECK(store.result()->body == "body");
    }
    SECTION("is a timeout if a part of it is missing")
    {
        store.standStill(
            600ms, [&store] { store.send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbod"); });
        REQUIRE_FALSE(store.result());
        CHECK(store.result().error() == "timeout");
    }
}
