#include "http/callerlistener.h"

#include <utility>
#include <vector>

#include <asio/ip/address.hpp>

#include "base/log.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

constexpr int Backlog = 1024;

} // namespace

CallerListener::CallerListener(asio::io_context &io, std::size_t maxConnections,
                               CallerEvents events)
    : m_acceptor(io)
    , m_acceptLoop(m_acceptor, [this](tcp::socket socket) { adopt(std::move(socket)); })
    , m_maxConnections(maxConnections)
    , m_events(std::move(events))
{
    m_events.onClosed = [this](const CallerConnectionPtr &connection) {
        m_connections.erase(connection);
    };
}

CallerListener::~CallerListener()
{
    const std::vector<CallerConnectionPtr> all(m_connections.begin(), m_connections.end());
    for (const CallerConnectionPtr &connection : all)
        connection->close(ConnectionEnd::Cause::Stop);
}

bool CallerListener::listen(const Address &address)
{
    asio::error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (error)
        return false;
    const tcp::endpoint endpoint(ip, address.port);
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (error)
        return false;
    m_acceptor.listen(Backlog, error);
    if (error)
        return false;
    m_acceptLoop.start();
    return true;
}

void CallerListener::adopt(tcp::socket socket)
{
    if (m_connections.size() >= m_maxConnections) {
        logEvent(LogLevel::Warning, "connection_rejected",
                 {{"connections", std::to_string(m_connections.size())}});
        return;
    }
    const auto connection =
        std::make_shared<CallerConnection>(std::move(socket), m_events, m_limits);
    if (m_isClosingAfterResponses)
        connection->closeAfterResponse();
    m_connections.insert(connection);
    connection->start();
}

void CallerListener::stopAccepting()
{
    if (!m_acceptor.is_open())
        return;
    // The system has accepted these connections already, and resets them with the socket.
    asio::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_acceptor.get_executor());
        m_acceptor.accept(socket, error);
        if (!error)
            adopt(std::move(socket));
    }
    asio::error_code ignored;
    m_acceptor.close(ignored);
}

void CallerListener::sweep(Clock::time_point now)
{
    const std::vector<CallerConnectionPtr> all(m_connections.begin(), m_connections.end());
    for (const CallerConnectionPtr &connection : all)
        connection->sweep(now, m_limits);
}

void CallerListener::closeAfterResponses()
{
    m_isClosingAfterResponses = true;
    for (const CallerConnectionPtr &connection : m_connections)
        connection->closeAfterResponse();
}

void CallerListener::closeIdle()
{
    const std::vector<CallerConnectionPtr> all(m_connections.begin(), m_connections.end());
    for (const CallerConnectionPtr &connection : all)
        connection->closeIfIdle();
}

} // namespace mangoshift
