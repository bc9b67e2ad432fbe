#include "duties/problemresponse.h"

#include <chrono>
#include <string>

#include <httplib.h>

#include "filters/answerjson.h"

namespace mangoshift {

namespace {

constexpr int NotRunStatus = 503;
/// When a caller should retry if nothing is known of the time until its request can be served.
constexpr std::chrono::milliseconds DefaultRetryAfter{1000};

} // namespace

int failureStatus(const Verdict &verdict)
{
    if (verdict.execution == Execution::NotRun)
        return verdict.reason == Reason::BadRequest ? 400 : NotRunStatus;
    return verdict.reason == Reason::DeadlineExceeded ? 504 : 502;
}

void respondWithProblem(const CallerRequest &request, Problem problem, Metrics &metrics,
                        httplib::Response &response)
{
    const bool isNotRun =
        problem.status == NotRunStatus && problem.verdict.execution == Execution::NotRun;
    if (isNotRun && problem.verdict.retryAfter.count() == 0)
        problem.verdict.retryAfter = DefaultRetryAfter;
    const bool isKnown = request.service != nullptr;
    metrics.requests
        .Add({{"service", isKnown ? request.serviceName : "unknown"},
              {"outcome", problem.verdict.execution == Execution::NotRun ? "refused" : "error"}})
        .Increment();
    response.status = problem.status;
    if (problem.verdict.retryAfter.count() > 0) {
        const auto seconds =
            std::chrono::ceil<std::chrono::seconds>(problem.verdict.retryAfter).count();
        response.set_header("Retry-After", std::to_string(seconds));
    }
    response.set_content(problemJson(problem, request.requestId), ProblemType);
    response.set_header("X-Request-Id", request.requestId);
}

} // namespace mangoshift
