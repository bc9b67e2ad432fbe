#pragma once

#include "base/metrics.h"
#include "filters/callerrequest.h"

namespace httplib {
struct Response;
} // namespace httplib

namespace mangoshift {

/// Writes a problem into the response, as problem details with the problem's status and the
/// request's id, and counts the request by its outcome.
void respondWithProblem(const CallerRequest &request, const Problem &problem, Metrics &metrics,
                        httplib::Response &response);

/// The content type of problem details.
constexpr const char *ProblemType = "application/problem+json";

} // namespace mangoshift
