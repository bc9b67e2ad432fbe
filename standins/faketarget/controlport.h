#pragma once

#include <map>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "base/address.h"
#include "faketarget/target.h"
#include "http/httpexchange.h"

namespace mangoshift {

/// Serves the control address: `PUT /targets/NAME` (`*` for all targets) changes the behaviour of a
/// target, `GET /records` returns the record of every target.
class ControlPort
{
public:
    using Targets = std::map<std::string, std::shared_ptr<FakeTarget>>;

    ControlPort(asio::io_context &io, const Address &address, Targets targets);

    void start();

private:
    HttpResponse handle(const HttpRequest &request);

    asio::ip::tcp::acceptor m_acceptor;
    Targets m_targets;
};

} // namespace mangoshift
