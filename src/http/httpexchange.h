#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangoshift {

/// The headers of one message, in their original order and spelling.
class HttpHeaders
{
public:
    using Entry = std::pair<std::string, std::string>;

    void add(std::string name, std::string value)
    {
        m_entries.emplace_back(std::move(name), std::move(value));
    }
    /// Returns the value of the first header with this name, ignoring case; empty if there is none.
    std::string_view value(std::string_view name) const;
    bool contains(std::string_view name) const;
    /// Returns the number of headers with this name, ignoring case.
    std::size_t count(std::string_view name) const;
    const std::vector<Entry> &entries() const { return m_entries; }
    std::vector<Entry> &entries() { return m_entries; }

private:
    std::vector<Entry> m_entries;
};

/// Returns true if two header names, or two values that are not case-sensitive, are equal, ignoring
/// case.
bool isSameHeader(std::string_view a, std::string_view b);

/// Returns true if the header applies to one connection only and must not be forwarded, either by
/// its name or because a Connection header in `headers` lists it.
bool isHopByHop(std::string_view name, const HttpHeaders &headers);

struct HttpRequest
{
    std::string method;
    /// The request target of HTTP: the path and query, as received.
    std::string target;
    HttpHeaders headers;
    std::string body;
    bool keepAlive = true;
};

struct HttpResponse
{
    int status = 0;
    HttpHeaders headers;
    std::string body;
    bool keepAlive = true;
};

/// Serializes a request. Adds Content-Length if the request has a body or its method expects one.
void appendRequest(std::string &bytes, const HttpRequest &request);
/// Serializes a request with a Host header for `host`.
std::string formatRequest(HttpRequest request, std::string_view host);
/// Serializes a response. Adds Content-Length unless the status is 204 or 304. Omits the body if
/// `isHead` is true.
void appendResponse(std::string &bytes, const HttpResponse &response, bool isHead);

} // namespace mangoshift
