#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mangoshift {

/// The headers of one message, in their order and spelling.
class HttpHeaders
{
public:
    using Entry = std::pair<std::string, std::string>;

    void add(std::string name, std::string value)
    {
        m_entries.emplace_back(std::move(name), std::move(value));
    }
    /// Returns the first value of a header, whatever its capitals; empty where it is absent.
    std::string_view value(std::string_view name) const;
    bool contains(std::string_view name) const;
    /// Returns how often a header is there.
    std::size_t count(std::string_view name) const;
    const std::vector<Entry> &entries() const { return m_entries; }
    std::vector<Entry> &entries() { return m_entries; }

private:
    std::vector<Entry> m_entries;
};

/// Compares header names, whatever their capitals.
bool isSameHeader(std::string_view a, std::string_view b);

/// Returns true where the header concerns one connection only, as it stands in `headers`, and is
/// not to be passed on.
bool isHopByHop(std::string_view name, const HttpHeaders &headers);

struct HttpRequest
{
    std::string method;
    /// The path and query, as they came.
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

/// Appends the bytes of a request, its length header included where it has a body.
void appendRequest(std::string &bytes, const HttpRequest &request);
/// Returns the bytes of a request to `host`.
std::string formatRequest(HttpRequest request, std::string_view host);
/// Appends the bytes of a response with its length. `isHead` leaves out the body.
void appendResponse(std::string &bytes, const HttpResponse &response, bool isHead);

} // namespace mangoshift
