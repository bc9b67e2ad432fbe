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

/// A client of the store: one GET at a time over one connection that is kept.
///
/// The connection is closed after any failure, as one on which an answer was lost brings nothing
/// more. Belongs to one thread.
class StoreConnection
{
public:
    /// The response, or what went wrong: `timeout`, or the network's error.
    using Result = tl::expected<HttpResponse, std::string>;
    using Done = std::function<void(Result)>;

    StoreConnection(asio::io_context &io, Address address);
    StoreConnection(const StoreConnection &) = delete;
    StoreConnection &operator=(const StoreConnection &) = delete;
    ~StoreConnection();

    /// Asks for `target`. `done` is called exactly once, `timeout` later at the latest, never from
    /// within `get`; not if the object is destroyed first.
    void get(const std::string &target, std::chrono::milliseconds timeout, Done done);

private:
    struct Link;

    Address m_address;
    asio::io_context &m_io;
    std::shared_ptr<Link> m_link;
};

} // namespace mangoshift
