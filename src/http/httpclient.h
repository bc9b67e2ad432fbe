#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "base/address.h"
#include "http/httpparser.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// The limits on one exchange of an `HttpClient`.
struct HttpClientLimits
{
    /// The maximum sizes of a response; a larger one is rejected.
    HttpSizeLimits size;
    /// The maximum time to establish a connection.
    std::chrono::milliseconds connect{1000};
    /// The maximum time from then until the last byte of the response, however it trickles.
    std::chrono::milliseconds answer{5000};
};

/// A blocking HTTP/1.1 client with one connection, which reads no more than its limits allow.
///
/// The connection is reused if the server keeps it open, and is closed after any failure. A request
/// is never sent twice: if a reused connection turns out to be lost, the exchange fails. Belongs to
/// one thread, except for `abort`.
class HttpClient
{
public:
    /// How an exchange ended.
    enum class End : std::uint8_t {
        Responded, ///< A response arrived, of any status.
        NotConnected, ///< No connection could be made: no byte of the request was sent.
        Lost, ///< The connection ended before the response did.
        TimedOut, ///< No byte of the response arrived in time.
        TooSlow, ///< The response had begun and did not end in time.
        Malformed, ///< The response is not valid HTTP.
        HeadersTooLarge,
        BodyTooLarge,
        Aborted,
    };
    struct Result
    {
        End end = End::NotConnected;
        /// Whether any byte of the request was given to the socket. If not, it cannot have run.
        bool hasSentBytes = false;
        /// Empty unless the exchange ended with `End::Responded`.
        HttpResponse response;

        /// Returns true if there is a response with this status.
        bool hasStatus(int status) const
        {
            return end == End::Responded && response.status == status;
        }
    };

    HttpClient(Address address, HttpClientLimits limits);
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    /// Sends a request and waits for the response. `request` needs no Host header.
    Result send(HttpRequest request);
    Result get(const std::string &path);
    /// Sends a JSON text with the method `method`.
    Result sendJson(const std::string &method, const std::string &path, const std::string &json,
                    HttpHeaders headers = {});

    /// Ends the pending exchange, if any, and all later ones with `End::Aborted`. Safe to call from
    /// any thread.
    void abort();

private:
    /// Receives the result of an asynchronous operation.
    using Handler = std::function<void(const asio::error_code &, std::size_t)>;
    enum class Wait : std::uint8_t { Done, Overdue, Aborted };

    /// Runs one asynchronous operation until it ends, the deadline passes or the client is aborted.
    /// In the latter two cases the connection is closed.
    Wait runUntil(Clock::time_point deadline, const std::function<void(Handler)> &start);
    bool connect(Result &result);
    bool write(const std::string &bytes, Clock::time_point deadline, Result &result);
    void read(Clock::time_point deadline, Result &result);
    /// Returns true if the connection is open and has received nothing since the last response.
    bool isReusable();
    void close();

    Address m_address;
    HttpClientLimits m_limits;
    asio::io_context m_io{1};
    asio::ip::tcp::socket m_socket;
    std::atomic<bool> m_isAborted{false};
    asio::error_code m_error;
    std::size_t m_transferred = 0;
    std::array<char, 64U << 10U> m_buffer{};
};

/// Returns the reason for which a response was rejected, as a text for the log, or an empty text if
/// the exchange ended otherwise.
std::string_view rejectionReason(HttpClient::End end);

} // namespace mangoshift
