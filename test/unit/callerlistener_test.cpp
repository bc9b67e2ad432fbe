#include <catch2/catch.hpp>

#include <asio/read.hpp>
#include <asio/write.hpp>

#include "http/callerlistener.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// A free port of 127.0.0.1.
Address freeAddress(asio::io_context &io)
{
    const asio::ip::tcp::acceptor acceptor(
        io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// A listener with one caller, whose requests wait until the test answers them.
class Conversation
{
public:
    Conversation()
        : m_listener(m_io, 16, events())
        , m_caller(m_io)
    {
        const Address address = freeAddress(m_io);
        REQUIRE(m_listener.listen(address));
        m_caller.connect({asio::ip::make_address(address.ip), address.port});
        read();
    }

    void say(const std::string &bytes) { asio::write(m_caller, asio::buffer(bytes)); }
    void ask(const std::string &path)
    {
        say("GET " + path + " HTTP/1.1\r\nHost: shop.example\r\n\r\n");
    }
    void answer(const std::string &body)
    {
        HttpResponse response;
        response.status = 200;
        response.body = body;
        m_asked.back()->respond(std::move(response));
    }
    bool run(const std::function<bool()> &isDone) { return runUntil(m_io, isDone); }
    bool runUntilAsked(std::size_t count)
    {
        return run([this, count] { return m_requests.size() >= count; });
    }
    bool hears(const std::string &text)
    {
        return run([&] { return m_heard.find(text) != std::string::npos; });
    }
    bool isEnded()
    {
        return run([this] { return m_isEnded; });
    }
    void leave() { m_caller.close(); }

    CallerListener &listener() { return m_listener; }
    const std::vector<HttpRequest> &requests() const { return m_requests; }
    const std::string &heard() const { return m_heard; }
    std::size_t left() const { return m_left; }

private:
    CallerEvents events()
    {
        CallerEvents events;
        events.onRequest = [this](const CallerConnectionPtr &connection, HttpRequest request) {
            m_asked.push_back(connection);
            m_requests.push_back(std::move(request));
        };
        events.onCallerDisconnected = [this](const CallerConnectionPtr &) { ++m_left; };
        events.onRejected = [](int) {};
        return events;
    }
    void read()
    {
        m_caller.async_read_some(asio::buffer(m_buffer),
                                 [this](const asio::error_code &error, std::size_t size) {
                                     m_heard.append(m_buffer.data(), size);
                                     if (error)
                                         m_isEnded = true;
                                     else
                                         read();
                                 });
    }

    asio::io_context m_io;
    std::vector<CallerConnectionPtr> m_asked;
    std::vector<HttpRequest> m_requests;
    std::size_t m_left = 0;
    CallerListener m_listener;
    asio::ip::tcp::socket m_caller;
    std::array<char, 4096> m_buffer{};
    std::string m_heard;
    bool m_isEnded = false;
};

} // namespace

TEST_CASE("A caller's connection")
{
    Conversation talk;
    talk.ask("/one");
    REQUIRE(talk.runUntilAsked(1));

    SECTION("carries one request after the other")
    {
        talk.answer("first");
        REQUIRE(talk.hears("first"));
        talk.ask("/two");
        REQUIRE(talk.runUntilAsked(2));
        talk.answer("second");
        CHECK(talk.hears("second"));
        CHECK(talk.requests()[1].target == "/two");
    }
    SECTION("keeps a request that comes early until the one before is answered")
    {
        talk.ask("/two");
        talk.answer("first");
        REQUIRE(talk.runUntilAsked(2));
        talk.answer("second");
        REQUIRE(talk.hears("second"));
        CHECK(talk.heard().find("first") < talk.heard().find("second"));
    }
    SECTION("shows at once that the caller has left")
    {
        talk.leave();
        CHECK(talk.run([&] { return talk.left() == 1; }));
        CHECK(talk.listener().connections() == 0);
    }
    SECTION("ends after the answer once the VM is leaving")
    {
        talk.listener().closeAfterResponses();
        talk.answer("last");
        CHECK(talk.hears("Connection: close"));
        CHECK(talk.hears("last"));
        CHECK(talk.isEnded());
    }
    SECTION("is not closed as idle while a request is under way")
    {
        talk.listener().closeIdle();
        talk.answer("first");
        CHECK(talk.hears("first"));
        talk.listener().closeIdle();
        CHECK(talk.isEnded());
        CHECK(talk.left() == 0);
    }
}

TEST_CASE("A caller's connection that carries no acceptable request is answered and closed")
{
    Conversation talk;
    CallerLimits limits;
    limits.headerBytes = 200;
    limits.bodyBytes = 10;
    talk.listener().setLimits(limits);

    SECTION("with 400 where the bytes are no request")
    {
        talk.say("nonsense\r\n\r\n");
        CHECK(talk.hears("HTTP/1.1 400"));
        CHECK(talk.isEnded());
    }
    SECTION("with 431 and 413 where it is too large, by the limits in force")
    {
        // The limits reach open connections with the next sweep.
        REQUIRE(talk.run([&] { return talk.listener().connections() == 1; }));
        talk.listener().sweep(Clock::now());
        SECTION("431")
        {
            talk.say("GET / HTTP/1.1\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
            CHECK(talk.hears("HTTP/1.1 431"));
        }
        SECTION("413")
        {
            talk.say("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
            CHECK(talk.hears("HTTP/1.1 413"));
        }
    }
    SECTION("with 408 where the headers do not end in time")
    {
        talk.say("GET / HTTP/1.1\r\n");
        REQUIRE(talk.run([&] {
            talk.listener().sweep(Clock::now() + 1h);
            return talk.heard().find("HTTP/1.1 408") != std::string::npos
                || talk.listener().connections() == 0;
        }));
        CHECK(talk.requests().empty());
    }
}

TEST_CASE("A caller that waits for a word before its body gets it")
{
    Conversation talk;
    talk.say("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n");
    REQUIRE(talk.hears("HTTP/1.1 100 Continue"));
    talk.say("abc");
    REQUIRE(talk.runUntilAsked(1));
    CHECK(talk.requests().front().body == "abc");
}

TEST_CASE("An idle connection is closed after the idle time-out and not before")
{
    Conversation talk;
    REQUIRE(talk.run([&] { return talk.listener().connections() == 1; }));
    const Clock::time_point now = Clock::now();
    talk.listener().sweep(now + CallerLimits().idleTimeout);
    talk.ask("/one");
    REQUIRE(talk.runUntilAsked(1));
    talk.answer("ok");
    REQUIRE(talk.hears("ok"));
    talk.listener().sweep(Clock::now() + CallerLimits().idleTimeout + 2s);
    CHECK(talk.isEnded());
}
