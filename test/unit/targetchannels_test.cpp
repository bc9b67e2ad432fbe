#include <catch2/catch.hpp>

#include "http/targetchannels.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const TargetHeaderNames Names{"request-id", "time-left", "expected-target"};

std::string answer(const std::string &id, const std::string &body, const std::string &more = "")
{
    return "HTTP/1.1 200 OK\r\nrequest-id: " + id + "\r\n" + more
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

ForwardedRequestPtr requestOf(const std::string &id)
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

std::string textOf(const TargetCallResult &reply)
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

/// Sends requests over channels to a scripted target and gathers what becomes of them.
class Exchange
{
public:
    explicit Exchange(const ScriptedServer::Script &script, ChannelOptions options = {})
        : m_server(m_io, script)
        , m_channels(m_io, m_server.endpoint(), "t-1", Names, options, m_counts)
    {
    }

    /// Returns how the call for `id` ended.
    std::string call(const std::string &id)
    {
        const std::size_t before = m_ends.size();
        start(id);
        REQUIRE(runUntil(m_io, [&] { return m_ends.size() > before; }));
        return m_ends.back();
    }
    CallNumber start(const std::string &id)
    {
        const auto number = m_channels.call(requestOf(id), [this](const TargetCallResult &reply) {
            m_ends.push_back(textOf(reply));
        });
        REQUIRE(number);
        return *number;
    }
    bool run(const std::function<bool()> &isDone) { return runUntil(m_io, isDone); }

    ScriptedServer &server() { return m_server; }
    TargetChannels &channels() { return m_channels; }
    const ChannelCounts &counts() const { return m_counts; }
    const std::vector<std::string> &ends() const { return m_ends; }

private:
    asio::io_context m_io;
    ChannelCounts m_counts;
    std::vector<std::string> m_ends;
    ScriptedServer m_server;
    TargetChannels m_channels;
};

void answerOwn(const ScriptedServer::PeerPtr &peer)
{
    peer->send(answer(idOf(peer->received), "body of " + idOf(peer->received)));
    peer->received.clear();
}

} // namespace

TEST_CASE("A target that answers")
{
    std::string seen;
    Exchange exchange([&seen](const ScriptedServer::PeerPtr &peer) {
        seen = peer->received;
        answerOwn(peer);
    });
    REQUIRE(exchange.call("r1") == "body of r1");

    SECTION("is told which target is meant and how much time is left")
    {
        CHECK(seen.find("expected-target: t-1\r\n") != std::string::npos);
        const std::size_t at = seen.find("time-left: ");
        REQUIRE(at != std::string::npos);
        const int left = std::stoi(seen.substr(at + 11));
        CHECK(left > 0);
        CHECK(left <= 10000);
    }
    SECTION("is asked again on the same connection")
    {
        CHECK(exchange.call("r2") == "body of r2");
        CHECK(exchange.server().accepted() == 1);
    }
}

TEST_CASE("A target's answer to another request is never taken for one's own")
{
    SECTION("where it comes before the own one")
    {
        Exchange exchange([](const ScriptedServer::PeerPtr &peer) {
            peer->send(answer("stale", "of another"));
            answerOwn(peer);
        });
        CHECK(exchange.call("r1") == "body of r1");
        CHECK(exchange.counts().unexpectedResponses == 1);
    }
    SECTION("where it comes behind the own one, at once")
    {
        Exchange exchange([](const ScriptedServer::PeerPtr &peer) {
            const std::string id = idOf(peer->received);
            peer->send(answer(id, "own") + answer(id, "extra"));
            peer->received.clear();
        });
        CHECK(exchange.call("r1") == "own");
        CHECK(exchange.call("r2") == "own");
        CHECK(exchange.server().accepted() == 2);
    }
    SECTION("where it comes while nobody has asked")
    {
        Exchange exchange(answerOwn);
        exchange.call("r1");
        exchange.server().peers().front()->send(answer("r1", "extra"));
        REQUIRE(exchange.run([&] { return exchange.channels().openConnections() == 0; }));
        CHECK(exchange.call("r2") == "body of r2");
    }
}

TEST_CASE("An answer that is not whole is no answer")
{
    SECTION("where the connection ends in the middle")
    {
        Exchange exchange([](const ScriptedServer::PeerPtr &peer) {
            peer->send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
            peer->close();
        });
        CHECK(exchange.call("r1") == "lost");
    }
    SECTION("where one without a length is reset")
    {
        Exchange exchange([](const ScriptedServer::PeerPtr &peer) {
            peer->send("HTTP/1.1 200 OK\r\n\r\nabc");
            peer->reset();
        });
        CHECK(exchange.call("r1") == "lost");
    }
    SECTION("where the bytes are no answer at all")
    {
        Exchange exchange(
            [](const ScriptedServer::PeerPtr &peer) { peer->send("\x01\x02 nonsense\r\n\r\n"); });
        CHECK(exchange.call("r1") == "malformed");
    }
}

