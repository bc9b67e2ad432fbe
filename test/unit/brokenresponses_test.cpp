#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "app/callerclient.h"
#include "brokenresponses.h"
#include "duties/targetprotocol.h"
#include "entry/storeconnection.h"
#include "http/httpclient.h"
#include "http/targetchannels.h"
#include "net/targetpool.h"
#include "pouringserver.h"

// Every reader of responses, before a peer whose responses break HTTP/1.1, and before one whose
// responses are valid and unusual.

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// A server that answers each request with the same bytes.
class RawServer
{
public:
    explicit RawServer(const RawResponse &response)
        : m_server(response.bytes, "")
    {
        if (response.isEndedByClose)
            m_server.closeAfterResponse();
    }
    Address address() const { return m_server.address(); }
    int accepted() const { return m_server.accepted(); }

private:
    PouringServer m_server;
};

/// What a reader has made of a response.
struct ReadResponse
{
    bool isResponse = false;
    bool isMalformed = false;
    HttpResponse response;
    /// Whether the connection can carry another request.
    bool isConnectionKept = false;
};

void feedAll(HttpParser &parser, const RawResponse &response, std::size_t pieceSize)
{
    for (std::size_t at = 0; at < response.bytes.size() && !parser.isComplete(); at += pieceSize) {
        const std::size_t size = std::min(pieceSize, response.bytes.size() - at);
        parser.feed(response.bytes.data() + at, size);
    }
    if (response.isEndedByClose)
        parser.finish();
}

ReadResponse readByChannels(const RawResponse &response)
{
    const RawServer target(response);
    asio::io_context io;
    ChannelCounts counts;
    TargetChannels channels(io, {asio::ip::make_address("127.0.0.1"), target.address().port}, "t-1",
                            {"request-id", "time-left", "expected-target"}, {}, counts);
    auto request = std::make_shared<ForwardedRequest>();
    request->id = "r";
    request->head = "GET /x HTTP/1.1\r\nHost: shop.example\r\n";
    request->deadline = Clock::now() + 60s;
    std::optional<TargetCallResult> result;
    REQUIRE(channels.call(request, [&](TargetCallResult end) { result = std::move(end); }));
    REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    CHECK(result->isSent);
    return {result->end == TargetCallResult::End::Responded,
            result->end == TargetCallResult::End::Malformed && counts.malformed == 1,
            result->response, channels.openConnections() > 0};
}

ReadResponse readByPool(const RawResponse &response)
{
    const RawServer target(response);
    asio::io_context io;
    TargetPool pool(io, target.address(), 1, {60s, 500ms, 60s});
    std::optional<HttpResult> result;
    PooledRequest request;
    request.callId = "c";
    request.message.method = "POST";
    request.message.target = "/";
    request.deadline = Clock::now() + 60s;
    request.isCancellable = false;
    pool.send(std::move(request), [&](HttpResult end) { result = std::move(end); });
    REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    CHECK(result->hasSentBytes);
    return {result->end == HttpResult::End::Responded,
            toCallOutcome(*result).verdict == Verdict{Execution::MayHaveRun, Reason::BadReply},
            result->response, pool.openConnections() > 0};
}

ReadResponse readByStoreConnection(const RawResponse &response)
{
    const RawServer store(response);
    asio::io_context io;
    std::optional<StoreConnection::Result> result;
    StoreConnection connection(io, store.address());
    connection.get("/", 60s, [&](StoreConnection::Result end) { result = std::move(end); });
    REQUIRE(runUntil(io, [&] { return result.has_value(); }));
    if (!*result)
        return {false, result->error() == "malformed response", {}, false};
    return {true, false, **result, (*result)->keepAlive};
}

ReadResponse readByClient(const RawResponse &response)
{
    const RawServer server(response);
    HttpClient client(server.address(), {{4096, 8192}, 60s, 60s});
    const HttpClient::Result result = client.get("/");
    CHECK(result.hasSentBytes);
    client.get("/");
    return {result.end == HttpClient::End::Responded, result.end == HttpClient::End::Malformed,
            result.response, server.accepted() == 1};
}

ReadResponse readByReplay(const RawResponse &response)
{
    const RawServer vm(response);
    asio::io_context io;
    std::optional<ClientConnection::End> end;
    HttpResponse received;
    const auto connection = std::make_shared<ClientConnection>(io, vm.address());
    connection->call("GET / HTTP/1.1\r\n\r\n", 60s, [&](ClientConnection::End how, HttpResponse r) {
        end = how;
        received = std::move(r);
    });
    REQUIRE(runUntil(io, [&] { return end.has_value(); }));
    return {end == ClientConnection::End::Responded, end == ClientConnection::End::Lost, received,
            connection->isUsable()};
}

using Reader = ReadResponse (*)(const RawResponse &);

void requireRejected(Reader read)
{
    const RawResponse response = GENERATE(from_range(brokenResponses()));
    INFO(printable(response.bytes));
    const ReadResponse result = read(response);
    CHECK_FALSE(result.isResponse);
    CHECK(result.isMalformed);
    CHECK_FALSE(result.isConnectionKept);
}

