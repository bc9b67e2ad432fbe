#pragma once

#include <array>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "http/httpparser.h"

namespace mangoshift {

class Server;

/// A connection accepted by one server.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(asio::ip::tcp::socket socket, Server &server);

    /// Starts reading requests and passes each of them to the server.
    void read();
    /// Writes all bytes, blocking; ignores errors.
    void send(const std::string &bytes);
    /// Writes `first`, then `repeated` again and again until the peer closes the connection.
    void sendForever(const std::string &first, std::string repeated);
    /// Closes the connection gracefully.
    void close();
    /// Closes the connection with a TCP reset.
    void reset();
    bool isOpen() const { return m_socket.is_open(); }

private:
    void repeat();
    void processBytes(const char *bytes, std::size_t size);

    asio::ip::tcp::socket m_socket;
    Server &m_server;
    HttpParser m_parser;
    std::array<char, 16U << 10U> m_buffer{};
    std::string m_repeated;
};

} // namespace mangoshift
