#pragma once

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>
#include <sys/socket.h>
#include <sys/types.h>

#include "base/address.h"

namespace mangoshift::testing {

/// What is poured at most into one connection, so that a test of a reader without a bound fails and
/// leaves the machine its memory.
constexpr std::size_t MaxPouredBytes = 128U << 20U;

/// Bytes without an end: `begin`, then `repeated` again and again.
struct Endless
{
    std::string begin;
    std::string repeated;
    /// The pause after each `repeated`; zero to send as fast as they are taken.
    std::chrono::milliseconds pause{0};
};

/// Returns the forms of HTTP responses without an end, of which each kind of reader must take a
/// bounded part.
inline std::vector<Endless> endlessResponses()
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    return {{"", "\r\n"},
            {"", "HTTP/1.1 100 Continue\r\n\r\n"},
            {head, "Name: value\r\n"},
            {head + "Name: ", "value"},
            {head + "\r\n", "body"},
            {head + "Content-Length: 99999999999\r\n\r\n", "body"},
            {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\nbody\r\n"}};
}

/// Sends bytes without an end until the peer closes the connection or `MaxPouredBytes` were sent.
/// Returns how many were sent.
inline std::size_t pour(asio::ip::tcp::socket &socket, const Endless &bytes,
                        const std::atomic<bool> *isStopping = nullptr)
{
    constexpr std::size_t pieceBytes = 64U << 10U;
    std::string piece = bytes.repeated;
    while (bytes.pause.count() == 0 && piece.size() < pieceBytes)
        piece += bytes.repeated;
    asio::error_code error;
    std::size_t sent = asio::write(socket, asio::buffer(bytes.begin), error);
    while (!error && sent < MaxPouredBytes && (isStopping == nullptr || !*isStopping)) {
        sent += asio::write(socket, asio::buffer(piece), error);
        if (bytes.pause.count() > 0) {
            asio::io_context io;
            asio::steady_timer(io, bytes.pause).wait();
        }
    }
    return sent;
}

/// A server that responds to whatever it receives with bytes without an end.
class EndlessServer
{
public:
    EndlessServer(const Address &address, Endless bytes)
        : m_bytes(std::move(bytes))
        , m_acceptor(m_io, asio::ip::tcp::v4())
    {
        // As the stand-ins do, whose last connections may still be closing.
        using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        m_acceptor.set_option(ReusePort(true));
        m_acceptor.bind({asio::ip::make_address(address.ip), address.port});
        m_acceptor.listen();
        m_thread = std::thread([this] { acceptAll(); });
    }
    ~EndlessServer()
    {
        m_isStopping = true;
        {
            const std::lock_guard lock(m_mutex);
            // Ends the reads and writes of the other threads.
            for (const auto &socket : m_sockets)
                ::shutdown(socket->native_handle(), SHUT_RDWR);
        }
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        for (std::thread &each : m_connections)
            each.join();
    }
    EndlessServer(const EndlessServer &) = delete;
    EndlessServer &operator=(const EndlessServer &) = delete;

    std::string address() const
    {
        const auto endpoint = m_acceptor.local_endpoint();
        return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    }
    /// The most bytes that any connection took.
    std::size_t mostPoured() const { return m_mostPoured; }

private:
    void acceptAll()
    {
        while (!m_isStopping) {
            auto socket = std::make_shared<asio::ip::tcp::socket>(m_io);
            asio::error_code error;
            m_acceptor.accept(*socket, error);
            const std::lock_guard lock(m_mutex);
            if (error || m_isStopping)
                return;
            m_sockets.push_back(socket);
            m_connections.emplace_back([this, socket] { serve(*socket); });
        }
    }

    void serve(asio::ip::tcp::socket &socket)
    {
        std::array<char, 4096> buffer{};
        asio::error_code error;
        socket.read_some(asio::buffer(buffer), error);
        if (error)
            return;
        const std::size_t sent = pour(socket, m_bytes, &m_isStopping);
        const std::lock_guard lock(m_mutex);
        m_mostPoured = std::max<std::size_t>(m_mostPoured, sent);
        // A reader without a bound waits for more, until the server is destroyed.
        if (sent < MaxPouredBytes)
            socket.close(error);
    }

    Endless m_bytes;
    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<bool> m_isStopping{false};
    std::atomic<std::size_t> m_mostPoured{0};
    std::mutex m_mutex;
    std::vector<std::shared_ptr<asio::ip::tcp::socket>> m_sockets;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// Returns the most memory that a process has had resident, in bytes.
inline std::size_t peakMemory(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string word; status >> word;)
        if (std::size_t kilobytes = 0; word == "VmHWM:" && status >> kilobytes)
            return kilobytes * 1024;
    return 0;
}

} // namespace mangoshift::testing
