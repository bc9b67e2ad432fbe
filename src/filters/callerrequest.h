#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "mangoshift/clock.h"
#include "mangoshift/document.h"
#include "mangoshift/outcome.h"

namespace mangoshift {

/// A caller's request on its way through the filter chain. Each filter sets the fields that it is
/// responsible for.
struct CallerRequest
{
    // As received from the caller.
    std::string serviceName;
    std::map<std::string, std::string, std::less<>> headers; ///< Names in lower case.
    std::string text;
    Clock::time_point receivedAt; ///< When it reached this VM.

    // Set by the filters.
    std::string requestId;
    DocumentPtr document;
    const Service *service = nullptr;
    Clock::time_point deadline;
    std::shared_ptr<const RequestBody> body;
    /// Whether the admission controller counts this request as in flight.
    bool isAdmitted = false;

    /// Returns the value of a header, or an empty string. `name` is in lower case.
    std::string header(const std::string &name) const
    {
        const auto it = headers.find(name);
        return it == headers.end() ? std::string() : it->second;
    }
};

/// Why a request was rejected or refused, as reported to the caller in problem details (RFC 9457).
struct Problem
{
    int status = 400;
    /// What is at fault: a header's name, `service`, `body` or `count`; empty if none of them is.
    std::string field;
    std::string detail;
    Verdict verdict{Execution::NotRun, Reason::BadRequest};
    /// The limit that refused the request, for metrics; empty if no limit did.
    std::string_view cause = {};
};

} // namespace mangoshift
