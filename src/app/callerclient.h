#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "base/address.h"
#include "http/messagereader.h"

namespace mangoshift {

/// One kept-alive connection of a client, with at most one request on it at a time.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    enum class End : std::uint8_t {
        Answered,
        NotConnected, ///< No byte of the request was sent.
        Lost, ///< The connection closed under the request.
        TimedOut,
    };
    using Done = std::function<void(End, HttpResponse)>;

    ClientConnection(asio::io_context &io, const Address &address);

    /// Sends a request and calls `done` once, with the response or without. The connection is
    /// opened first where it is not.
    void call(std::string bytes, std::chrono::milliseconds timeout, Done done);
    /// Returns true while a further request may be sent on it.
    bool isUsable() const { return !m_isClosed; }
    bool hasFinishedCall() const { return m_hasFinishedCall; }
    void close();

private:
    void connect();
    void write();
    void read();
    void finish(End end, HttpResponse response);

    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    asio::ip::tcp::endpoint m_endpoint;
    MessageReader<HttpResponse> m_reader;
    std::array<char, 65536> m_buffer{};
    std::string m_bytes;
    Done m_done;
    bool m_isConnected = false;
    bool m_isClosed = false;
    bool m_hasFinishedCall = false;
};

/// A caller that sends many requests at once, spread over the entry VMs as a balancer would.
///
/// A VM that refuses a connection or lets a request time out is passed over for a short while.
/// Runs on the thread of its event loop only.
class CallerClient
{
public:
    using Done = ClientConnection::Done;

    CallerClient(asio::io_context &io, const std::vector<Address> &vms,
                 std::size_t maxConnectionsPerVm);

    /// Sends a request to the next VM in turn, or lets it wait for a free connection.
    void send(HttpRequest request, std::chrono::milliseconds timeout, Done done);

private:
    using Connection = std::shared_ptr<ClientConnection>;

    struct Vm
    {
        Address address;
        std::vector<Connection> idle;
        std::size_t inUse = 0;
        std::chrono::steady_clock::time_point skippedUntil;
    };
    struct Request
    {
        HttpRequest message;
        std::chrono::milliseconds timeout{0};
        Done done;
        std::size_t attempts = 0;
    };
    using RequestPtr = std::shared_ptr<Request>;

    void start(const RequestPtr &request);
    /// Returns the VM to use next, or a null pointer where every connection is in use.
    Vm *nextVm();
    Connection takeConnection(Vm &vm);
    void onEnd(Vm &vm, const Connection &connection, const RequestPtr &request, bool wasReused,
               ClientConnection::End end, HttpResponse response);

    asio::io_context &m_io;
    std::size_t m_maxConnectionsPerVm;
    std::vector<Vm> m_vms;
    std::size_t m_nextVm = 0;
    std::deque<RequestPtr> m_waiting;
};

} // namespace mangoshift
