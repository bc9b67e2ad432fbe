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

/// A kept-alive HTTP connection to an entry VM, with at most one request in flight.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// How a call ended.
    enum class End : std::uint8_t {
        Responded, ///< A response arrived, of any status.
        NotConnected, ///< No byte of the request was sent.
        Lost, ///< The connection failed, or the response was malformed or too large.
        TimedOut, ///< The timeout passed before the response was complete.
    };
    using Done = std::function<void(End, HttpResponse)>;

    ClientConnection(asio::io_context &io, const Address &address);

    /// Sends the request in `bytes` and calls `done` once. The response is empty unless the call
    /// ends with `End::Responded`. The first call opens the connection. Must not be called while
    /// another call is in flight.
    void call(std::string bytes, std::chrono::milliseconds timeout, Done done);
    /// Returns true until the connection is closed, also during a call.
    bool isUsable() const { return !m_isClosed; }
    /// Returns true once a call on this connection has ended.
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

/// Sends many concurrent requests, distributed round robin over the entry VMs as a load balancer
/// would.
///
/// A VM to which no connection can be made, or that lets a request time out, is skipped for a
/// second if another VM has a free connection. Not thread safe: must be used on the thread of its
/// event loop.
class CallerClient
{
public:
    using Done = ClientConnection::Done;

    CallerClient(asio::io_context &io, const std::vector<Address> &vms,
                 std::size_t maxConnectionsPerVm);

    /// Sends a request to the next VM, or queues it until a connection is free. If no connection
    /// can be made, or a reused connection is lost, the request is sent again, in at most 4
    /// attempts. Calls `done` once, after the last attempt. `timeout` applies to each attempt and
    /// does not include the time in the queue.
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
    /// Returns the VM to use next, or a null pointer if every VM has its maximum of connections in
    /// use.
    Vm *nextVm();
    /// Returns an idle connection to the VM, or a new one.
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
