#pragma once

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "filters/admissiongate.h"
#include "filters/callerrequest.h"

namespace mangoshift {

/// Checks the headers, and adopts the caller's `X-Request-Id` if it is safe to write to logs.
struct HeaderFilter
{
    std::optional<Problem> apply(CallerRequest &request) const;
};

/// Looks up the service in the configuration in force and checks that the body is JSON.
struct ParseFilter
{
    std::optional<Problem> apply(CallerRequest &request) const;
};

/// Sets the deadline to the earlier of the caller's `Deadline-Ms` and the service's own deadline.
struct DeadlineFilter
{
    std::optional<Problem> apply(CallerRequest &request) const;
};

/// Rejects a request whose kind does not match the route: the query route accepts only idempotent
/// requests, and the submit route only requests that are not idempotent.
struct IdempotencyFilter
{
    bool isIdempotentRoute = true;
    std::optional<Problem> apply(CallerRequest &request) const;
};

/// Builds the body that is sent to the shards.
struct BodyFilter
{
    std::optional<Problem> apply(CallerRequest &request) const;
};

/// Refuses the request if the admission controller has no capacity for it.
struct AdmissionFilter
{
    AdmissionGate *gate = nullptr;
    std::optional<Problem> apply(CallerRequest &request) const { return gate->admit(request); }
};

using Filter = std::variant<HeaderFilter, ParseFilter, IdempotencyFilter, DeadlineFilter,
                            BodyFilter, AdmissionFilter>;
using FilterChain = std::vector<Filter>;

/// Runs the filters in order. Returns the first problem found, or nothing if the request passed.
std::optional<Problem> runFilters(const FilterChain &chain, CallerRequest &request);

/// Returns the filter chain for queries; `gate` must outlive it.
FilterChain queryFilters(AdmissionGate &gate);

/// Returns the filter chain for requests that are not idempotent.
FilterChain submitFilters();

} // namespace mangoshift
