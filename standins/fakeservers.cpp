// A stand-in for the platform's servers: one process, any number of servers.
//
// Arguments: ORDERS-ADDRESS, then ID=ADDRESS=SERVICE for each server. A server runs each request
// that names it, with a receipt and 16-byte records made from its service's name. Orders:
//
//     POST /mode?ID  "ok", "shed" (503, not run), "lose" (runs, then resets), "extra" (a second
//     answer
//                    behind each), "cut" (half an answer), "fail" (500), "mute" (runs, never
//                    answers)
//     GET /ran       a JSON object: for each request id the ids of the servers that ran it
//     GET /arrivals  how many requests have reached the servers, those that were refused included

#include <cstdio>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <nlohmann/json.hpp>

#include "base/address.h"
#include "http/callerlistener.h"
#include "http/httpparser.h"

namespace {

using namespace mangoshift;
using asio::ip::tcp;
using Json = nlohmann::json;

constexpr std::size_t RecordLength = 16;
constexpr std::size_t RecordsEach = 4;

using RanLog = std::map<std::string, std::vector<std::string>>;

struct ServerState
{
    std::string id;
    std::string service;
    std::string mode = "ok";
    std::uint64_t ran = 0;
    RanLog *log = nullptr;
    std::uint64_t arrivals = 0;
};

/// One connection to one server.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(tcp::socket socket, ServerState &server)
        : m_socket(std::move(socket))
        , m_server(server)
        , m_parser(HttpParser::Side::Requests, {})
    {
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](const asio::error_code &error, std::size_t size) {
                if (error)
                    return;
                self->take(self->m_buffer.data(), size);
                if (self->m_socket.is_open())
                    self->read();
            });
    }

private:
    void take(const char *bytes, std::size_t size)
    {
        while (size > 0 && m_socket.is_open()) {
            const std::size_t taken = m_parser.feed(bytes, size);
            bytes += taken;
            size -= taken;
            if (!m_parser.isComplete())
                return;
            answer(m_parser.takeRequest());
        }
    }

    void answer(const HttpRequest &request)
    {
        const std::string id(request.headers.value("x-request-id"));
        ++m_server.arrivals;
        const std::string_view expected = request.headers.value("x-expect-instance");
        if (!expected.empty() && expected != m_server.id) {
            send(refusal(421));
            return;
        }
        if (m_server.mode == "shed") {
            send(refusal(503));
            return;
        }
        (*m_server.log)[id].push_back(m_server.id);
        const std::string bytes = answerBytes(id);
        if (m_server.mode == "mute")
            return;
        if (m_server.mode == "lose") {
            reset();
        } else if (m_server.mode == "cut") {
            send(bytes.substr(0, bytes.size() - RecordLength));
            asio::error_code ignored;
            m_socket.close(ignored);
        } else {
            send(bytes + (m_server.mode == "extra" ? bytes : ""));
        }
    }

    std::string answerBytes(const std::string &id)
    {
        HttpResponse response;
        response.status = m_server.mode == "fail" ? 500 : 200;
        response.headers.add("X-Request-Id", id);
        response.headers.add("X-Server-Stamp", m_server.id + "." + std::to_string(++m_server.ran));
        for (std::size_t i = 0; i < RecordsEach; ++i) {
            std::string record = std::to_string(i) + m_server.service;
            record.resize(RecordLength, '.');
            response.body += record;
        }
        std::string bytes;
        appendResponse(bytes, response, false);
        return bytes;
    }

    static std::string refusal(int status)
    {
        HttpResponse response;
        response.status = status;
        if (status != 421)
            response.headers.add("X-Not-Executed", "1");
        std::string bytes;
        appendResponse(bytes, response, false);
        return bytes;
    }

    void send(const std::string &bytes)
    {
        asio::error_code ignored;
        asio::write(m_socket, asio::buffer(bytes), ignored);
    }

    void reset()
    {
        asio::error_code ignored;
        m_socket.set_option(asio::socket_base::linger(true, 0), ignored);
        m_socket.close(ignored);
    }

    tcp::socket m_socket;
    ServerState &m_server;
    HttpParser m_parser;
    std::array<char, 16U << 10U> m_buffer{};
};

void accept(tcp::acceptor &acceptor, ServerState &server)
{
    acceptor.async_accept([&acceptor, &server](const asio::error_code &error, tcp::socket socket) {
        if (error)
            return;
        std::make_shared<ServerConnection>(std::move(socket), server)->read();
        accept(acceptor, server);
    });
}

tcp::endpoint endpointOf(const std::string &text)
{
    const auto address = parseAddress(text);
    if (!address)
        throw std::runtime_error(text + ": " + address.error());
    return {asio::ip::make_address(address->ip), address->port};
}

CallerEvents orderEvents(std::vector<std::unique_ptr<ServerState>> &servers, const RanLog &log)
{
    CallerEvents events;
    events.onRequest = [&servers, &log](const CallerConnectionPtr &connection,
                                        const HttpRequest &request) {
        HttpResponse response;
        response.status = 200;
        std::uint64_t arrivals = 0;
        for (const auto &server : servers)
            arrivals += server->arrivals;
        if (request.method == "GET")
            response.body = request.target == "/ran" ? Json(log).dump() : std::to_string(arrivals);
        const std::string id = request.target.substr(request.target.find('?') + 1);
        for (const auto &server : servers)
            if (request.method == "POST" && server->id == id)
                server->mode = request.body;
        connection->respond(std::move(response));
    };
    events.onLeft = [](const CallerConnectionPtr &) {};
    events.onRejected = [](int) {};
    return events;
}

int run(int argc, char **argv)
{
    asio::io_context io;
    RanLog log;
    std::vector<std::unique_ptr<ServerState>> servers;
    std::vector<std::unique_ptr<tcp::acceptor>> acceptors;
    for (int i = 2; i < argc; ++i) {
        const std::string text = argv[i];
        const std::size_t first = text.find('=');
        const std::size_t second = text.find('=', first + 1);
        servers.push_back(std::make_unique<ServerState>());
        servers.back()->id = text.substr(0, first);
        servers.back()->service = text.substr(second + 1);
        servers.back()->log = &log;
        acceptors.push_back(std::make_unique<tcp::acceptor>(
            io, endpointOf(text.substr(first + 1, second - first - 1))));
        accept(*acceptors.back(), *servers.back());
    }
    CallerListener orders(io, 64, orderEvents(servers, log));
    const auto address = parseAddress(argv[1]);
    if (!address || !orders.listen(*address)) {
        std::fputs("fakeservers: the orders address cannot be listened on\n", stderr);
        return 3;
    }
    io.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3) {
        std::fputs("Usage: fakeservers ORDERS-ADDRESS ID=ADDRESS=SERVICE...\n", stderr);
        return 2;
    }
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "fakeservers: %s\n", error.what());
        return 3;
    }
}
