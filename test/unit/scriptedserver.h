#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

namespace mangoshift {

/// A TCP listener on a free port of 127.0.0.1 that passes received bytes to a test's script.
class ScriptedServer
{
public:
    /// One accepted connection.
    struct Connection : std::enable_shared_from_this<Connection>
    {
        explicit Connection(asio::ip::tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        void send(const std::string &bytes) { asio::write(socket, asio::buffer(bytes)); }
        void close()
        {
            asio::error_code ignored;
            socket.close(ignored);
        }
        /// Closes the connection with a TCP reset.
        void reset()
        {
            socket.set_option(asio::socket_base::linger(true, 0));
            close();
        }

        asio::ip::tcp::socket socket;
        std::string received;
        std::array<char, 4096> buffer{};
    };
    using ConnectionPtr = std::shared_ptr<Connection>;
    /// Called when bytes arrive. `Connection::received` holds all bytes since the script last
    /// cleared it.
    using Script = std::function<void(const ConnectionPtr &)>;

    ScriptedServer(asio::io_context &io, Script script)
        : m_acceptor(io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
        , m_script(std::move(script))
    {
        accept();
    }

    asio::ip::tcp::endpoint endpoint() const { return m_acceptor.local_endpoint(); }
    std::size_t accepted() const { return m_connections.size(); }
    const std::vector<ConnectionPtr> &connections() const { return m_connections; }

private:
    void accept()
    {
        m_acceptor.async_accept(
            [this](const asio::error_code &error, asio::ip::tcp::socket socket) {
                if (error)
                    return;
                m_connections.push_back(std::make_shared<Connection>(std::move(socket)));
                read(m_connections.back());
                accept();
            });
    }

    void read(const ConnectionPtr &connection)
    {
        connection->socket.async_read_some(
            asio::buffer(connection->buffer),
            [this, connection](const asio::error_code &error, std::size_t size) {
                if (error)
                    return;
                connection->received.append(connection->buffer.data(), size);
                m_script(connection);
                if (connection->socket.is_open())
                    read(connection);
            });
    }

    asio::ip::tcp::acceptor m_acceptor;
    Script m_script;
    std::vector<ConnectionPtr> m_connections;
};

/// Runs the event loop until `isDone` returns true, for at most `timeout` of real time. Returns the
/// last result of `isDone`.
inline bool runUntil(asio::io_context &io, const std::function<bool()> &isDone,
                     std::chrono::seconds timeout = std::chrono::seconds(20))
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!isDone() && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds(50));
    return isDone();
}

} // namespace mangoshift
