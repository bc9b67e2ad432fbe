#include <cstdlib>
#include <deque>
#include <future>
#include <string>
#include <vector>

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

/// Returns the loopback address of this checkout. Each checkout has its own offset, so that tests
/// of several checkouts can run at the same time.
std::string loopbackIp()
{
    const char *offset = std::getenv("MANGOSHIFT_NET_OFFSET");
    return "127." + std::to_string(21 + (offset == nullptr ? 0 : std::stoi(offset))) + ".9.1";
}

/// A VM's caller duty and query duty with one home, which replies with what a test says: a query
/// runs until `replyWith` or `loseHome`.
class CallerDutyFixture
{
public:
    explicit CallerDutyFixture(std::size_t threads, bool allowsPartial = true,
                               std::size_t shards = 1)
        : m_queries(Member{"self", "a", "r", "", 1, false}, {RendezvousHomes{}},
                    [this](const VmId &, const FramePtr &frame) {
                        if (const wire::ShardBatchT *batch = frame->body.AsShardBatch())
                            m_sent.set_value(*batch);
                        return true;
                    })
    {
        Settings settings;
        settings.vm = "self";
        settings.callerAddress = {loopbackIp(), 7100};
        settings.callerThreads = threads;
        m_callers = std::make_unique<CallerDuty>(settings, 1, m_queries, m_metrics);
        m_callers->setDocument(documentOf(allowsPartial, shards));
        m_queries.start();
        m_queries.tryPost(MembersChanged{
            std::make_shared<MemberView>(MemberView{1, {Member{"home", "a", "r", "", 1, false}}})});
        REQUIRE(m_callers->start());
    }
    ~CallerDutyFixture()
    {
        loseHome();
        m_callers->stop();
    }
    CallerDutyFixture(const CallerDutyFixture &) = delete;
    CallerDutyFixture &operator=(const CallerDutyFixture &) = delete;

    static httplib::Client client() { return httplib::Client(loopbackIp(), 7100); }
    void waitUntilSent() { m_batch = m_sent.get_future().get(); }
    /// Ends the requests for the first shards of the batch, one with each verdict.
    void replyWith(const std::vector<Verdict> &verdicts)
    {
        PeerReplies message;
        message.replies.exchange = m_batch.exchange;
        for (std::size_t i = 0; i < verdicts.size(); ++i) {
            auto reply = std::make_unique<wire::ShardReplyT>();
            reply->shard = m_batch.shards.at(i);
            reply->execution = static_cast<std::uint8_t>(verdicts[i].execution);
            reply->reason = static_cast<std::uint8_t>(verdicts[i].reason);
            reply->retry_after_ms = static_cast<std::uint32_t>(verdicts[i].retryAfter.count());
            message.replies.replies.push_back(std::move(reply));
        }
        m_queries.tryPost(std::move(message));
    }
    void stop() { m_callers->stop(); }
    void loseHome() { m_queries.tryPost(PeerLost{"home"}); }

private:
    static DocumentPtr documentOf(bool allowsPartial, std::size_t shards)
    {
        Document document;
        document.kinds = {{"urgent", 0, true}};
        document.targets = {{"t", "127.0.0.1:1", "a", 1, 1}};
        Service service;
        service.name = "search";
        service.deadline = std::chrono::seconds(60);
        service.partialAnswers = allowsPartial;
        for (std::size_t i = 0; i < shards; ++i)
            service.shards.push_back(
                {std::to_string(i), shardKey("search", std::to_string(i)), {0}});
        document.services = {service};
        return std::make_shared<IndexedDocument>(std::move(document));
    }

    Metrics m_metrics;
    std::promise<wire::ShardBatchT> m_sent;
    wire::ShardBatchT m_batch;
    QueryDuty m_queries;
    std::unique_ptr<CallerDuty> m_callers;
};

void connect(asio::ip::tcp::socket &socket)
{
    socket.connect({asio::ip::make_address(loopbackIp()), 7100});
}

/// Sends a query on a connected socket.
void writeQuery(asio::ip::tcp::socket &socket)
{
    asio::write(socket,
                asio::buffer(std::string("POST /v1/query/search HTTP/1.1\r\nHost: vm\r\n"
                                         "Content-Type: application/json\r\n"
                                         "Content-Length: 2\r\n\r\n{}")));
}

