#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "base/address.h"
#include "http/httpclient.h"
#include "scriptedserver.h"

namespace mangoshift {

/// A response without an end: what it begins with, what is repeated, and how a client with small
/// limits must end the exchange.
struct Pour
{
    std::string begin;
    std::string repeated;
    HttpClient::End end;
};

/// All forms of HTTP responses without an end.
inline std::vector<Pour> endlessPours()
{
    using End = HttpClient::End;
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    return {{"", "\r\n", End::HeadersTooLarge},
            {"", "no HTTP", End::Malformed},
            {"HTTP/1.1 200 ", "reason ", End::HeadersTooLarge},
            {"", "HTTP/1.1 100 Continue\r\n\r\n", End::HeadersTooLarge},
            {"", "HTTP/1.1 103 \r\nLink: x\r\n\r\n", End::HeadersTooLarge},
            {head, "Name: value\r\n", End::HeadersTooLarge},
            {head + "Name: ", "value", End::HeadersTooLarge},
            {head, "name", End::HeadersTooLarge},
            {head + "\r\n", "body", End::BodyTooLarge},
            {head + "Content-Length: 99999999\r\n\r\n", "body", End::BodyTooLarge},
            {head + "Content-Length: 99999999999999999999999\r\n\r\n", "body", End::Malformed},
            {chunked, "4\r\nbody\r\n", End::BodyTooLarge},
            {chunked, "0", End::HeadersTooLarge},
            {chunked + "4;", "extension", End::HeadersTooLarge},
            {chunked + "0\r\n", "Trailer: value\r\n", End::HeadersTooLarge}};
}

/// A server on a thread of its own that responds to each request with bytes of a test: `begin`,
/// then `repeated` without end, unless that is empty.
class PouringServer
{
public:
    /// If `onPiece` is given, the server sends `repeated` once at a time and calls it before each.
    PouringServer(std::string begin, const std::string &repeated,
                  std::function<void()> onPiece = {})
        : m_begin(std::move(begin))
        , m_onPiece(std::move(onPiece))
        , m_server(m_io, [this](const ScriptedServer::ConnectionPtr &each) { onBytes(each); })
    {
        setRepeated(repeated);
        m_thread = std::thread([this] {
            while (!m_isStopping)
                m_io.run_one_for(std::chrono::milliseconds(50));
        });
    }
    ~PouringServer()
    {
        m_isStopping = true;
        m_thread.join();
    }
    PouringServer(const PouringServer &) = delete;
    PouringServer &operator=(const PouringServer &) = delete;

    Address address() const { return {"127.0.0.1", m_server.endpoint().port()}; }
    /// Sets the whole response to later requests.
    void setResponse(const std::string &response)
    {
        const std::lock_guard lock(m_mutex);
        m_begin = response;
        m_pieces.clear();
    }
    void closeAfterResponse() { m_closesAfterResponse = true; }
    /// Closes the connection of the next request without a response.
    void closeOnRequest() { m_closesOnRequest = true; }
    /// Closes all connections and returns once that is done.
    void closeConnections()
    {
        std::atomic<bool> isDone{false};
        asio::post(m_io, [&] {
            for (const auto &each : m_server.connections())
                each->close();
            isDone = true;
        });
        while (!isDone)
            std::this_thread::yield();
    }
    int requests() const { return m_requests; }
    int accepted() const { return m_accepted; }
    void waitForRequests(int count) const
    {
        while (m_requests < count)
            std::this_thread::yield();
    }

private:
    using ConnectionPtr = ScriptedServer::ConnectionPtr;

    /// What is poured at most into one connection, so that a test of a reader without a bound fails
    /// and leaves the machine its memory.
    static constexpr std::size_t MaxPouredBytes = 64U << 20U;

    /// Makes pieces of some KB, as pouring single words would take long.
    void setRepeated(const std::string &repeated)
    {
        constexpr std::size_t pieceBytes = 4096;
        m_pieces = repeated;
        while (!m_onPiece && !repeated.empty() && m_pieces.size() < pieceBytes)
            m_pieces += repeated;
    }

    void onBytes(const ConnectionPtr &connection)
    {
        if (connection->received.find("\r\n\r\n") == std::string::npos)
            return;
        connection->received.clear();
        ++m_requests;
        m_accepted = static_cast<int>(m_server.accepted());
        if (m_closesOnRequest.exchange(false)) {
            connection->close();
            return;
        }
        const std::lock_guard lock(m_mutex);
        connection->send(m_begin);
        if (m_closesAfterResponse)
            connection->close();
        else if (!m_pieces.empty())
            pour(connection, std::make_shared<std::string>(m_pieces));
    }

    void pour(const ConnectionPtr &connection, const std::shared_ptr<std::string> &piece,
              std::size_t poured = 0)
    {
        if (poured >= MaxPouredBytes)
            return;
        if (m_onPiece)
            m_onPiece();
        asio::async_write(
            connection->socket, asio::buffer(*piece),
            [this, connection, piece, poured](const asio::error_code &error, std::size_t size) {
                if (!error)
                    pour(connection, piece, poured + size);
            });
    }

    std::mutex m_mutex;
    std::string m_begin;
    std::string m_pieces;
    std::function<void()> m_onPiece;
    std::atomic<bool> m_closesAfterResponse{false};
    std::atomic<bool> m_closesOnRequest{false};
    std::atomic<int> m_requests{0};
    std::atomic<int> m_accepted{0};
    std::atomic<bool> m_isStopping{false};
    asio::io_context m_io;
    ScriptedServer m_server;
    std::thread m_thread;
};

} // namespace mangoshift