TEST_CASE("An answer without a length ends with its connection")
{
    Exchange exchange([](const ScriptedServer::PeerPtr &peer) {
        peer->send("HTTP/1.1 200 OK\r\n\r\nabc");
        peer->close();
    });
    CHECK(exchange.call("r1") == "abc");
}

TEST_CASE("A connection is not used again")
{
    SECTION("where the target says that it closes it")
    {
        Exchange exchange([](const ScriptedServer::PeerPtr &peer) {
            peer->send(answer(idOf(peer->received), "ok", "Connection: close\r\n"));
            peer->received.clear();
        });
        exchange.call("r1");
        exchange.call("r2");
        CHECK(exchange.server().accepted() == 2);
    }
    SECTION("shortly before the target's time-out")
    {
        Exchange exchange([](const ScriptedServer::PeerPtr &peer) {
            peer->send(answer(idOf(peer->received), "ok", "Keep-Alive: timeout=0\r\n"));
            peer->received.clear();
        });
        exchange.call("r1");
        exchange.call("r2");
        CHECK(exchange.server().accepted() == 2);
    }
}

TEST_CASE("A target that cannot be reached is told apart from one that was sent something")
{
    asio::io_context io;
    asio::ip::tcp::endpoint closed;
    {
        const asio::ip::tcp::acceptor acceptor(
            io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        closed = acceptor.local_endpoint();
    }
    ChannelCounts counts;
    TargetChannels channels(io, closed, "t-1", Names, {}, counts);
    std::optional<TargetCallResult> end;
    channels.call(requestOf("r1"), [&end](TargetCallResult reply) { end = std::move(reply); });
    REQUIRE(runUntil(io, [&] { return end.has_value(); }));
    CHECK(textOf(*end) == "not connected");
    CHECK_FALSE(end->isSent);
    CHECK(counts.connectFailures == 1);
}

TEST_CASE("Calls beyond the connection limit wait for one another")
{
    std::vector<ScriptedServer::PeerPtr> asked;
    ChannelOptions options;
    options.maxConnections = 1;
    options.maxWaiting = 2;
    Exchange exchange([&asked](const ScriptedServer::PeerPtr &peer) { asked.push_back(peer); },
                      options);
    exchange.start("r1");
    REQUIRE(exchange.run([&] { return asked.size() == 1; }));
    const CallNumber second = exchange.start("r2");
    exchange.start("r3");

    SECTION("in their order")
    {
        answerOwn(asked[0]);
        REQUIRE(exchange.run([&] { return asked.size() == 2; }));
        CHECK(idOf(asked[1]->received) == "r2");
        CHECK(exchange.server().accepted() == 1);
    }
    SECTION("up to a number")
    {
        CHECK_FALSE(exchange.channels().call(requestOf("r4"), [](const TargetCallResult &) {}));
    }
    SECTION("and one that is abandoned before it was sent is never sent")
    {
        exchange.channels().abandon(second, 1s);
        REQUIRE(exchange.run([&] { return exchange.ends().size() == 1; }));
        CHECK(exchange.ends().front() == "unsent");
        answerOwn(asked[0]);
        REQUIRE(exchange.run([&] { return asked.size() == 2; }));
        CHECK(idOf(asked[1]->received) == "r3");
    }
}

TEST_CASE("An abandoned call")
{
    std::vector<ScriptedServer::PeerPtr> asked;
    Exchange exchange([&asked](const ScriptedServer::PeerPtr &peer) { asked.push_back(peer); });
    const CallNumber number = exchange.start("r1");
    REQUIRE(exchange.run([&] { return asked.size() == 1; }));
    exchange.channels().abandon(number, 300ms);

    SECTION("leaves the connection usable where the answer still comes")
    {
        answerOwn(asked[0]);
        REQUIRE(exchange.run([&] { return exchange.ends().size() == 1; }));
        exchange.start("r2");
        REQUIRE(exchange.run([&] { return asked.size() == 2; }));
        CHECK(exchange.server().accepted() == 1);
    }
    SECTION("closes the connection where it does not")
    {
        exchange.channels().sweep(Clock::now() + 299ms);
        CHECK(exchange.channels().openConnections() == 1);
        exchange.channels().sweep(Clock::now() + 301ms);
        CHECK(exchange.channels().openConnections() == 0);
        CHECK(exchange.ends() == std::vector<std::string>{"abandoned"});
        CHECK(exchange.counts().silent == 1);
    }
}

TEST_CASE("Channels that retire")
{
    std::vector<ScriptedServer::PeerPtr> asked;
    Exchange exchange([&asked](const ScriptedServer::PeerPtr &peer) { asked.push_back(peer); });
    exchange.start("r1");
    REQUIRE(exchange.run([&] { return asked.size() == 1; }));
    exchange.channels().retire();
    CHECK_FALSE(exchange.channels().isIdle());
    answerOwn(asked[0]);
    REQUIRE(exchange.run([&] { return exchange.ends().size() == 1; }));
    CHECK(exchange.ends().front() == "body of r1");
    CHECK(exchange.channels().openConnections() == 0);
}