/// Returns all bytes received until the peer closes the connection. Does not close the socket.
std::string readToEnd(asio::ip::tcp::socket &socket)
{
    std::string reply;
    asio::error_code error;
    asio::read(socket, asio::dynamic_buffer(reply), error);
    return reply;
}

/// Connects the socket, sends a query and returns all bytes received until the peer closes the
/// connection. Does not close the socket.
std::string sendQueryOn(asio::ip::tcp::socket &socket)
{
    connect(socket);
    writeQuery(socket);
    return readToEnd(socket);
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

TEST_CASE("A request that the callers' port cannot accept gets a problem that")
{
    CallerDutyFixture fixture(2);
    httplib::Client client = CallerDutyFixture::client();

    SECTION("names the method if it is wrong, and the allowed method")
    {
        const auto result = client.Get("/v1/query/search");
        CHECK(problemOf(result, 405)["field"] == "method");
        CHECK(result->get_header_value("Allow") == "POST");
    }

    SECTION("names the path if it is unknown")
    {
        CHECK(problemOf(client.Get("/v2"), 404)["field"] == "path");
    }

    SECTION("names the body if it is over a megabyte")
    {
        const std::string body(2U << 20U, ' ');
        const auto result = client.Post("/v1/query/search", body, "application/json");
        CHECK(problemOf(result, 413)["field"] == "body");
    }

    SECTION("names the Content-Type header if it is not JSON")
    {
        const auto result = client.Post("/v1/query/search", "{}", "text/plain");
        CHECK(problemOf(result, 415)["field"] == "Content-Type");
    }

    SECTION("carries the request id of the caller")
    {
        const httplib::Headers headers{{"X-Request-Id", "caller-7"}, {"Deadline-Ms", "0"}};
        const auto result = client.Post("/v1/query/search", headers, "{}", "application/json");
        CHECK(problemOf(result, 400)["request_id"] == "caller-7");
        CHECK(result->get_header_value("X-Request-Id") == "caller-7");
    }
}

TEST_CASE("A caller that connects while every worker waits for an answer")
{
    CallerDutyFixture fixture(1);
    auto waiting = std::async(std::launch::async, [] {
        httplib::Client client = CallerDutyFixture::client();
        client.set_read_timeout(std::chrono::seconds(60));
        return client.Post("/v1/query/search", "{}", "application/json");
    });
    fixture.waitUntilSent();

    SECTION("gets a not-run refusal with Retry-After and is disconnected")
    {
        // These connections outnumber the refusing threads, and none of them is closed by its
        // caller.
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
    fixture.loseHome();
    const auto answer = waiting.get();
    REQUIRE(answer);
    CHECK(answer->status == 200);
}

// Guards against a stop that closes the listening socket while connections wait to be accepted,
// because connections without a request hold the thread that accepts them.
TEST_CASE("A caller that waits to be accepted while the VM stops gets a response")
{
    // More than there are threads that refuse requests.
    constexpr int silentCallers = 20;
    CallerDutyFixture fixture(1);
    auto running = std::async(std::launch::async, [] {
        httplib::Client client = CallerDutyFixture::client();
        client.set_read_timeout(std::chrono::seconds(60));
        return client.Post("/v1/query/search", "{}", "application/json");
    });
    fixture.waitUntilSent();
    asio::io_context io;
    std::deque<asio::ip::tcp::socket> silent;
    for (int i = 0; i < silentCallers; ++i)
        connect(silent.emplace_back(io));
    asio::ip::tcp::socket waiting(io);
    connect(waiting);
    writeQuery(waiting);

    auto stop = std::async(std::launch::async, [&fixture] { fixture.stop(); });
    const std::string reply = readToEnd(waiting);
    CHECK(reply.starts_with("HTTP/1.1 503 "));
    CHECK(reply.find("not_run") != std::string::npos);
    fixture.loseHome();
    CHECK(running.get());
    stop.get();
}

TEST_CASE("An answer with missing shards")
{
    const auto queryOf = [](CallerDutyFixture &fixture) {
        auto waiting = std::async(std::launch::async, [] {
            httplib::Client client = CallerDutyFixture::client();
            return client.Post("/v1/query/search", "{}", "application/json");
        });
        fixture.waitUntilSent();
        fixture.loseHome();
        auto result = waiting.get();
        REQUIRE(result);
        return std::pair(result->status, Json::parse(result->body));
    };

    SECTION("is returned and marked incomplete if the service allows partial answers")
    {
        CallerDutyFixture fixture(1);
        const auto [status, answer] = queryOf(fixture);
        CHECK(status == 200);
        CHECK(answer["complete"] == false);
        CHECK(answer["missing"][0]["shard"] == "0");
        CHECK(answer["missing"][0]["reason"] == "lost");
    }

    SECTION("becomes a may-have-run error if the service does not allow partial answers")
    {
        CallerDutyFixture fixture(1, false);
        const auto [status, problem] = queryOf(fixture);
        CHECK(status == 502);
        CHECK(problem["execution"] == "may_have_run");
        CHECK(problem["detail"].get<std::string>().find("1 of 1 shards") == 0);
    }
}

TEST_CASE("The status of a query that failed says whether it may be sent again")
{
    constexpr std::chrono::milliseconds retryAfter{200};
    std::vector<Verdict> verdicts;
    int status = 503;
    std::string execution = "not_run";
    std::string reason;

    SECTION("if it has not run by its deadline")
    {
        verdicts = {{Execution::NotRun, Reason::DeadlineExceeded}};
        reason = "deadline_exceeded";
    }
    SECTION("if it never reached a target")
    {
        verdicts = {{Execution::NotRun, Reason::Lost}};
        reason = "lost";
    }
    SECTION("if all of its shards refused it")
    {
        verdicts = {{Execution::NotRun, Reason::Refused},
                    {Execution::NotRun, Reason::Overloaded, retryAfter}};
        reason = "refused";
    }
    SECTION("if a target that may have run it was overloaded")
    {
        verdicts = {{Execution::MayHaveRun, Reason::Overloaded, retryAfter}};
        status = 502;
        execution = "may_have_run";
        reason = "overloaded";
    }
    SECTION("if one shard refused it and another one may have run it")
    {
        verdicts = {{Execution::NotRun, Reason::Overloaded, retryAfter},
                    {Execution::MayHaveRun, Reason::DeadlineExceeded}};
        status = 504;
        execution = "may_have_run";
        reason = "deadline_exceeded";
    }
    SECTION("if one shard refused it and another one ran it")
    {
        verdicts = {{Execution::NotRun, Reason::Overloaded, retryAfter},
                    {Execution::Ran, Reason::BadReply}};
        status = 502;
        execution = "ran";
        reason = "bad_reply";
    }

    CallerDutyFixture fixture(1, false, verdicts.size());
    auto waiting = std::async(std::launch::async, [] {
        httplib::Client client = CallerDutyFixture::client();
        return client.Post("/v1/query/search", "{}", "application/json");
    });
    fixture.waitUntilSent();
    fixture.replyWith(verdicts);
    const auto result = waiting.get();
    REQUIRE(result);
    INFO(result->body);
    const Json problem = Json::parse(result->body);
    CHECK(result->status == status);
    CHECK(problem["status"] == status);
    CHECK(problem["execution"] == execution);
    CHECK(problem["reason"] == reason);
    CHECK(result->has_header("Retry-After") == (status == 503));
    CHECK(problem.contains("retry_after_ms") == (status == 503));
}

// Another release of a VM may send reasons that this one does not know.
TEST_CASE("A home's reply with an unknown verdict is not taken for one")
{
    const auto [execution, reason] = GENERATE(table<int, int>(
        {{0, 16}, {0, 255}, {2, 16}, {3, 0}, {3, 2}, {255, 0}, {255, 255}, {1, 255}}));
    INFO("execution " << execution << " reason " << reason);
    const Verdict unknown{static_cast<Execution>(execution), static_cast<Reason>(reason)};
    const bool allowsPartial = GENERATE(false, true);
    CallerDutyFixture fixture(1, allowsPartial, 2);
    auto waiting = std::async(std::launch::async, [] {
        httplib::Client client = CallerDutyFixture::client();
        return client.Post("/v1/query/search", "{}", "application/json");
    });
    fixture.waitUntilSent();
    fixture.replyWith({unknown, unknown});
    const auto result = waiting.get();
    REQUIRE(result);
    INFO(result->body);
    const Json answer = Json::parse(result->body);
    if (allowsPartial) {
        CHECK(answer.at("complete") == false);
        CHECK(answer.at("rows").empty());
        REQUIRE(answer.at("missing").size() == 2);
    } else {
        CHECK(result->status == 502);
    }
    for (const Json &verdict : allowsPartial ? answer.at("missing") : Json::array({answer})) {
        CHECK(verdict.at("execution") == "may_have_run");
        CHECK(verdict.at("reason") == "bad_reply");
    }
}
