#include "entry/storeconnection.h"

#include <algorithm>
#include <array>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

#include "http/socketoptions.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

/// A page of the store holds up to 1 MB of values, which base64 makes a third larger.
constexpr HttpSizeLimits StoreLimits{64U << 10U, 8U << 20U};
constexpr std::size_t ReadBytes = 64U << 10U;
/// How long a connection may take to be established: a hundred times the round trip to the store.
constexpr std::chrono::milliseconds ConnectTimeout{700};

} // namespace

/// One connection and the request on it. Kept alive by its asynchronous operations.
struct StoreConnection::Link : std::enable_shared_from_this<Link>
{
    explicit Link(asio::io_context &io)
        : socket(io)
        , timer(io)
        , connectTimer(io)
        , parser(HttpParser::Side::Responses, StoreLimits)
    {
    }

    void connect(const tcp::endpoint &endpoint)
    {
        connectTimer.expires_after(ConnectTimeout);
        connectTimer.async_wait([self = shared_from_this()](const asio::error_code &error) {
            if (!error && !self->isClosed && !self->isConnected)
                self->fail("connect timeout");
        });
        socket.async_connect(endpoint, [self = shared_from_this()](const asio::error_code &error) {
            if (self->isClosed)
                return;
            if (error) {
                self->fail(error.message());
                return;
            }
            self->isConnected = true;
            self->connectTimer.cancel();
            prepareSocket(self->socket);
            self->write();
            self->read();
        });
    }

    void start(std::string request, std::chrono::milliseconds timeout, Done handler)
    {
        outgoing = std::move(request);
        done = std::move(handler);
        timer.expires_after(timeout);
        timer.async_wait(
            [self = shared_from_this(), at = timer.expiry()](const asio::error_code &error) {
                if (!error && self->isPending(at))
                    self->onTimeout(at);
            });
    }

    /// Returns whether the request whose time ends at `timeoutAt` has not ended yet.
    bool isPending(Clock::time_point timeoutAt) const
    {
        return !isClosed && done && timer.expiry() == timeoutAt;
    }

    void onTimeout(Clock::time_point at)
    {
        // A busy thread may not have read the response yet.
        readArrived(at);
        if (isPending(at))
            fail("timeout");
    }

    void write()
    {
        asio::async_write(socket, asio::buffer(outgoing),
                          [self = shared_from_this()](const asio::error_code &error, std::size_t) {
                              if (error && !self->isClosed)
                                  self->fail(error.message());
                          });
    }

    void read()
    {
        if (std::exchange(isWaitingForData, true))
            return;
        socket.async_wait(tcp::socket::wait_read,
                          [self = shared_from_this()](const asio::error_code &error) {
                              self->isWaitingForData = false;
                              if (self->isClosed)
                                  return;
                              if (error)
                                  self->fail(error.message());
                              else
                                  self->readBytes();
                          });
    }

    /// Handles all that has arrived for the request whose time ends at `timeoutAt`.
    void readArrived(Clock::time_point timeoutAt)
    {
        asio::error_code ignored;
        // Not more than this, so that a store that sends on and on does not hold up the thread.
        std::size_t left = isConnected ? socket.available(ignored) : 0;
        while (left > 0 && isPending(timeoutAt)) {
            const std::size_t size = readBytes();
            left -= std::min(left, size);
            if (size == 0)
                return;
        }
    }

    /// Reads once, and returns the number of bytes that had arrived.
    std::size_t readBytes()
    {
        static thread_local std::array<char, ReadBytes> buffer;
        asio::error_code error;
        const std::size_t size = socket.read_some(asio::buffer(buffer), error);
        if (error && error != asio::error::would_block) {
            fail(error.message());
            return 0;
        }
        const std::size_t consumed = parser.feed(buffer.data(), size);
        if (parser.fault() != HttpFault::None || consumed < size || (size > 0 && !done)) {
            fail("malformed response");
            return size;
        }
        if (parser.isComplete())
            finish(parser.takeResponse());
        if (!isClosed)
            read();
        return size;
    }

    void finish(HttpResponse response)
    {
        timer.cancel();
        if (!response.keepAlive)
            close();
        const Done handler = std::exchange(done, nullptr);
        handler(std::move(response));
    }

    void fail(const std::string &why)
    {
        close();
        if (const Done handler = std::exchange(done, nullptr))
            handler(tl::make_unexpected(why));
    }

    void close()
    {
        isClosed = true;
        timer.cancel();
        connectTimer.cancel();
        asio::error_code ignored;
        socket.close(ignored);
    }

    tcp::socket socket;
    asio::basic_waitable_timer<Clock> timer;
    asio::basic_waitable_timer<Clock> connectTimer;
    HttpParser parser;
    std::string outgoing;
    Done done;
    bool isConnected = false;
    bool isWaitingForData = false;
    bool isClosed = false;
};

StoreConnection::StoreConnection(asio::io_context &io, Address address)
    : m_address(std::move(address))
    , m_io(io)
{
}

StoreConnection::~StoreConnection()
{
    if (m_link) {
        m_link->done = nullptr;
        m_link->close();
    }
}

void StoreConnection::get(const std::string &uri, std::chrono::milliseconds timeout, Done done)
{
    const std::string request =
        "GET " + uri + " HTTP/1.1\r\nHost: " + m_address.toString() + "\r\n\r\n";
    if (m_link && !m_link->isClosed) {
        m_link->start(request, timeout, std::move(done));
        m_link->write();
        return;
    }
    asio::error_code error;
    const auto ip = asio::ip::make_address(m_address.ip, error);
    if (error) {
        asio::post(m_io, [done = std::move(done)] { done(tl::make_unexpected("bad address")); });
        return;
    }
    m_link = std::make_shared<Link>(m_io);
    m_link->start(request, timeout, std::move(done));
    m_link->connect(tcp::endpoint(ip, m_address.port));
}

} // namespace mangoshift
