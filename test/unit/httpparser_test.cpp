#include <catch2/catch.hpp>

#include "http/httpparser.h"

using namespace mangoshift;

namespace {

constexpr HttpSizeLimits Limits{256, 64};

HttpFault faultOf(const std::string &bytes)
{
    HttpParser parser(HttpParser::Side::Requests, Limits);
    parser.feed(bytes.data(), bytes.size());
    return parser.fault();
}

const std::string Head = "POST /a/b?c=d HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: 7\r\n";

} // namespace

TEST_CASE("A request parser")
{
    HttpParser parser(HttpParser::Side::Requests, Limits);

    SECTION("accepts a request byte by byte")
    {
        const std::string bytes = Head + "Content-Length: 3\r\n\r\nabc";
        for (const char c : bytes)
            REQUIRE(parser.feed(&c, 1) == 1);
        REQUIRE(parser.isComplete());
        const HttpRequest request = parser.takeRequest();
        CHECK(request.method == "POST");
        CHECK(request.target == "/a/b?c=d");
        CHECK(request.headers.value("x-request-ID") == "7");
        CHECK(request.body == "abc");
        CHECK(request.keepAlive);
    }
    SECTION("consumes no byte of the next request")
    {
        const std::string first = Head + "Content-Length: 1\r\n\r\na";
        const std::string bytes = first + Head + "\r\n";
        CHECK(parser.feed(bytes.data(), bytes.size()) == first.size());
        REQUIRE(parser.isComplete());
        parser.takeRequest();
        CHECK(parser.feed(bytes.data() + first.size(), bytes.size() - first.size())
              == bytes.size() - first.size());
        CHECK(parser.isComplete());
    }
    SECTION("joins the chunks of a body and drops trailers")
    {
        const std::string bytes = Head
            + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nX-Late: 1\r\n\r\n";
        CHECK(parser.feed(bytes.data(), bytes.size()) == bytes.size());
        REQUIRE(parser.isComplete());
        const HttpRequest request = parser.takeRequest();
        CHECK(request.body == "abcde");
        CHECK_FALSE(request.headers.contains("x-late"));
    }
    SECTION("reports that the connection is to be closed")
    {
        const std::string bytes = Head + "Connection: close\r\n\r\n";
        parser.feed(bytes.data(), bytes.size());
        REQUIRE(parser.isComplete());
        CHECK_FALSE(parser.takeRequest().keepAlive);
    }
    SECTION("detects that the caller expects 100 Continue")
    {
        const std::string bytes = Head + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n";
        parser.feed(bytes.data(), bytes.size());
        CHECK(parser.expectsContinue());
    }
}

TEST_CASE("Requests that allow request smuggling are malformed")
{
    CHECK(faultOf(Head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
          == HttpFault::Malformed);
    CHECK(faultOf(Head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
          == HttpFault::Malformed);
    CHECK(faultOf(Head + "Transfer-Encoding: xchunked\r\n\r\n") == HttpFault::Malformed);
    CHECK(faultOf(Head + "Content-Length: +3\r\n\r\nabc") == HttpFault::Malformed);
    CHECK(faultOf(Head + "Content-Length : 3\r\n\r\nabc") == HttpFault::Malformed);
    CHECK(faultOf(Head + "Host: other.example\r\n\r\n") == HttpFault::Malformed);
    CHECK(faultOf("no request at all\r\n\r\n") == HttpFault::Malformed);
}

TEST_CASE("Requests with too large headers or bodies are reported as different faults")
{
    CHECK(faultOf(Head + "X-Long: " + std::string(300, 'x') + "\r\n\r\n")
          == HttpFault::HeadersTooLarge);
    CHECK(faultOf(Head + "Content-Length: 65\r\n\r\n") == HttpFault::BodyTooLarge);
    CHECK(faultOf(Head + "Transfer-Encoding: chunked\r\n\r\n41\r\n" + std::string(65, 'x'))
          == HttpFault::BodyTooLarge);
}

TEST_CASE("A response parser")
{
    HttpParser parser(HttpParser::Side::Responses, Limits);
    const auto feed = [&parser](const std::string &bytes) {
        return parser.feed(bytes.data(), bytes.size());
    };

    SECTION("accepts a response without a length when the connection is closed")
    {
        feed("HTTP/1.1 200 OK\r\nX: 1\r\n\r\nabc");
        CHECK_FALSE(parser.isComplete());
        parser.finish();
        REQUIRE(parser.isComplete());
        const HttpResponse response = parser.takeResponse();
        CHECK(response.body == "abc");
        CHECK_FALSE(response.keepAlive);
    }
    SECTION("does not accept a truncated response")
    {
        feed("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
        parser.finish();
        CHECK_FALSE(parser.isComplete());
    }
    SECTION("skips interim responses")
    {
        feed("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n");
        REQUIRE(parser.isComplete());
        CHECK(parser.takeResponse().status == 204);
    }
    SECTION("expects no body in the response to a HEAD request")
    {
        parser.setIsHeadResponse(true);
        feed("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");
        CHECK(parser.isComplete());
    }
    SECTION("detects bytes that are not a response")
    {
        feed("\x01\x02\x03 garbage\r\n\r\n");
        CHECK(parser.fault() == HttpFault::Malformed);
    }
}

// Guards against a target whose bytes never end being read until the request's deadline.
TEST_CASE("A response without an end is rejected after a bounded number of bytes")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::vector<std::pair<std::string, std::string>> responses{
        {"", "\r\n"},
        {"HTTP/1.1 200 ", "reason "},
        {"", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"", "HTTP/1.1 103 \r\nLink: x\r\n\r\n"},
        {head, "Name: value\r\n"},
        {head + "Name: ", "value"},
        {head, "name"},
        {head + "\r\n", "body"},
        {head + "Content-Length: 99999999\r\n\r\n", "body"},
        {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"},
        {head + "Transfer-Encoding: chunked\r\n\r\n", "0"},
        {head + "Transfer-Encoding: chunked\r\n\r\n4;", "extension"},
        {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: value\r\n"}};
    // The limit of the underlying parser for what is not kept, such as the status line.
    constexpr std::size_t bound = 100U << 10U;
    for (const auto &[begin, repeated] : responses) {
        INFO(begin << " / " << repeated);
        HttpParser parser(HttpParser::Side::Responses, Limits);
        parser.feed(begin.data(), begin.size());
        std::size_t fed = begin.size();
        while (parser.fault() == HttpFault::None && fed <= bound) {
            parser.feed(repeated.data(), repeated.size());
            fed += repeated.size();
        }
        CHECK(parser.fault() != HttpFault::None);
        CHECK_FALSE(parser.isComplete());
    }
}

TEST_CASE("Hop-by-hop headers are recognized")
{
    HttpHeaders headers;
    headers.add("Connection", "close, X-Own");
    headers.add("X-Own", "1");
    headers.add("X-Other", "2");
    CHECK(isHopByHop("connection", headers));
    CHECK(isHopByHop("x-own", headers));
    CHECK(isHopByHop("Transfer-Encoding", headers));
    CHECK_FALSE(isHopByHop("X-Other", headers));
}
