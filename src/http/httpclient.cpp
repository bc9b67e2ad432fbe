#include "http/httpclient.h"

#include <algorithm>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/ip/address.hpp>
#include <asio/post.hpp>
#include <asio/write.hpp>

namespace mangoshift {

namespace {

using asio::ip::tcp;

/// How often the deadline is compared with the clock, which tests pause.
constexpr std::chrono::milliseconds ClockCheckInterval{100};

HttpClient::End endOf(HttpFault fault)
{
    switch (fault) {
    case HttpFault::HeadersTooLarge:
        return HttpClient::End::HeadersTooLarge;
    case HttpFault::BodyTooLarge:
        return HttpClient::End::BodyTooLarge;
    default:
        return HttpClient::End::Malformed;
    }
}

} // namespace

HttpClient::HttpClient(Address address, HttpClientLimits limits)
    : m_address(std::move(address))
    , m_limits(limits)
    , m_socket(m_io)
{
}

HttpClient::Result HttpClient::get(const std::string &path)
{
    HttpRequest request;
    request.method = "GET";
    request.target = path;
    return send(std::move(request));
}

HttpClient::Result HttpClient::sendJson(const std::string &method, const std::string &path,
                                        const std::string &json, HttpHeaders headers)
{
    HttpRequest request;
    request.method = method;
    request.target = path;
    request.headers = std::move(headers);
    request.headers.add("Content-Type", "application/json");
    request.body = json;
    return send(std::move(request));
}

HttpClient::Result HttpClient::send(HttpRequest request)
{
    Result result;
    if (m_isAborted) {
        result.end = End::Aborted;
        return result;
    }
    if (!isReusable() && !connect(result))
        return result;
    const Clock::time_point deadline = Clock::now() + m_limits.answer;
    if (write(formatRequest(std::move(request), m_address.toString()), deadline, result))
        read(deadline, result);
    if (result.end != End::Responded || !result.response.keepAlive)
        close();
    return result;
}

void HttpClient::abort()
{
    m_isAborted = true;
    // Wakes the event loop, also one that is about to run.
    asio::post(m_io, [] {});
}

HttpClient::Wait HttpClient::runUntil(Clock::time_point deadline,
                                      const std::function<void(Handler)> &start)
{
    bool isDone = false;
    Wait wait = Wait::Done;
    m_io.restart();
    start([&](const asio::error_code &error, std::size_t transferred) {
        isDone = true;
        m_error = error;
        m_transferred = transferred;
    });
    for (;;) {
        const bool isOverdue = Clock::now() >= deadline;
        // What had arrived by the deadline still counts.
        m_io.poll();
        if (isDone)
            return wait;
        if (wait == Wait::Done && m_isAborted)
            wait = Wait::Aborted;
        else if (wait == Wait::Done && isOverdue)
            wait = Wait::Overdue;
        // Closing ends the operation, whose handler has to run before this function returns.
        if (wait != Wait::Done)
            close();
        m_io.run_one_for(ClockCheckInterval);
    }
}

bool HttpClient::connect(Result &result)
{
    close();
    result.end = End::NotConnected;
    asio::error_code error;
    const auto ip = asio::ip::make_address(m_address.ip, error);
    if (error)
        return false;
    const Wait wait = runUntil(Clock::now() + m_limits.connect, [&](const Handler &handler) {
        m_socket.async_connect(tcp::endpoint(ip, m_address.port),
                               [handler](const asio::error_code &failure) { handler(failure, 0); });
    });
    if (wait == Wait::Aborted)
        result.end = End::Aborted;
    if (wait != Wait::Done || m_error) {
        close();
        return false;
    }
    m_socket.set_option(tcp::no_delay(true), error);
    return true;
}

bool HttpClient::write(const std::string &bytes, Clock::time_point deadline, Result &result)
{
    result.end = End::Lost;
    std::size_t written = 0;
    while (written < bytes.size()) {
        const Wait wait = runUntil(deadline, [&](const Handler &handler) {
            m_socket.async_write_some(asio::buffer(bytes.data() + written, bytes.size() - written),
                                      handler);
        });
        result.hasSentBytes = result.hasSentBytes || wait != Wait::Done || !m_error;
        if (wait != Wait::Done) {
            result.end = wait == Wait::Aborted ? End::Aborted : End::TimedOut;
            return false;
        }
        if (m_error)
            return false;
        written += m_transferred;
    }
    return true;
}

void HttpClient::read(Clock::time_point deadline, Result &result)
{
    HttpParser parser(HttpParser::Side::Responses, m_limits.size);
    for (;;) {
        const Wait wait = runUntil(deadline, [&](const Handler &handler) {
            m_socket.async_read_some(asio::buffer(m_buffer), handler);
        });
        if (wait == Wait::Aborted) {
            result.end = End::Aborted;
            return;
        }
        if (wait == Wait::Overdue) {
            result.end = parser.hasBegun() ? End::TooSlow : End::TimedOut;
            return;
        }
        if (m_error == asio::error::eof)
            parser.finish();
        const std::size_t consumed = m_error ? 0 : parser.feed(m_buffer.data(), m_transferred);
        if (parser.fault() != HttpFault::None) {
            result.end = endOf(parser.fault());
            return;
        }
        if (parser.isComplete()) {
            result.end = End::Responded;
            result.response = parser.takeResponse();
            // Bytes after the response belong to no request.
            result.response.keepAlive =
                result.response.keepAlive && !m_error && consumed == m_transferred;
            return;
        }
        if (m_error) {
            result.end = End::Lost;
            return;
        }
        // Checked here too, because a response without an end may always have arrived by then.
        if (Clock::now() >= deadline) {
            result.end = End::TooSlow;
            return;
        }
    }
}

bool HttpClient::isReusable()
{
    if (!m_socket.is_open())
        return false;
    // A server that has closed the connection, or has sent bytes unasked, makes it readable.
    asio::error_code error;
    m_socket.non_blocking(true, error);
    char byte = 0;
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error == asio::error::would_block;
}

void HttpClient::close()
{
    asio::error_code ignored;
    m_socket.close(ignored);
}

std::string_view rejectionReason(HttpClient::End end)
{
    switch (end) {
    case HttpClient::End::TooSlow:
        return "too_slow";
    case HttpClient::End::Malformed:
        return "malformed";
    case HttpClient::End::HeadersTooLarge:
        return "headers_too_large";
    case HttpClient::End::BodyTooLarge:
        return "body_too_large";
    default:
        return {};
    }
}

} // namespace mangoshift
