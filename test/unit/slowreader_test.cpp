#include <chrono>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "http/callerlistener.h"
#include "scriptedserver.h"

using namespace mangoshift;
using namespace std::chrono_literals;
using asio::ip::tcp;

// The time passes in the system's sockets, which follow no paused clock. 4 s
// are more than the 3 s after which the connections to targets and the store
// count as lost.
TEST_CASE("A caller that reads nothing for four seconds gets its whole answer")
{
    asio::io_context io;
    std::vector<CallerConnectionPtr> requests;
    CallerEvents events;
    events.onRequest = [&requests](const CallerConnectionPtr &connection, const HttpRequest &) {
        requests.push_back(connection);
    };
    std::vector<ConnectionEnd> ends;
    events.onEnded = [&ends](const ConnectionEnd &end) { ends.push_back(end); };
    events.onCallerDisconnected = [](const CallerConnectionPtr &, ConnectionEnd::Cause) {};
    events.onRejected = [](int) {};
    CallerListener listener(io, 4, events);
    Address address;
    {
        const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        address = {"127.0.0.1", acceptor.local_endpoint().port()};
    }
    REQUIRE(listener.listen(address));

    asio::io_context callerIo;
    tcp::socket caller(callerIo);
    caller.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: shop.example\r\n\r\n")));
    REQUIRE(runUntil(io, [&] { return !requests.empty(); }));

    HttpResponse response;
    response.status = 200;
    // The sockets hold all of the smaller one, and a part of the larger one.
    response.body = std::string(GENERATE(1U << 20U, 8U << 20U), 'x');
    const std::size_t bodySize = response.body.size();
    INFO("body of " << bodySize << " bytes");
    requests.back()->respond(std::move(response));
    const auto readsFrom = std::chrono::steady_clock::now() + 4s;
    REQUIRE(runUntil(io, [&] { return std::chrono::steady_clock::now() >= readsFrom; }));

    std::string received;
    std::vector<char> buffer(64U << 10U);
    caller.non_blocking(true);
    REQUIRE(runUntil(io, [&] {
        asio::error_code error;
        for (std::size_t size = 1; size > 0;) {
            size = caller.read_some(asio::buffer(buffer), error);
            received.append(buffer.data(), size);
        }
        return received.size() > bodySize || error != asio::error::would_block;
    }));
    CHECK(received.size() > bodySize);
    CHECK(ends.empty());
}
