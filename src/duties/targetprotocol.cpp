#include "duties/targetprotocol.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace mangoshift {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusConflict = 409;

std::uint64_t parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// Parses `41-43` or `41`.
SnapshotRange parseSnapshotRange(std::string_view text)
{
    const auto dash = text.find('-');
    const SnapshotId oldest = parseNumber(text.substr(0, dash));
    const SnapshotId newest =
        dash == std::string_view::npos ? oldest : parseNumber(text.substr(dash + 1));
    return {oldest, newest};
}

bool isJsonArray(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    return first != std::string::npos && text[first] == '[' && nlohmann::json::accept(text);
}

Verdict verdictOfErrorResponse(const HttpResponse &response)
{
    if (response.headers.value("mangoshift-cancelled") == "true")
        return {Execution::MayHaveRun, Reason::Cancelled};
    const bool wasNotRun = response.headers.value("mangoshift-verdict") == "not-run";
    const std::chrono::seconds retryAfter(parseNumber(response.headers.value("retry-after")));
    if (!wasNotRun)
        return {Execution::MayHaveRun, Reason::Failed, retryAfter};
    if (response.headers.value("mangoshift-draining") == "true")
        return {Execution::NotRun, Reason::Draining, retryAfter};
    if (response.status == StatusConflict)
        return {Execution::NotRun, Reason::SnapshotGone, retryAfter};
    return {Execution::NotRun, Reason::Refused, retryAfter};
}

Verdict verdictWithoutResponse(const HttpResult &result)
{
    const Execution execution = result.hasSentBytes ? Execution::MayHaveRun : Execution::NotRun;
    switch (result.end) {
    case HttpResult::End::TimedOut:
        return {execution, Reason::DeadlineExceeded};
    case HttpResult::End::Malformed:
        return {execution, Reason::BadReply};
    default:
        return {execution, Reason::Lost};
    }
}

} // namespace

std::string formatCallId(std::uint64_t incarnation, CallId call)
{
    return std::to_string(incarnation) + "-" + std::to_string(call);
}

HttpRequest toTargetRequest(const ShardRequest &request, const std::string &shard,
                            Clock::time_point now)
{
    const RequestBody &body = *request.body;
    const auto timeLeft =
        std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - now);
    HttpRequest message;
    message.method = "POST";
    message.target = "/v1/services/" + body.service + "/shards/" + shard
        + (body.isIdempotent ? "/query" : "/submit");
    message.headers.add("content-type", "application/json");
    message.headers.add("deadline-ms", std::to_string(std::max<std::int64_t>(timeLeft.count(), 1)));
    message.headers.add("x-request-id", body.requestId);
    if (request.snapshot != 0)
        message.headers.add("mangoshift-snapshot", std::to_string(request.snapshot));
    if (!body.traceparent.empty())
        message.headers.add("traceparent", body.traceparent);
    if (!body.idempotencyKey.empty())
        message.headers.add("idempotency-key", body.idempotencyKey);
    message.body = body.body;
    return message;
}

CallOutcome toCallOutcome(const HttpResult &result)
{
    CallOutcome outcome;
    outcome.wasSent = result.hasSentBytes;
    outcome.isTargetResponsive = result.isTargetResponsive;
    if (result.end != HttpResult::End::Responded) {
        outcome.verdict = verdictWithoutResponse(result);
        return outcome;
    }
    const HttpResponse &response = result.response;
    outcome.held = parseSnapshotRange(response.headers.value("mangoshift-snapshots"));
    if (response.status != StatusOk) {
        outcome.verdict = verdictOfErrorResponse(response);
        return outcome;
    }
    outcome.snapshot = parseNumber(response.headers.value("mangoshift-snapshot"));
    if (outcome.snapshot == 0 || !isJsonArray(response.body)) {
        outcome.verdict = {Execution::Ran, Reason::BadReply};
        return outcome;
    }
    if (!outcome.held.isKnown())
        outcome.held = {outcome.snapshot, outcome.snapshot};
    outcome.verdict = {Execution::Ran, Reason::Ok};
    outcome.rows = response.body;
    return outcome;
}

} // namespace mangoshift
