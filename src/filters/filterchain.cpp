#include "filters/filterchain.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangoshift {

namespace {

/// The deepest nesting of objects and arrays that is accepted in a caller's JSON.
constexpr std::size_t MaxJsonDepth = 64;
/// The longest deadline that a caller may set.
constexpr std::chrono::milliseconds MaxDeadline{3'600'000};
constexpr std::size_t MaxRequestIdLength = 127;

bool isNestedTooDeep(const std::string &text)
{
    std::size_t depth = 0;
    bool isInString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (isInString) {
            if (c == '\\')
                ++i;
            else if (c == '"')
                isInString = false;
        } else if (c == '"') {
            isInString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > MaxJsonDepth)
                return true;
        } else if ((c == ']' || c == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

/// Returns whether a media type is `application/json`, in any case and with or without parameters.
bool isJsonType(std::string_view type)
{
    constexpr std::string_view json = "application/json";
    type = type.substr(0, type.find(';'));
    type = type.substr(0, type.find_last_not_of(" \t") + 1);
    return std::equal(type.begin(), type.end(), json.begin(), json.end(), [](char a, char b) {
        return std::tolower(static_cast<unsigned char>(a)) == b;
    });
}

bool isValidRequestId(std::string_view id)
{
    return !id.empty() && id.size() <= MaxRequestIdLength
        && std::all_of(id.begin(), id.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

} // namespace

std::optional<Problem> HeaderFilter::apply(CallerRequest &request) const
{
    if (std::string id = request.header("x-request-id"); isValidRequestId(id))
        request.requestId = std::move(id);
    const std::string type = request.header("content-type");
    if (!type.empty() && !isJsonType(type))
        return Problem{415, "Content-Type", "must be application/json"};
    return std::nullopt;
}

std::optional<Problem> ParseFilter::apply(CallerRequest &request) const
{
    if (!request.document)
        return Problem{
            503, {}, "no configuration is in force yet", {Execution::NotRun, Reason::NotReady}};
    request.service = request.document->document().service(request.serviceName);
    if (request.service == nullptr)
        return Problem{404, "service", "no service is called '" + request.serviceName + "'"};
    if (isNestedTooDeep(request.text))
        return Problem{400, "body", "is nested deeper than " + std::to_string(MaxJsonDepth)};
    if (!nlohmann::json::accept(request.text))
        return Problem{400, "body", "is not valid JSON"};
    return std::nullopt;
}

std::optional<Problem> IdempotencyFilter::apply(CallerRequest &request) const
{
    const RequestKind &kind = request.document->document().kinds[request.service->kind];
    if (kind.isIdempotent == isIdempotentRoute)
        return std::nullopt;
    return Problem{400, "service",
                   "requests of kind '" + kind.name
                       + (isIdempotentRoute ? "' are not idempotent: use /v1/submit"
                                            : "' are idempotent: use /v1/query")};
}

std::optional<Problem> DeadlineFilter::apply(CallerRequest &request) const
{
    std::chrono::milliseconds deadline = request.service->deadline;
    if (const std::string text = request.header("deadline-ms"); !text.empty()) {
        std::int64_t requested = 0;
        const auto [end, status] =
            std::from_chars(text.data(), text.data() + text.size(), requested);
        if (status != std::errc() || end != text.data() + text.size() || requested <= 0
            || requested > MaxDeadline.count())
            return Problem{400, "Deadline-Ms",
                           "must be a whole number of milliseconds from 1 to "
                               + std::to_string(MaxDeadline.count())};
        deadline = std::min(deadline, std::chrono::milliseconds(requested));
    }
    request.deadline = request.receivedAt + deadline;
    if (request.deadline <= Clock::now())
        return Problem{503,
                       {},
                       "the deadline passed before the request was read",
                       {Execution::NotRun, Reason::DeadlineExceeded}};
    return std::nullopt;
}

std::optional<Problem> BodyFilter::apply(CallerRequest &request) const
{
    const RequestKind &kind = request.document->document().kinds[request.service->kind];
    auto body = std::make_shared<RequestBody>();
    body->requestId = request.requestId;
    body->service = request.serviceName;
    body->traceparent = request.header("traceparent");
    body->body = std::move(request.text);
    body->priority = kind.priority;
    body->isIdempotent = kind.isIdempotent;
    request.body = std::move(body);
    return std::nullopt;
}

std::optional<Problem> runFilters(const FilterChain &chain, CallerRequest &request)
{
    for (const Filter &filter : chain) {
        auto problem = std::visit([&](const auto &each) { return each.apply(request); }, filter);
        if (problem)
            return problem;
    }
    return std::nullopt;
}

FilterChain queryFilters(AdmissionGate &gate)
{
    // Admission comes last, since an admitted request keeps its slot until it ends.
    return {HeaderFilter{},   ParseFilter{}, IdempotencyFilter{true},
            DeadlineFilter{}, BodyFilter{},  AdmissionFilter{&gate}};
}

FilterChain submitFilters()
{
    return {HeaderFilter{}, ParseFilter{}, IdempotencyFilter{false}, DeadlineFilter{},
            BodyFilter{}};
}

} // namespace mangoshift
