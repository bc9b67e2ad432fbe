#include "app/callerclient.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/write.hpp>

namespace mangoshift {

namespace {

using asio::ip::tcp;
using std::chrono::steady_clock;

constexpr std::size_t MaxResponseBytes = 16U << 20U;
/// How long a VM is skipped after a failure to connect to it or a timeout.
constexpr std::chrono::milliseconds SkipDuration{1000};
constexpr std::size_t MaxAttempts = 4;

} // namespace

ClientConnection::ClientConnection(asio::io_context &io, const Address &address)
    : m_socket(io)
    , m_timer(io)
    , m_endpoint(asio::ip::make_address(address.ip), address.port)
    , m_reader(MaxResponseBytes, [this](HttpResponse response) {
        const bool keepAlive = response.keepAlive;
        finish(End::Responded, std::move(response));
        if (!keepAlive)
            close();
    })
{
}

void ClientConnection::call(std::string bytes, std::chrono::milliseconds timeout, Done done)
{
    m_bytes = std::move(bytes);
    m_done = std::move(done);
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this()](asio::error_code error) {
        if (!error && self->m_done) {
            self->close();
            self->finish(End::TimedOut, {});
        }
    });
    if (m_isConnected)
        write();
    else
        connect();
}

void ClientConnection::close()
{
    m_isClosed = true;
    asio::error_code ignored;
    m_socket.close(ignored);
}

void ClientConnection::connect()
{
    m_socket.async_connect(m_endpoint, [self = shared_from_this()](asio::error_code error) {
        if (error) {
            self->close();
            self->finish(End::NotConnected, {});
            return;
        }
        self->m_isConnected = true;
        self->m_socket.set_option(tcp::no_delay(true), error);
        self->read();
        self->write();
    });
}

void ClientConnection::write()
{
    asio::async_write(m_socket, asio::buffer(m_bytes),
                      [self = shared_from_this()](asio::error_code error, std::size_t) {
                          if (error) {
                              self->close();
                              self->finish(End::Lost, {});
                          }
                      });
}

void ClientConnection::read()
{
    m_socket.async_read_some(
        asio::buffer(m_buffer), [self = shared_from_this()](asio::error_code error, std::size_t n) {
            // Bytes between two calls belong to no request.
            const bool isExpected = !error && self->m_done != nullptr;
            if (isExpected && self->m_reader.feed(self->m_buffer.data(), n) && !self->m_isClosed) {
                self->read();
                return;
            }
            self->close();
            self->finish(End::Lost, {});
        });
}

void ClientConnection::finish(End end, HttpResponse response)
{
    m_timer.cancel();
    if (Done done = std::exchange(m_done, nullptr)) {
        m_hasFinishedCall = true;
        done(end, std::move(response));
    }
}

CallerClient::CallerClient(asio::io_context &io, const std::vector<Address> &vms,
                           std::size_t maxConnectionsPerVm)
    : m_io(io)
    , m_maxConnectionsPerVm(maxConnectionsPerVm)
{
    for (const Address &address : vms)
        m_vms.push_back({address, {}, 0, {}});
}

void CallerClient::send(HttpRequest request, std::chrono::milliseconds timeout, Done done)
{
    start(std::make_shared<Request>(Request{std::move(request), timeout, std::move(done), 0}));
}

void CallerClient::start(const RequestPtr &request)
{
    Vm *vm = nextVm();
    if (vm == nullptr) {
        m_waiting.push_back(request);
        return;
    }
    const Connection connection = takeConnection(*vm);
    const bool wasReused = connection->hasFinishedCall();
    ++vm->inUse;
    ++request->attempts;
    connection->call(formatRequest(request->message, vm->address.toString()), request->timeout,
                     [this, vm, connection, request, wasReused](ClientConnection::End end,
                                                                HttpResponse response) {
                         onEnd(*vm, connection, request, wasReused, end, std::move(response));
                     });
}

CallerClient::Vm *CallerClient::nextVm()
{
    const auto now = steady_clock::now();
    Vm *fallback = nullptr;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        Vm &vm = m_vms[m_nextVm++ % m_vms.size()];
        if (vm.inUse >= m_maxConnectionsPerVm)
            continue;
        if (now >= vm.skippedUntil)
            return &vm;
        fallback = &vm;
    }
    return fallback;
}

CallerClient::Connection CallerClient::takeConnection(Vm &vm)
{
    while (!vm.idle.empty()) {
        Connection connection = vm.idle.back();
        vm.idle.pop_back();
        if (connection->isUsable())
            return connection;
    }
    return std::make_shared<ClientConnection>(m_io, vm.address);
}

void CallerClient::onEnd(Vm &vm, const Connection &connection, const RequestPtr &request,
                         bool wasReused, ClientConnection::End end, HttpResponse response)
{
    using End = ClientConnection::End;
    --vm.inUse;
    if (end == End::NotConnected || end == End::TimedOut)
        vm.skippedUntil = steady_clock::now() + SkipDuration;
    if (end == End::Responded && connection->isUsable() && response.keepAlive)
        vm.idle.push_back(connection);
    // A VM may close an idle kept-alive connection while a request is being sent on it. Queries are
    // idempotent, so such a request is sent again.
    const bool hasLostReusedConnection = end == End::Lost && wasReused;
    if ((end == End::NotConnected || hasLostReusedConnection) && request->attempts < MaxAttempts)
        start(request);
    else
        request->done(end, std::move(response));
    if (!m_waiting.empty()) {
        const RequestPtr next = m_waiting.front();
        m_waiting.pop_front();
        start(next);
    }
}

} // namespace mangoshift