void requireAccepted(Reader read, const std::vector<RawResponse> &responses)
{
    const RawResponse response = GENERATE_COPY(from_range(responses));
    INFO(printable(response.bytes));
    const ReadResponse result = read(response);
    CHECK(result.isResponse);
    CHECK(result.response.status == 200);
    CHECK(result.response.headers.value("x-server-stamp") == "s");
    CHECK(result.response.body == "body");
}

/// Returns those whose end is not the end of their connection, which some readers do not take.
std::vector<RawResponse> responsesWithLength(std::vector<RawResponse> responses)
{
    std::erase_if(responses, [](const RawResponse &each) { return each.isEndedByClose; });
    return responses;
}

} // namespace

TEST_CASE("A response that breaks HTTP is malformed, in whatever pieces it arrives")
{
    const RawResponse response = GENERATE(from_range(brokenResponses()));
    INFO(printable(response.bytes));
    const std::size_t pieceSize = GENERATE(1, 7, 4096);
    HttpParser parser(HttpParser::Side::Responses, {4096, 4096});
    feedAll(parser, response, pieceSize);
    CHECK_FALSE(parser.isComplete());
    CHECK(parser.fault() == HttpFault::Malformed);
}

TEST_CASE("A valid response in an unusual form is accepted, in whatever pieces it arrives")
{
    const RawResponse response = GENERATE(from_range(unusualSoundResponses()));
    INFO(printable(response.bytes));
    const std::size_t pieceSize = GENERATE(1, 7, 4096);
    HttpParser parser(HttpParser::Side::Responses, {4096, 4096});
    feedAll(parser, response, pieceSize);
    CHECK(parser.fault() == HttpFault::None);
    REQUIRE(parser.isComplete());
    const HttpResponse taken = parser.takeResponse();
    CHECK(taken.status == 200);
    CHECK(taken.headers.value("x-server-stamp") == "s");
    CHECK(taken.body == "body");
}

// A response to HEAD, and one with status 304, state the length of a body that they do not have.
TEST_CASE("A response that has no body by its status or its request is complete after its head")
{
    const auto [head, status, isHead] = GENERATE(table<std::string, int, bool>({
        {"HTTP/1.1 204 No Content\r\n\r\n", 204, false},
        {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, false},
        {"HTTP/1.1 304 Not Modified\r\n\r\n", 304, false},
        {"HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", 304, false},
        {"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", 304, false},
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", 200, true},
        {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200, true},
        {"HTTP/1.1 200 OK\r\n\r\n", 200, true},
        {"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, true},
    }));
    INFO(printable(head));
    const std::size_t pieceSize = GENERATE(1, 7, 4096);
    const RawResponse response{head + "next"};
    HttpParser parser(HttpParser::Side::Responses, {4096, 4096});
    parser.setIsHeadResponse(isHead);
    feedAll(parser, response, pieceSize);
    CHECK(parser.fault() == HttpFault::None);
    REQUIRE(parser.isComplete());
    const HttpResponse taken = parser.takeResponse();
    CHECK(taken.status == status);
    CHECK(taken.body.empty());
    CHECK(taken.keepAlive);
}

TEST_CASE("Channels to a target reject a broken response, and accept an unusual one")
{
    SECTION("broken")
    {
        requireRejected(readByChannels);
    }
    SECTION("unusual")
    {
        requireAccepted(readByChannels, unusualSoundResponses());
    }
}

TEST_CASE("A pool of connections to a target rejects a broken response, which may have run")
{
    SECTION("broken")
    {
        requireRejected(readByPool);
    }
    SECTION("unusual")
    {
        requireAccepted(readByPool, responsesWithLength(unusualSoundResponses()));
    }
}

TEST_CASE("A connection to the store rejects a broken response")
{
    SECTION("broken")
    {
        requireRejected(readByStoreConnection);
    }
    SECTION("unusual")
    {
        requireAccepted(readByStoreConnection, responsesWithLength(unusualSoundResponses()));
    }
}

TEST_CASE("The client of the platform and the commands rejects a broken response")
{
    SECTION("broken")
    {
        requireRejected(readByClient);
    }
    SECTION("unusual")
    {
        requireAccepted(readByClient, unusualSoundResponses());
    }
}

TEST_CASE("A replay's connection to a VM rejects a broken response")
{
    SECTION("broken")
    {
        requireRejected(readByReplay);
    }
    SECTION("unusual")
    {
        requireAccepted(readByReplay, responsesWithLength(unusualSoundResponses()));
    }
}

TEST_CASE("What follows a VM's response in the same read answers no other request of a replay")
{
    const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n";
    asio::io_context io;
    std::size_t requests = 0;
    ScriptedServer vm(io, [&](const ScriptedServer::ConnectionPtr &connection) {
        connection->received.clear();
        connection->send(++requests == 1 ? response + "a" + response + "x" : response + "b");
    });
    CallerClient client(io, {{"127.0.0.1", vm.endpoint().port()}}, 1);
    std::vector<std::string> bodies;
    for (int i = 0; i < 2; ++i) {
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        client.send(std::move(request), 10s, [&](ClientConnection::End, const HttpResponse &each) {
            bodies.push_back(each.body);
        });
    }
    REQUIRE(runUntil(io, [&] { return bodies.size() == 2; }));
    CHECK(bodies == std::vector<std::string>{"a", "b"});
    CHECK(vm.accepted() == 2);
}
