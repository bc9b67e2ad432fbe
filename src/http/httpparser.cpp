#include "http/httpparser.h"

#include <algorithm>
#include <utility>

#include "http/httpstatus.h"

namespace mangoshift {

namespace {

/// The size of the shortest status line with its line end.
constexpr std::size_t StatusLineBytes = 15;

/// The underlying parser accepts spaces in header names, which other HTTP implementations interpret
/// differently. Such requests could be used for request smuggling.
bool hasSpaceInName(const HttpHeaders &headers)
{
    return std::any_of(headers.entries().begin(), headers.entries().end(),
                       [](const HttpHeaders::Entry &entry) {
                           return entry.first.find_first_of(" \t") != std::string::npos;
                       });
}

/// Blanks around a value are no part of it. The underlying parser removes those before it only.
void removeTrailingBlanks(HttpHeaders &headers)
{
    for (auto &[name, value] : headers.entries())
        value.erase(value.find_last_not_of(" \t") + 1);
}

/// Returns whether the end of a response's body cannot be told from its head, or the body would
/// have to be decoded. The underlying parser rejects several lengths, and a length beside chunks.
bool hasInvalidFraming(const http_parser &parser, const HttpHeaders &headers)
{
    const int status = static_cast<int>(parser.status_code);
    const bool cannotHaveBody = httpstatus::isInterim(status) || status == httpstatus::NoContent;
    if (headers.contains("transfer-encoding")) {
        const bool isHttp10 = parser.http_minor == 0;
        const bool isChunked = headers.count("transfer-encoding") == 1
            && isSameHeader(headers.value("transfer-encoding"), "chunked");
        return cannotHaveBody || isHttp10 || !isChunked;
    }
    const bool hasLength = (parser.flags & F_CONTENTLENGTH) != 0;
    return cannotHaveBody && hasLength && parser.content_length > 0;
}

HttpParser *parserOf(http_parser *parser)
{
    return static_cast<HttpParser *>(parser->data);
}

} // namespace

HttpParser::HttpParser(Side side, HttpSizeLimits limits)
    : m_side(side)
    , m_limits(limits)
{
    http_parser_init(&m_parser, side == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

std::size_t HttpParser::feed(const char *bytes, std::size_t size)
{
    if (m_fault != HttpFault::None || m_isComplete)
        return 0;
    m_hasBegun = m_hasBegun || size > 0;
    m_unchecked = bytes;
    const std::size_t consumed = http_parser_execute(&m_parser, &callbacks(), bytes, size);
    checkSyntax(bytes + consumed);
    const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
    if (error == HPE_PAUSED)
        return consumed;
    if (m_fault == HttpFault::None && (error != HPE_OK || m_parser.upgrade != 0))
        m_fault = error == HPE_HEADER_OVERFLOW ? HttpFault::HeadersTooLarge : HttpFault::Malformed;
    return consumed;
}

void HttpParser::finish()
{
    if (m_fault == HttpFault::None && !m_isComplete)
        http_parser_execute(&m_parser, &callbacks(), nullptr, 0);
}

bool HttpParser::expectsContinue() const
{
    return m_hasHeaders && !m_isComplete && isSameHeader(m_headers.value("expect"), "100-continue");
}

HttpRequest HttpParser::takeRequest()
{
    HttpRequest request;
    request.method = http_method_str(static_cast<http_method>(m_parser.method));
    request.target = std::move(m_requestTarget);
    request.headers = std::move(m_headers);
    request.body = std::move(m_body);
    request.keepAlive = http_should_keep_alive(&m_parser) != 0;
    resetForNextMessage();
    return request;
}

HttpResponse HttpParser::takeResponse()
{
    HttpResponse response;
    response.status = static_cast<int>(m_parser.status_code);
    response.headers = std::move(m_headers);
    response.body = std::move(m_body);
    response.keepAlive = http_should_keep_alive(&m_parser) != 0;
    resetForNextMessage();
    return response;
}

void HttpParser::resetForNextMessage()
{
    m_hasBegun = false;
    m_hasHeaders = false;
    m_isComplete = false;
    m_isInValue = false;
    m_headerBytes = 0;
    m_requestTarget.clear();
    m_headers = {};
    m_body.clear();
    m_syntax = {};
    http_parser_init(&m_parser, m_side == Side::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

bool HttpParser::addHeaderBytes(std::size_t size)
{
    m_headerBytes += size;
    if (m_headerBytes <= m_limits.headers)
        return true;
    m_fault = HttpFault::HeadersTooLarge;
    return false;
}

bool HttpParser::checkSyntax(const char *end)
{
    if (m_fault != HttpFault::None)
        return false;
    const std::string_view unchecked(m_unchecked, static_cast<std::size_t>(end - m_unchecked));
    m_unchecked = end;
    if (m_side == Side::Requests || m_syntax.accept(unchecked))
        return true;
    m_fault = HttpFault::Malformed;
    m_isComplete = false;
    return false;
}

int HttpParser::onUrl(http_parser *parser, const char *at, std::size_t size)
{
    HttpParser &self = *parserOf(parser);
    if (!self.addHeaderBytes(size))
        return 1;
    self.m_requestTarget.append(at, size);
    return 0;
}

int HttpParser::onField(http_parser *parser, const char *at, std::size_t size)
{
    HttpParser &self = *parserOf(parser);
    // Trailers after a chunked body are ignored.
    if (self.m_hasHeaders)
        return 0;
    if (!self.addHeaderBytes(size))
        return 1;
    if (std::exchange(self.m_isInValue, false) || self.m_headers.entries().empty())
        self.m_headers.add({}, {});
    self.m_headers.entries().back().first.append(at, size);
    return 0;
}

int HttpParser::onValue(http_parser *parser, const char *at, std::size_t size)
{
    HttpParser &self = *parserOf(parser);
    if (self.m_hasHeaders)
        return 0;
    if (!self.addHeaderBytes(size))
        return 1;
    self.m_isInValue = true;
    self.m_headers.entries().back().second.append(at, size);
    return 0;
}

int HttpParser::onHeadersComplete(http_parser *parser)
{
    HttpParser &self = *parserOf(parser);
    self.m_hasHeaders = true;
    if (parser->type == HTTP_RESPONSE)
        removeTrailingBlanks(self.m_headers);
    const bool isAmbiguous = parser->type == HTTP_REQUEST
        && (self.m_headers.count("host") > 1 || hasSpaceInName(self.m_headers));
    const bool isInvalid =
        parser->type == HTTP_RESPONSE && hasInvalidFraming(*parser, self.m_headers);
    if (isAmbiguous || isInvalid) {
        self.m_fault = HttpFault::Malformed;
        return -1;
    }
    // The head of such a response describes the body that another request would get.
    const bool hasNoBody = parser->type == HTTP_RESPONSE
        && (self.m_isHeadResponse || parser->status_code == httpstatus::NotModified);
    if ((parser->flags & F_CONTENTLENGTH) != 0 && parser->content_length > self.m_limits.body
        && !hasNoBody) {
        self.m_fault = HttpFault::BodyTooLarge;
        return -1;
    }
    constexpr int skipBody = 1;
    return hasNoBody ? skipBody : 0;
}

int HttpParser::onBody(http_parser *parser, const char *at, std::size_t size)
{
    HttpParser &self = *parserOf(parser);
    if (!self.checkSyntax(at))
        return 1;
    self.m_unchecked = at + size;
    if (self.m_body.size() + size > self.m_limits.body) {
        self.m_fault = HttpFault::BodyTooLarge;
        return 1;
    }
    self.m_body.append(at, size);
    return 0;
}

int HttpParser::onComplete(http_parser *parser)
{
    HttpParser &self = *parserOf(parser);
    // Skips an interim (1xx) response, which precedes the final one.
    if (parser->type == HTTP_RESPONSE && parser->status_code / 100 == 1) {
        self.m_headers = {};
        self.m_hasHeaders = false;
        self.m_isInValue = false;
        // Interim responses count as headers of the final one, so that they end some time.
        return self.addHeaderBytes(StatusLineBytes) ? 0 : 1;
    }
    self.m_isComplete = true;
    http_parser_pause(parser, 1);
    return 0;
}

const http_parser_settings &HttpParser::callbacks()
{
    static const http_parser_settings settings = [] {
        http_parser_settings all{};
        http_parser_settings_init(&all);
        all.on_url = &HttpParser::onUrl;
        all.on_header_field = &HttpParser::onField;
        all.on_header_value = &HttpParser::onValue;
        all.on_headers_complete = &HttpParser::onHeadersComplete;
        all.on_body = &HttpParser::onBody;
        all.on_message_complete = &HttpParser::onComplete;
        return all;
    }();
    return settings;
}

} // namespace mangoshift
