#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include <http_parser.h>

#include "http/httpexchange.h"
#include "http/responsesyntax.h"

namespace mangoshift {

/// Why a message was rejected.
enum class HttpFault : std::uint8_t {
    None,
    Malformed, ///< Not valid HTTP/1.1, or with ambiguous framing.
    HeadersTooLarge,
    BodyTooLarge,
};

/// The maximum sizes of one message, in bytes.
struct HttpSizeLimits
{
    std::size_t headers = 16U << 10U;
    std::size_t body = 4U << 20U;
};

/// An incremental parser for the HTTP messages of one connection.
///
/// Each call of `feed` consumes bytes up to the end of the current message at most, so that its
/// return value shows whether further bytes follow the message. A message with ambiguous framing,
/// such as two different lengths, is malformed. Not thread-safe.
class HttpParser
{
public:
    enum class Side : std::uint8_t { Requests, Responses };

    HttpParser(Side side, HttpSizeLimits limits);
    HttpParser(const HttpParser &) = delete;
    HttpParser &operator=(const HttpParser &) = delete;

    /// Parses bytes and returns how many were consumed. Check `fault` and `isComplete` after each
    /// call.
    std::size_t feed(const char *bytes, std::size_t size);
    /// Signals that the peer closed the connection, which ends a response without a length.
    void finish();

    HttpFault fault() const { return m_fault; }
    /// Returns true if a complete message is available.
    bool isComplete() const { return m_isComplete; }
    /// Returns true once any byte of the current message was received.
    bool hasBegun() const { return m_hasBegun; }
    /// Returns true once all headers of the current message were received.
    bool hasHeaders() const { return m_hasHeaders; }
    /// Returns true if the sender waits for a 100 Continue response before it sends the body.
    bool expectsContinue() const;

    /// Returns the message and prepares for the next one. Requires `isComplete()`.
    HttpRequest takeRequest();
    HttpResponse takeResponse();

    void setLimits(HttpSizeLimits limits) { m_limits = limits; }
    /// Sets whether the next response answers a HEAD request and therefore has no body.
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
    /// Checks the syntax of a response from the first unchecked byte up to `end`. Returns false,
    /// and sets the fault, if it is malformed.
    bool checkSyntax(const char *end);
    void resetForNextMessage();

    Side m_side;
    HttpSizeLimits m_limits;
    http_parser m_parser{};
    ResponseSyntax m_syntax;
    /// The first byte of the present call of `feed` that neither was checked nor belongs to a body.
    const char *m_unchecked = nullptr;
    HttpFault m_fault = HttpFault::None;
    bool m_hasBegun = false;
    bool m_hasHeaders = false;
    bool m_isComplete = false;
    bool m_isInValue = false;
    bool m_isHeadResponse = false;
    std::size_t m_headerBytes = 0;
    std::string m_requestTarget;
    HttpHeaders m_headers;
    std::string m_body;
};

} // namespace mangoshift
