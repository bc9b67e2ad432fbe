#include "http/httpexchange.h"

#include <algorithm>
#include <array>
#include <cctype>

#include <http_parser.h>

namespace mangoshift {

namespace {

/// The hop-by-hop headers of RFC 9110, section 7.6.1, and others that are not forwarded:
/// `content-length` is generated for each hop, `expect` is handled by this VM, and
/// `proxy-authorization` is addressed to a proxy.
constexpr std::array<std::string_view, 10> HopByHopHeaders{
    "connection", "keep-alive",        "proxy-connection", "te",     "trailer",
    "upgrade",    "transfer-encoding", "content-length",   "expect", "proxy-authorization"};

void appendHeaders(std::string &bytes, const HttpHeaders &headers)
{
    for (const auto &[name, value] : headers.entries()) {
        bytes += name;
        bytes += ": ";
        bytes += value;
        bytes += "\r\n";
    }
}

char toLower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

bool listContains(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        const std::size_t first = item.find_first_not_of(" \t");
        const std::size_t last = item.find_last_not_of(" \t");
        if (first != std::string_view::npos
            && isSameHeader(item.substr(first, last - first + 1), name))
            return true;
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

} // namespace

bool isSameHeader(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return toLower(x) == toLower(y);
           });
}

std::string_view HttpHeaders::value(std::string_view name) const
{
    for (const auto &[key, value] : m_entries)
        if (isSameHeader(key, name))
            return value;
    return {};
}

bool HttpHeaders::contains(std::string_view name) const
{
    return count(name) > 0;
}

std::size_t HttpHeaders::count(std::string_view name) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [&](const Entry &entry) { return isSameHeader(entry.first, name); }));
}

bool isHopByHop(std::string_view name, const HttpHeaders &headers)
{
    for (const std::string_view known : HopByHopHeaders)
        if (isSameHeader(name, known))
            return true;
    for (const auto &[key, value] : headers.entries())
        if (isSameHeader(key, "connection") && listContains(value, name))
            return true;
    return false;
}

void appendRequest(std::string &bytes, const HttpRequest &request)
{
    bytes += request.method;
    bytes += ' ';
    bytes += request.target;
    bytes += " HTTP/1.1\r\n";
    appendHeaders(bytes, request.headers);
    const bool hasLength = !request.body.empty() || request.method == "POST"
        || request.method == "PUT" || request.method == "PATCH";
    if (hasLength)
        bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    bytes += "\r\n";
    bytes += request.body;
}

std::string formatRequest(HttpRequest request, std::string_view host)
{
    request.headers.add("host", std::string(host));
    std::string bytes;
    appendRequest(bytes, request);
    return bytes;
}

void appendResponse(std::string &bytes, const HttpResponse &response, bool isHead)
{
    bytes += "HTTP/1.1 " + std::to_string(response.status) + " "
        + http_status_str(static_cast<http_status>(response.status)) + "\r\n";
    appendHeaders(bytes, response.headers);
    if (response.status != 204 && response.status != 304)
        bytes += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (!response.keepAlive)
        bytes += "Connection: close\r\n";
    bytes += "\r\n";
    if (!isHead)
        bytes += response.body;
}

} // namespace mangoshift
