#include <catch2/catch.hpp>

#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "http/callerlistener.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// Returns an address with a free port on 127.0.0.1.
Address freeAddress(asio::io_context &io)
{
    const asio::ip::tcp::acceptor acceptor(
        io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// A listener with one connected caller. Requests stay pending until the test responds.
class ListenerFixture
{
public:
    /// What happens when a caller closes its sending side before the response.
    enum class FinishedCallers { Disconnected, Served };

    explicit ListenerFixture(FinishedCallers finishedCallers = FinishedCallers::Disconnected)
        : m_finishedCallers(finishedCallers)
        , m_listener(m_io, 16, events())
        , m_caller(m_io)
        , m_timer(m_io)
    {
        const Address address = freeAddress(m_io);
        REQUIRE(m_listener.listen(address));
        m_caller.connect({asio::ip::make_address(address.ip), address.port});
        read();
    }

    void send(const std::string &bytes) { asio::write(m_caller, asio::buffer(bytes)); }
    void sendRequest(const std::string &path)
    {
        send("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    }
    void respond(const std::string &body)
    {
        HttpResponse response;
        response.status = 200;
        response.body = body;
        m_connections.back()->respond(std::move(response));
    }
    asio::ip::tcp::endpoint listenerEndpoint() { return m_caller.remote_endpoint(); }
    /// Runs a task in the next turn of the event loop, after what has arrived by then.
    void runSoon(std::function<void()> task)
    {
        m_timer.expires_after(0ms);
        m_timer.async_wait([task = std::move(task)](const asio::error_code &) { task(); });
    }
    /// Handles what has arrived.
    void poll() { m_io.poll(); }
    bool run(const std::function<bool()> &isDone) { return runUntil(m_io, isDone); }
    bool runUntilRequests(std::size_t count)
    {
        return run([this, count] { return m_requests.size() >= count; });
    }
    bool receives(const std::string &text)
    {
        return run([&] { return m_received.find(text) != std::string::npos; });
    }
    bool waitUntilClosed()
    {
        return run([this] { return m_isClosed; });
    }
    void disconnect() { m_caller.close(); }
    /// Sends as many of the bytes as the sockets take.
    void sendWhatFits(const std::string &bytes)
    {
        asio::error_code ignored;
        m_caller.non_blocking(true);
        m_caller.write_some(asio::buffer(bytes), ignored);
    }
    /// Requests with this path are responded to as soon as they arrive.
    void refuseAtOnce(std::string path) { m_refusedPath = std::move(path); }
    void finishSending() { m_caller.shutdown(asio::ip::tcp::socket::shutdown_send); }
    /// Closes the connection with a TCP reset.
    void reset()
    {
        m_caller.set_option(asio::socket_base::linger(true, 0));
        m_caller.close();
    }
    bool runUntilEnded()
    {
        return run([this] { return !m_ends.empty(); });
    }

    CallerListener &listener() { return m_listener; }
    const std::vector<HttpRequest> &requests() const { return m_requests; }
    const std::string &received() const { return m_received; }
    std::size_t disconnections() const { return m_disconnections; }
    std::size_t finished() const { return m_finished; }
    const std::vector<ConnectionEnd> &ends() const { return m_ends; }

private:
    CallerEvents events()
    {
        CallerEvents events;
        events.onRequest = [this](const CallerConnectionPtr &connection, HttpRequest request) {
            const bool isRefused = request.target == m_refusedPath;
            m_connections.push_back(connection);
            m_requests.push_back(std::move(request));
            if (isRefused)
                connection->respond({503, {}, {}, true});
        };
        events.onCallerDisconnected = [this](const CallerConnectionPtr &, ConnectionEnd::Cause) {
            ++m_disconnections;
        };
        if (m_finishedCallers == FinishedCallers::Served)
            events.onCallerFinished = [this](const CallerConnectionPtr &) { ++m_finished; };
        events.onEnded = [this](const ConnectionEnd &end) { m_ends.push_back(end); };
        events.onRejected = [](int) {};
        return events;
    }
    void read()
    {
        m_caller.async_read_some(asio::buffer(m_buffer),
                                 [this](const asio::error_code &error, std::size_t size) {
                                     m_received.append(m_buffer.data(), size);
                                     if (error)
                                         m_isClosed = true;
                                     else
                                         read();
                                 });
    }

    FinishedCallers m_finishedCallers;
    std::string m_refusedPath;
    asio::io_context m_io;
    std::vector<CallerConnectionPtr> m_connections;
    std::vector<HttpRequest> m_requests;
    std::size_t m_disconnections = 0;
    std::size_t m_finished = 0;
    std::vector<ConnectionEnd> m_ends;
    CallerListener m_listener;
    asio::ip::tcp::socket m_caller;
    asio::steady_timer m_timer;
    std::array<char, 4096> m_buffer{};
    std::string m_received;
    bool m_isClosed = false;
};

} // namespace

TEST_CASE("A caller's connection")
{
    ListenerFixture fixture;
    fixture.sendRequest("/one");
    REQUIRE(fixture.runUntilRequests(1));

    SECTION("serves requests one after another")
    {
        fixture.respond("first");
        REQUIRE(fixture.receives("first"));
        fixture.sendRequest("/two");
        REQUIRE(fixture.runUntilRequests(2));
        fixture.respond("second");
        CHECK(fixture.receives("second"));
        CHECK(fixture.requests()[1].target == "/two");
    }
    SECTION("holds back a pipelined request until the previous one is answered")
    {
        fixture.sendRequest("/two");
        fixture.respond("first");
        REQUIRE(fixture.runUntilRequests(2));
        fixture.respond("second");
        REQUIRE(fixture.receives("second"));
        CHECK(fixture.received().find("first") < fixture.received().find("second"));
    }
    SECTION("reports at once that the caller disconnected")
    {
        fixture.disconnect();
        CHECK(fixture.run([&] { return fixture.disconnections() == 1; }));
        CHECK(fixture.listener().connections() == 0);
    }
    SECTION("is closed after the response while the VM is draining")
    {
        fixture.listener().closeAfterResponses();
        fixture.respond("last");
        CHECK(fixture.receives("Connection: close"));
        CHECK(fixture.receives("last"));
        CHECK(fixture.waitUntilClosed());
    }
    SECTION("is not closed as idle while a request is pending")
    {
        fixture.listener().closeIdle();
        fixture.respond("first");
        CHECK(fixture.receives("first"));
        fixture.listener().closeIdle();
        CHECK(fixture.waitUntilClosed());
        CHECK(fixture.disconnections() == 0);
    }
}

TEST_CASE("A listener reports how a connection ended")
{
    using Cause = ConnectionEnd::Cause;
    ListenerFixture fixture;
    fixture.sendRequest("/one");
    REQUIRE(fixture.runUntilRequests(1));

    SECTION("when the caller closed it before the response")
    {
        fixture.disconnect();
        REQUIRE(fixture.runUntilEnded());
        CHECK(fixture.ends().front().cause == Cause::CallerClosed);
        CHECK(fixture.ends().front().phase == CallerPhase::Working);
    }
    SECTION("when it was reset before the response")
    {
        fixture.reset();
        REQUIRE(fixture.runUntilEnded());
        CHECK(fixture.ends().front().cause == Cause::CallerReset);
        CHECK(fixture.ends().front().phase == CallerPhase::Working);
    }
    SECTION("when the response was its last one, with what the caller has sent since")
    {
        fixture.listener().closeAfterResponses();
        fixture.respond("last");
        fixture.send("late");
        REQUIRE(fixture.waitUntilClosed());
        fixture.disconnect();
        REQUIRE(fixture.runUntilEnded());
        CHECK(fixture.ends().front().cause == Cause::LastAnswer);
        CHECK(fixture.ends().front().phase == CallerPhase::Closing);
        CHECK(fixture.ends().front().unusedBytes == 4);
    }
}

// Guards against a request that is run and never answered, because its owner still held the
// previous request of the connection when it arrived.
TEST_CASE("A pipelined request is passed on only after the call of respond has returned")
{
    ListenerFixture fixture;
    const std::string headers = " HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    fixture.send("GET /one" + headers + "GET /two" + headers);
    REQUIRE(fixture.runUntilRequests(1));
    fixture.respond("first");
    CHECK(fixture.requests().size() == 1);
    REQUIRE(fixture.runUntilRequests(2));
    fixture.respond("second");
    CHECK(fixture.receives("second"));
}

TEST_CASE("An invalid request from a caller is rejected and its connection closed")
{
    ListenerFixture fixture;
    CallerLimits limits;
    limits.headerBytes = 200;
    limits.bodyBytes = 10;
    fixture.listener().setLimits(limits);

    SECTION("with 400 if the bytes are not an HTTP request")
    {
        fixture.send("nonsense\r\n\r\n");
        CHECK(fixture.receives("HTTP/1.1 400"));
        CHECK(fixture.waitUntilClosed());
    }
    SECTION("with 431 or 413 if it exceeds the size limits in force")
    {
        // New limits apply to open connections from the next sweep.
        REQUIRE(fixture.run([&] { return fixture.listener().connections() == 1; }));
        fixture.listener().sweep(Clock::now());
        SECTION("431")
        {
            fixture.send("GET / HTTP/1.1\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
            CHECK(fixture.receives("HTTP/1.1 431"));
        }
        SECTION("413")
        {
            fixture.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
            CHECK(fixture.receives("HTTP/1.1 413"));
        }
    }
    SECTION("with 408 if the headers are not complete in time")
    {
        fixture.send("GET / HTTP/1.1\r\n");
        REQUIRE(fixture.run([&] {
            fixture.listener().sweep(Clock::now() + 1h);
            return fixture.received().find("HTTP/1.1 408") != std::string::npos
                || fixture.listener().connections() == 0;
        }));
        CHECK(fixture.requests().empty());
    }
}

TEST_CASE("A caller that expects 100 Continue before sending its body receives it")
{
    ListenerFixture fixture;
    fixture.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    REQUIRE(fixture.receives("HTTP/1.1 100 Continue"));
    fixture.send("abc");
    REQUIRE(fixture.runUntilRequests(1));
    CHECK(fixture.requests().front().body == "abc");
}

// Guards against a connection that is closed as idle while a whole request lies in its socket.
TEST_CASE("A request that has arrived before its connection counts as overdue is answered")
{
    ListenerFixture fixture;
    REQUIRE(fixture.run([&] { return fixture.listener().connections() == 1; }));

    SECTION("when the idle limit has passed before the busy thread read it")
    {
        fixture.sendRequest("/one");
        fixture.listener().sweep(Clock::now() + 1h);
    }
    SECTION("when idle connections are closed before the busy thread read it")
    {
        fixture.sendRequest("/one");
        fixture.listener().closeIdle();
    }
    SECTION("when the time for its headers has passed before the busy thread read the rest")
    {
        fixture.send("GET /one HTTP/1.1\r\n");
        fixture.poll();
        fixture.send("Host: shop.example\r\n\r\n");
        fixture.listener().sweep(Clock::now() + 1h);
    }
    REQUIRE(fixture.runUntilRequests(1));
    fixture.respond("answer");
    CHECK(fixture.receives("answer"));
}

TEST_CASE(
    "A configuration with a shorter idle limit closes no connection that is idle by a longer one")
{
    ListenerFixture fixture;
    CallerLimits limits;
    limits.idleTimeout = 60s;
    fixture.listener().setLimits(limits);
    fixture.listener().sweep(Clock::now());
    fixture.sendRequest("/one");
    REQUIRE(fixture.runUntilRequests(1));
    fixture.respond("first");
    REQUIRE(fixture.receives("first"));

    limits.idleTimeout = 5s;
    fixture.listener().setLimits(limits);
    fixture.listener().sweep(Clock::now() + 50s);
    fixture.sendRequest("/two");
    REQUIRE(fixture.runUntilRequests(2));
    fixture.respond("second");
    CHECK(fixture.receives("second"));
    fixture.listener().sweep(Clock::now() + 10s);
    CHECK(fixture.waitUntilClosed());
}

// Guards against connections that the system resets because the VM had not taken them yet.
TEST_CASE("A connection that was made before the listener stopped to accept is served")
{
    ListenerFixture fixture;
    fixture.sendRequest("/one");

    SECTION("when the thread had not taken it")
    {
        fixture.listener().stopAccepting();
    }
    SECTION("when the thread had taken it and not handled it")
    {
        // The event loop takes the second connection together with the first.
        asio::io_context otherIo;
        asio::ip::tcp::socket other(otherIo);
        other.connect(fixture.listenerEndpoint());
        asio::write(other, asio::buffer(std::string("GET /two HTTP/1.1\r\nHost: a\r\n\r\n")));
        fixture.runSoon([&fixture] { fixture.listener().stopAccepting(); });
        REQUIRE(fixture.runUntilRequests(2));
    }
    REQUIRE(fixture.runUntilRequests(1));
}

TEST_CASE("A caller that closes its sending side after a whole request")
{
    ListenerFixture fixture(ListenerFixture::FinishedCallers::Served);
    fixture.sendRequest("/one");
    fixture.finishSending();
    REQUIRE(fixture.runUntilRequests(1));
    REQUIRE(fixture.run([&] { return fixture.finished() == 1; }));

    SECTION("gets the response, and the connection ends")
    {
        fixture.respond("answer");
        CHECK(fixture.receives("Connection: close"));
        CHECK(fixture.receives("answer"));
        CHECK(fixture.waitUntilClosed());
        CHECK(fixture.disconnections() == 0);
        CHECK(fixture.ends().front().cause == ConnectionEnd::Cause::LastAnswer);
    }
    SECTION("gets a response that is larger than what the socket takes at once")
    {

        const std::string body(8U << 20U, 'x');
        fixture.respond(body);
        REQUIRE(fixture.waitUntilClosed());
        CHECK(fixture.received().size() > body.size());
    }
}

TEST_CASE("All requests that a caller has pipelined are answered before the connection ends")
{
    ListenerFixture fixture(ListenerFixture::FinishedCallers::Served);
    const std::string headers = " HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    fixture.send("GET /one" + headers + "GET /two" + headers);
    REQUIRE(fixture.runUntilRequests(1));

    SECTION("when the VM closes connections after their responses")
    {
        fixture.listener().closeAfterResponses();
    }
    SECTION("when the caller has closed its sending side")
    {
        fixture.finishSending();
        REQUIRE(fixture.run([&] { return fixture.finished() == 1; }));
    }
    SECTION("when the caller closes its sending side while the first response is written")
    {
        fixture.respond("first");
        fixture.finishSending();
        REQUIRE(fixture.runUntilRequests(2));
        fixture.respond("second");
        CHECK(fixture.waitUntilClosed());
        CHECK(fixture.received().find("second") != std::string::npos);
        return;
    }
    fixture.respond("first");
    REQUIRE(fixture.runUntilRequests(2));
    fixture.respond("second");
    CHECK(fixture.waitUntilClosed());
    CHECK(fixture.received().find("second") != std::string::npos);
    CHECK(fixture.received().find("Connection: close") > fixture.received().find("first"));
}

TEST_CASE("A pipelined request that is refused at once does not end those behind it")
{
    ListenerFixture fixture(ListenerFixture::FinishedCallers::Served);
    fixture.refuseAtOnce("/two");
    const std::string headers = " HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    fixture.send("GET /one" + headers + "GET /two" + headers + "GET /three" + headers);
    REQUIRE(fixture.runUntilRequests(1));
    fixture.finishSending();
    REQUIRE(fixture.run([&] { return fixture.finished() == 1; }));
    fixture.respond("first");
    REQUIRE(fixture.runUntilRequests(3));
    fixture.respond("third");
    CHECK(fixture.receives("third"));
}

// Guards against a caller that holds up the thread by sending more requests while it is served.
TEST_CASE("A sweep handles a bounded number of requests of a caller that sends on and on")
{
    ListenerFixture fixture;
    REQUIRE(fixture.run([&] { return fixture.listener().connections() == 1; }));
    fixture.refuseAtOnce("/x");
    std::string many;
    while (many.size() < (1U << 20U))
        many += "GET /x HTTP/1.1\r\nHost: shop.example\r\n\r\n";
    fixture.sendWhatFits(many);
    fixture.listener().sweep(Clock::now() + 1h);
    CHECK(fixture.requests().size() <= 2);
}

TEST_CASE("An idle connection is closed after the idle timeout and not before")
{
    ListenerFixture fixture;
    REQUIRE(fixture.run([&] { return fixture.listener().connections() == 1; }));
    const Clock::time_point now = Clock::now();
    fixture.listener().sweep(now + CallerLimits().idleTimeout);
    fixture.sendRequest("/one");
    REQUIRE(fixture.runUntilRequests(1));
    fixture.respond("ok");
    REQUIRE(fixture.receives("ok"));
    fixture.listener().sweep(Clock::now() + CallerLimits().idleTimeout + 2s);
    CHECK(fixture.waitUntilClosed());
}
