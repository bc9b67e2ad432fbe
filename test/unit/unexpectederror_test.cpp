// What goes on when a function of an event loop lets out an exception.

#include <array>
#include <cerrno>
#include <future>
#include <stdexcept>
#include <string>
#include <variant>

#include <sys/socket.h>
#include <sys/time.h>

#include <asio/write.hpp>
#include <catch2/catch.hpp>

#include "base/duty.h"
#include "http/callerlistener.h"

using namespace mangoshift;
using asio::ip::tcp;

namespace {

struct Nothing
{
};

Address freeAddress(asio::io_context &io)
{
    const tcp::acceptor acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// Sends a request and returns what comes, up to the end of the connection or of the head of a
/// response. Gives up after 20 s, which only bounds how long a failing test takes.
std::string request(const Address &address, const std::string &path)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address.ip), address.port});
    asio::write(socket, asio::buffer("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"));
    const timeval limit{20, 0};
    REQUIRE(setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit) == 0);
    std::string received;
    std::array<char, 4096> buffer{};
    while (received.find("\r\n\r\n") == std::string::npos) {
        const ssize_t size = recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
            return "nothing for 20 s";
        if (size <= 0)
            break;
        received.append(buffer.data(), static_cast<std::size_t>(size));
    }
    return received;
}

} // namespace

TEST_CASE("A listener whose handler lets out an exception")
{
    Duty<std::variant<Nothing>> duty("callers", 4);
    const Address address = freeAddress(duty.io());
    CallerEvents events;
    events.onRequest = [](const CallerConnectionPtr &connection, const HttpRequest &http) {
        if (http.target == "/unexpected")
            throw std::runtime_error("an unexpected error");
        HttpResponse response;
        response.status = 200;
        connection->respond(std::move(response));
    };
    events.onCallerDisconnected = [](const CallerConnectionPtr &, ConnectionEnd::Cause) {};
    events.onRejected = [](int) {};
    std::string ends;
    events.onEnded = [&ends](const ConnectionEnd &end) { ends += toString(end.cause); };
    CallerListener listener(duty.io(), 16, events);
    REQUIRE(listener.listen(address));
    duty.start([](auto &) {});

    SECTION("closes the connection of that request, without an answer")
    {
        CHECK(request(address, "/unexpected").empty());
        CHECK(duty.errors() == 1);
        SECTION("and serves the others")
        {
            CHECK(request(address, "/usual").starts_with("HTTP/1.1 200"));
            CHECK(duty.errors() == 1);
        }
    }
    duty.stop();
    CHECK(ends.find("error") != std::string::npos);
}

TEST_CASE("An accept loop whose handler lets out an exception accepts the next connection")
{
    Duty<std::variant<Nothing>> duty("callers", 4);
    const Address address = freeAddress(duty.io());
    tcp::acceptor acceptor(duty.io(),
                           tcp::endpoint(asio::ip::make_address(address.ip), address.port));
    int accepted = 0;
    std::promise<void> second;
    AcceptLoop loop(acceptor, [&](const tcp::socket &) {
        if (++accepted == 1)
            throw std::runtime_error("an unexpected error");
        second.set_value();
    });
    loop.start();
    duty.start([](auto &) {});
    asio::io_context io;
    for (int i = 0; i < 2; ++i) {
        tcp::socket socket(io);
        socket.connect({asio::ip::make_address(address.ip), address.port});
    }
    CHECK(second.get_future().wait_for(std::chrono::seconds(20)) == std::future_status::ready);
    duty.stop();
    CHECK(duty.errors() == 1);
}
