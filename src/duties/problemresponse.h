#pragma once

#include "base/metrics.h"
#include "filters/callerrequest.h"

namespace httplib {
struct Response;
} // namespace httplib

namespace mangoshift {

/// Returns the status of the response to a request that failed: 400 if it is invalid, and otherwise
/// 503 if and only if it has not run, so that the caller may send it again.
int failureStatus(const Verdict &verdict);

/// Writes a problem into the response, as problem details with the problem's status and the
/// request's id, and counts the request by its outcome. A refusal as not run always states when the
/// request may be sent again.
void respondWithProblem(const CallerRequest &request, Problem problem, Metrics &metrics,
                        httplib::Response &response);

/// The content type of problem details.
constexpr const char *ProblemType = "application/problem+json";

} // namespace mangoshift
