#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <http_parser.h>

#include "http/httpexchange.h"

namespace mangoshift {

/// Why a connection's bytes are not a message that is taken.
enum class HttpFault : std::uint8_t {
    None,
    Malformed, ///< Not HTTP/1.1, or framed in more than one way.
    HeadersTooLarge,
    BodyTooLarge,
};

/// The greatest sizes of one message, in bytes.
struct HttpSizeLimits
{
    std::size_t headers = 16U << 10U;
    std::size_t body = 4U << 20U;
};

/// Turns the bytes of one connection into messages, one at a time.
///
/// Each call of `feed` takes bytes up to the end of the next message at most, so that what follows
/// belongs visibly to another. A message that is framed in more than one way is malformed. Not
/// thread safe.
class HttpParser
{
public:
    enum class Side : std::uint8_t { Requests, Responses };

    HttpParser(Side side, HttpSizeLimits limits);
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Takes bytes and returns how many of them. Check `fault` and `isComplete` after each call.
    std::size_t feed(const char *bytes, std::size_t size);
    /// Takes in the orderly end of the connection, which ends a response without a length.
    void finish();

    HttpFault fault() const { return m_fault; }
    /// Returns true where a whole message can be taken.
    bool isComplete() const { return m_isComplete; }
    /// Returns true once any byte of the next message has come.
    bool hasBegun() const { return m_hasBegun; }
    /// Returns true once the headers of the next message are in.
    bool hasHeaders() const { return m_hasHeaders; }
    /// Returns true where the sender waits for a word before it sends the body.
    bool expectsContinue() const;

    /// Returns the message and begins the next. Only where `isComplete`.
    HttpRequest takeRequest();
    HttpResponse takeResponse();

    void setLimits(HttpSizeLimits limits) { m_limits = limits; }
    /// Says that the next response answers a HEAD request and has no body.
    void setIsHeadResponse(bool isHeadResponse) { m_isHeadResponse = isHeadResponse; }

private:
    static const http_parser_settings &callbacks();
    static int onUrl(http_parser *parser, const char *at, std::size_t size);
    static int onField(http_parser *parser, const char *at, std::size_t size);
    static int onValue(http_parser *parser, const char *at, std::size_t size);
    static int onHeadersComplete(http_parser *parser);
    static int onBody(http_parser *parser, const char *at, std::size_t size);
    static int onComplete(http_parser *parser);

    bool addHeaderBytes(std::size_t size);
    void resetForNextMessage();

    Side m_side;
    HttpSizeLimits m_limits;
    http_parser m_parser{};
    HttpFault m_fault = HttpFault::None;
    bool m_hasBegun = false;
    bool m_hasHeaders = false;
    bool m_isComplete = false;
    bool m_isInValue = false;
    bool m_isHeadResponse = false;
    std::size_t m_headerBytes = 0;
    std::string m_target;
    HttpHeaders m_headers;
    std::string m_body;
};

} // namespace mangoshift
