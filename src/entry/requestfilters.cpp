#include "entry/requestfilters.h"

#include <algorithm>
#include <charconv>

#include "http/httpstatus.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t MaxIdLength = 256;
/// How long before the caller's deadline the response is due, so that it arrives in time on links
/// with a latency of a few milliseconds.
constexpr milliseconds DeadlineMargin{15};
/// When a caller should retry on a VM that has just started, which reads its configuration in about
/// 20 ms.
constexpr milliseconds StartRetryAfter{200};

std::optional<milliseconds> parseMilliseconds(std::string_view text)
{
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size() || value < 0)
        return std::nullopt;
    return milliseconds(value);
}

Rejection badRequest(int status)
{
    return {status, {Execution::NotRun, Reason::BadRequest}};
}

} // namespace

std::optional<Rejection> ReadRequestId::apply(IncomingRequest &request) const
{
    request.id = request.http.headers.value(requestIdHeader);
    if (request.id.empty() || request.id.size() > MaxIdLength)
        return badRequest(httpstatus::BadRequest);
    return std::nullopt;
}

std::optional<Rejection> RequireConfiguration::apply(IncomingRequest &request) const
{
    if (request.routing)
        return std::nullopt;
    return Rejection{httpstatus::ServiceUnavailable,
                     {Execution::NotRun, Reason::NotReady, StartRetryAfter}};
}

std::optional<Rejection> MatchRoute::apply(IncomingRequest &request) const
{
    request.route = request.routing->match(request.http.headers.value("host"), request.http.target);
    if (request.route == nullptr)
        return badRequest(httpstatus::NotFound);
    return std::nullopt;
}

std::optional<Rejection> SetDeadline::apply(IncomingRequest &request) const
{
    request.deadline = request.receivedAt + request.route->timeout;
    const auto left = parseMilliseconds(request.http.headers.value(timeLeftHeader));
    if (left)
        request.deadline =
            std::min(request.deadline,
                     request.receivedAt + std::max(*left - DeadlineMargin, milliseconds(0)));
    if (request.deadline > request.receivedAt)
        return std::nullopt;
    return Rejection{httpstatus::ServiceUnavailable, {Execution::NotRun, Reason::DeadlineExceeded}};
}

RequestFilterChain::RequestFilterChain(const EntryHeaderNames &names)
    : m_filters{ReadRequestId{names.target.requestId}, RequireConfiguration{}, MatchRoute{},
                SetDeadline{names.target.timeLeft}}
{
}

std::optional<Rejection> RequestFilterChain::apply(IncomingRequest &request) const
{
    for (const RequestFilter &filter : m_filters) {
        auto rejection =
            std::visit([&request](const auto &each) { return each.apply(request); }, filter);
        if (rejection)
            return rejection;
    }
    return std::nullopt;
}

} // namespace mangoshift
