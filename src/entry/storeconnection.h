#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <tl/expected.hpp>

#include "base/address.h"
#include "http/httpparser.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// Fetches from the store: one GET at a time over one persistent connection.
///
/// The connection is closed after any failure, since a connection on which a response was lost
/// delivers no further responses. Belongs to one thread.
class StoreConnection
{
public:
    /// The response, or the reason of the failure, as a text for the log.
    using Result = tl::expected<HttpResponse, std::string>;
    using Done = std::function<void(Result)>;

    StoreConnection(asio::io_context &io, Address address);
    StoreConnection(const StoreConnection &) = delete;
    StoreConnection &operator=(const StoreConnection &) = delete;
    ~StoreConnection();

    /// Sends a GET for `uri`. `done` is called exactly once, after at most `timeout` and never
    /// from within `get`; it is not called if the object is destroyed first.
    void get(const std::string &uri, std::chrono::milliseconds timeout, Done done);

private:
    struct Link;

    Address m_address;
    asio::io_context &m_io;
    std::shared_ptr<Link> m_link;
};

} // namespace mangoshift
