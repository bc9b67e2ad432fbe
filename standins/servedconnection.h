#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>

#include "base/address.h"
#include "http/messagereader.h"

namespace mangoshift {

/// An HTTP connection accepted by a stand-in. It calls the handler for each request; the stand-in
/// responds at any later time.
class ServedConnection : public std::enable_shared_from_this<ServedConnection>
{
public:
    using OnRequest = std::function<void(const std::shared_ptr<ServedConnection> &, HttpRequest)>;

    ServedConnection(asio::ip::tcp::socket socket, OnRequest onRequest)
        : m_socket(std::move(socket))
        , m_onRequest(std::move(onRequest))
        , m_reader(MaxBodyBytes, [this](HttpRequest message) {
            m_onRequest(shared_from_this(), std::move(message));
        })
    {
    }

    /// Starts reading requests. Calls `onClosed` once, when the connection has closed.
    void start(std::function<void()> onClosed)
    {
        m_onClosed = std::move(onClosed);
        asio::error_code ignored;
        m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        read();
    }

    void respond(const HttpResponse &response)
    {
        const auto bytes = std::make_shared<std::string>();
        appendResponse(*bytes, response, false);
        asio::async_write(m_socket, asio::buffer(*bytes),
                          [self = shared_from_this(), bytes](asio::error_code, std::size_t) {});
    }

    bool isOpen() const { return m_socket.is_open(); }

    void close()
    {
        asio::error_code ignored;
        m_socket.close(ignored);
    }

private:
    static constexpr std::size_t MaxBodyBytes = 4U << 20U;

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                if (!error && self->m_reader.feed(self->m_buffer.data(), size)) {
                    self->read();
                    return;
                }
                self->close();
                if (auto onClosed = std::exchange(self->m_onClosed, nullptr))
                    onClosed();
            });
    }

    asio::ip::tcp::socket m_socket;
    OnRequest m_onRequest;
    std::function<void()> m_onClosed;
    MessageReader<HttpRequest> m_reader;
    std::array<char, 16384> m_buffer{};
};

} // namespace mangoshift
