// Stands in for the platform's targets, which this program and its events call servers. One process
// serves any number of them.
//
//     fakeservers [OPTION...] CONTROL-ADDRESS ID=ADDRESS=SERVICE...
//
// A server runs each request whose X-Expect-Instance header is absent or names the server. The
// response carries a stamp (the X-Server-Stamp header) and 16-byte records derived from the name
// of the service and, with `--records-by-id`, from the request id. These options apply to all
// servers: --work-ms, --max-work-ms, --slots, --queue, --connections, --pause-ms, --pause-every-ms,
// and --events FILE, which writes a line for each arrival, run, refusal, end and cancellation. The
// control address takes:
//
//     POST /mode?ID      sets how the server behaves, see `Server::mode`
//     POST /end?ID       shuts the server down; its address refuses connections
//     POST /replace?ID   replaces the server with the one in the body, NEW-ID=SERVICE
//     GET /ran           returns a JSON object: request id -> ids of the servers that ran it
//     GET /got           the same with the servers that received it, including refused requests
//     GET /arrivals      returns the number of requests received, including refused ones

#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <getopt.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <nlohmann/json.hpp>

#include "base/address.h"
#include "fakeservers/server.h"
#include "http/callerlistener.h"

namespace {

using namespace mangoshift;
using asio::ip::tcp;
using std::chrono::milliseconds;
using Json = nlohmann::json;
using Servers = std::vector<std::unique_ptr<Server>>;

struct Arguments
{
    ServerOptions options;
    std::string events;
    std::string controlAddress;
    std::vector<std::string> servers;
};

Arguments parseArguments(int argc, char **argv)
{
    static const option longOptions[] = {{"work-ms", required_argument, nullptr, 'w'},
                                         {"max-work-ms", required_argument, nullptr, 'm'},
                                         {"slots", required_argument, nullptr, 's'},
                                         {"queue", required_argument, nullptr, 'q'},
                                         {"connections", required_argument, nullptr, 'c'},
                                         {"pause-ms", required_argument, nullptr, 'p'},
                                         {"pause-every-ms", required_argument, nullptr, 'v'},
                                         {"events", required_argument, nullptr, 'e'},
                                         {"records-by-id", no_argument, nullptr, 'r'},
                                         {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    ServerOptions &options = arguments.options;
    for (int c = 0; (c = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (c) {
        case 'w':
            options.serviceTime = milliseconds(std::stoi(value));
            break;
        case 'm':
            options.maxServiceTime = milliseconds(std::stoi(value));
            break;
        case 's':
            options.slots = std::stoul(value);
            break;
        case 'q':
            options.queueLimit = std::stoul(value);
            break;
        case 'c':
            options.maxConnections = std::stoul(value);
            break;
        case 'p':
            options.pause = milliseconds(std::stoi(value));
            break;
        case 'v':
            options.pauseInterval = milliseconds(std::stoi(value));
            break;
        case 'e':
            arguments.events = value;
            break;
        case 'r':
            options.hasPerRequestRecords = true;
            break;
        default:
            throw std::runtime_error("unknown option");
        }
    }
    if (argc - optind < 2)
        throw std::runtime_error("a control address and at least one server are required");
    arguments.controlAddress = argv[optind];
    arguments.servers.assign(argv + optind + 1, argv + argc);
    return arguments;
}

tcp::endpoint parseEndpoint(const std::string &text)
{
    const auto address = parseAddress(text);
    if (!address)
        throw std::runtime_error(text + ": " + address.error());
    return {asio::ip::make_address(address->ip), address->port};
}

using Counts = std::map<std::string, std::size_t>;

std::string countsJson(const Servers &servers, Counts Server::*counts)
{
    std::map<std::string, std::vector<std::string>> serversByRequest;
    for (const auto &server : servers)
        for (const auto &[request, times] : (*server).*counts)
            for (std::size_t i = 0; i < times; ++i)
                serversByRequest[request].push_back(server->id());
    return Json(serversByRequest).dump();
}

std::string arrivalsText(const Servers &servers)
{
    std::uint64_t arrivals = 0;
    for (const auto &server : servers)
        arrivals += server->arrivals;
    return std::to_string(arrivals);
}

void applyControl(Server &server, const std::string &path, const std::string &body)
{
    if (path == "/mode")
        server.mode = body;
    else if (path == "/end")
        server.close();
    else if (path == "/replace")
        server.replaceWith(body.substr(0, body.find('=')), body.substr(body.find('=') + 1));
}

CallerEvents makeControlEvents(const Servers &servers)
{
    CallerEvents events;
    events.onRequest = [&servers](const CallerConnectionPtr &connection,
                                  const HttpRequest &request) {
        HttpResponse response;
        response.status = 200;
        const std::size_t queryStart = request.target.find('?');
        const std::string id = request.target.substr(queryStart + 1);
        if (request.target == "/ran")
            response.body = countsJson(servers, &Server::runCounts);
        else if (request.target == "/got")
            response.body = countsJson(servers, &Server::arrivalCounts);
        else if (request.method == "GET")
            response.body = arrivalsText(servers);
        else
            for (const auto &server : servers)
                if (server->id() == id)
                    applyControl(*server, request.target.substr(0, queryStart), request.body);
        connection->respond(std::move(response));
    };
    events.onCallerDisconnected = [](const CallerConnectionPtr &, ConnectionEnd::Cause) {};
    events.onRejected = [](int) {};
    return events;
}

int run(const Arguments &arguments)
{
    asio::io_context io(1);
    EventFile events(arguments.events);
    Servers servers;
    for (const std::string &serverSpec : arguments.servers) {
        const std::size_t idEnd = serverSpec.find('=');
        const std::size_t addressEnd = serverSpec.find('=', idEnd + 1);
        servers.push_back(std::make_unique<Server>(io, serverSpec.substr(0, idEnd),
                                                   serverSpec.substr(addressEnd + 1),
                                                   arguments.options, events));
        servers.back()->open(parseEndpoint(serverSpec.substr(idEnd + 1, addressEnd - idEnd - 1)));
    }
    CallerListener control(io, 64, makeControlEvents(servers));
    const auto address = parseAddress(arguments.controlAddress);
    if (!address || !control.listen(*address))
        throw std::runtime_error("cannot listen on the control address");
    io.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(parseArguments(argc, argv));
    } catch (const std::exception &error) {
        std::fprintf(stderr, "fakeservers: %s\n", error.what());
        return 3;
    }
}
