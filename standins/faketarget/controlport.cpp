#include "faketarget/controlport.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace mangoshift {

namespace {

using asio::ip::tcp;
using Json = nlohmann::json;

} // namespace

ControlPort::ControlPort(asio::io_context &io, const Address &address, Targets targets)
    : m_acceptor(io, tcp::endpoint(asio::ip::make_address(address.ip), address.port))
    , m_targets(std::move(targets))
{
}

void ControlPort::start()
{
    m_acceptor.async_accept([this](asio::error_code error, tcp::socket socket) {
        if (!error)
            std::make_shared<ServedConnection>(
                std::move(socket),
                [this](const std::shared_ptr<ServedConnection> &connection,
                       const HttpRequest &request) { connection->respond(handle(request)); })
                ->start([] {});
        start();
    });
}

HttpResponse ControlPort::handle(const HttpRequest &request)
{
    HttpResponse response;
    response.status = 200;
    if (request.method == "GET" && request.target == "/records") {
        Json records;
        for (const auto &[name, target] : m_targets)
            records[name] = target->recordJson();
        response.body = records.dump();
        return response;
    }
    const std::string prefix = "/targets/";
    const Json change = Json::parse(request.body, nullptr, false);
    if (request.target.rfind(prefix, 0) != 0 || !change.is_object()) {
        response.status = 400;
        return response;
    }
    const std::string name = request.target.substr(prefix.size());
    for (auto &[targetName, target] : m_targets) {
        if (name != "*" && name != targetName)
            continue;
        applyChange(target->behaviour(), change);
        if (change.value("silence_open", false))
            target->silenceOpenConnections();
        if (change.contains("down"))
            change["down"].get<bool>() ? target->shutDown() : target->start();
    }
    return response;
}

} // namespace mangoshift
