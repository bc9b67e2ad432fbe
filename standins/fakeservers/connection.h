#pragma once

#include <array>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "http/httpparser.h"

namespace mangoshift {

class Server;

/// One connection to one server.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(asio::ip::tcp::socket socket, Server &server);

    void read();
    void send(const std::string &bytes);
    /// Closes in an orderly way.
    void close();
    void reset();
    bool isOpen() const { return m_socket.is_open(); }

private:
    void processBytes(const char *bytes, std::size_t size);

    asio::ip::tcp::socket m_socket;
    Server &m_server;
    HttpParser m_parser;
    std::array<char, 16U << 10U> m_buffer{};
};

} // namespace mangoshift
