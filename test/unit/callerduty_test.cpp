#include <cstdlib>
#include <deque>
#include <future>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "duties/callerduty.h"

using namespace mangoshift;
using Json = nlohmann::json;

namespace {

/// The tests of several checkouts run beside each other, each with its own offset.
std::string loopbackIp()
{
    const char *offset = std::getenv("MANGOSHIFT_NET_OFFSET");
    return "127." + std::to_string(21 + (offset == nullptr ? 0 : std::stoi(offset))) + ".9.1";
}

/// The caller's side of a VM whose one home never answers: a query runs until `loseHome`.
class CallerSide
{
public:
    explicit CallerSide(std::size_t threads, bool allowsPartial = true)
        : m_queries(Member{"self", "a", "r", "", 1, false}, {RendezvousHomes{}},
                    [this](const VmId &, const FramePtr &) {
                        m_sent.set_value();
                        return true;
                    })
    {
        Settings settings;
        settings.vm = "self";
        settings.callerAddress = {loopbackIp(), 7100};
        settings.callerThreads = threads;
        m_callers = std::make_unique<CallerDuty>(settings, 1, m_queries, m_metrics);
        m_callers->setDocument(documentWithOneShard(allowsPartial));
        m_queries.start();
        m_queries.tryPost(MembersChanged{
            std::make_shared<MemberView>(MemberView{1, {Member{"home", "a", "r", "", 1, false}}})});
        REQUIRE(m_callers->start());
    }
    ~CallerSide()
    {
        loseHome();
        m_callers->stop();
    }
    CallerSide(const CallerSide &) = delete;
    CallerSide &operator=(const CallerSide &) = delete;

    static httplib::Client client() { return httplib::Client(loopbackIp(), 7100); }
    void waitUntilSent() { m_sent.get_future().wait(); }
    void loseHome() { m_queries.tryPost(PeerLost{"home"}); }

private:
    static DocumentPtr documentWithOneShard(bool allowsPartial)
    {
        Document document;
        document.kinds = {{"urgent", 0, true}};
        document.targets = {{"t", "127.0.0.1:1", "a", 1, 1}};
        Service service;
        service.name = "search";
        service.deadline = std::chrono::seconds(60);
        service.partialAnswers = allowsPartial;
        service.shards = {{"0", shardKey("search", "0"), {0}}};
        document.services = {service};
        return std::make_shared<IndexedDocument>(std::move(document));
    }

    Metrics m_metrics;
    std::promise<void> m_sent;
    QueryDuty m_queries;
    std::unique_ptr<CallerDuty> m_callers;
};

/// Sends a query on a connection of its own, which stays open. Returns what comes until its end.
std::string sendQueryOn(asio::ip::tcp::socket &socket)
{
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(loopbackIp()), 7100);
    socket.connect(endpoint);
    asio::write(socket,
                asio::buffer(std::string("POST /v1/query/search HTTP/1.1\r\nHost: vm\r\n"
                                         "Content-Type: application/json\r\n"
                                         "Content-Length: 2\r\n\r\n{}")));
    std::string reply;
    asio::error_code error;
    asio::read(socket, asio::dynamic_buffer(reply), error);
    return reply;
}

Json problemOf(const httplib::Result &result, int status)
{
    REQUIRE(result);
    CHECK(result->status == status);
    Json problem = Json::parse(result->body, nullptr, false);
    INFO(result->body);
    REQUIRE(problem.is_object());
    CHECK(problem["execution"] == "not_run");
    CHECK(problem["status"] == status);
    CHECK(result->get_header_value("Content-Type") == "application/problem+json");
    return problem;
}

} // namespace

TEST_CASE("A request that the callers' port cannot take")
{
    CallerSide caller(2);
    httplib::Client client = CallerSide::client();

    SECTION("names the method where that is wrong, and the right one")
    {
        const auto result = client.Get("/v1/query/search");
        CHECK(problemOf(result, 405)["field"] == "method");
        CHECK(result->get_header_value("Allow") == "POST");
    }

    SECTION("names the path where nothing is there")
    {
        CHECK(problemOf(client.Get("/v2"), 404)["field"] == "path");
    }

    SECTION("names the body where that is over a megabyte")
    {
        const std::string body(2U << 20U, ' ');
        const auto result = client.Post("/v1/query/search", body, "application/json");
        CHECK(problemOf(result, 413)["field"] == "body");
    }

    SECTION("names the header where its type is not JSON")
    {
        const auto result = client.Post("/v1/query/search", "{}", "text/plain");
        CHECK(problemOf(result, 415)["field"] == "Content-Type");
    }

    SECTION("carries the id that the caller gave")
    {
        const httplib::Headers headers{{"X-Request-Id", "caller-7"}, {"Deadline-Ms", "0"}};
        const auto result = client.Post("/v1/query/search", headers, "{}", "application/json");
        CHECK(problemOf(result, 400)["request_id"] == "caller-7");
        CHECK(result->get_header_value("X-Request-Id") == "caller-7");
    }
}

TEST_CASE("A caller who comes while every worker waits for an answer")
{
    CallerSide caller(1);
    auto waiting = std::async(std::launch::async, [] {
        httplib::Client client = CallerSide::client();
        client.set_read_timeout(std::chrono::seconds(60));
        return client.Post("/v1/query/search", "{}", "application/json");
    });
    caller.waitUntilSent();

    SECTION("is refused unrun, told when to come back, and disconnected")
    {
        // None of them closes its connection, and there are more than refusing threads.
        asio::io_context io;
        std::deque<asio::ip::tcp::socket> sockets;
        for (int i = 0; i < 40; ++i) {
            const std::string reply = sendQueryOn(sockets.emplace_back(io));
            INFO(reply);
            CHECK(reply.find("HTTP/1.1 503") == 0);
            CHECK(reply.find("Retry-After:") != std::string::npos);
            CHECK(reply.find("Connection: close") != std::string::npos);
            CHECK(reply.find("\"execution\":\"not_run\"") != std::string::npos);
        }
    }
    caller.loseHome();
    const auto answer = waiting.get();
    REQUIRE(answer);
    CHECK(answer->status == 200);
}

TEST_CASE("An answer that lacks shards")
{
    const auto queryOf = [](CallerSide &caller) {
        auto waiting = std::async(std::launch::async, [] {
            httplib::Client client = CallerSide::client();
            return client.Post("/v1/query/search", "{}", "application/json");
        });
        caller.waitUntilSent();
        caller.loseHome();
        auto result = waiting.get();
        REQUIRE(result);
        return std::pair(result->status, Json::parse(result->body));
    };

    SECTION("is given, and says so, where the document allows it")
    {
        CallerSide caller(1);
        const auto [status, answer] = queryOf(caller);
        CHECK(status == 200);
        CHECK(answer["complete"] == false);
        CHECK(answer["missing"][0]["shard"] == "0");
        CHECK(answer["missing"][0]["reason"] == "lost");
    }

    SECTION("is an error in its place where it does not, which may have run")
    {
        CallerSide caller(1, false);
        const auto [status, problem] = queryOf(caller);
        CHECK(status == 502);
        CHECK(problem["execution"] == "may_have_run");
        CHECK(problem["detail"].get<std::string>().find("1 of 1 shards") == 0);
    }
}
