#include "duties/submitroutes.h"

#include <charconv>
#include <future>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/jsontext.h"
#include "base/log.h"
#include "duties/callerpool.h"
#include "duties/callerserver.h"
#include "duties/problemresponse.h"

namespace mangoshift {

namespace {

/// The maximum number of tickets per request.
constexpr std::size_t MaxTicketsAtOnce = 1000;
/// How long past a submission's deadline the thread that serves the caller waits for the ticket
/// duty.
constexpr std::chrono::milliseconds OutcomeGracePeriod{500};
constexpr std::chrono::seconds IssueTimeout{1};
/// The `Retry-After` of a refusal that carries no advice.
constexpr std::chrono::milliseconds DefaultRetryAfter{1000};
constexpr const char *JsonType = "application/json";
constexpr const char *TicketHeader = "Idempotency-Key";
constexpr const char *ShardKeyHeader = "Shard-Key";

/// Parses the `count` parameter of a request for tickets; defaults to one. Returns nothing if it is
/// invalid.
std::optional<std::size_t> parseTicketCount(const httplib::Request &request)
{
    if (!request.has_param("count"))
        return 1;
    const std::string text = request.get_param_value("count");
    std::size_t count = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), count);
    if (status != std::errc() || end != text.data() + text.size() || count == 0
        || count > MaxTicketsAtOnce)
        return std::nullopt;
    return count;
}

/// Returns the shard key from the header, else from the body, else an empty string.
std::string shardKeyOf(const httplib::Request &request)
{
    if (request.has_header(ShardKeyHeader))
        return request.get_header_value(ShardKeyHeader);
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("shard_key") || !body["shard_key"].is_string())
        return {};
    return body["shard_key"];
}

std::string detailOf(const Verdict &verdict)
{
    if (verdict.reason == Reason::UnknownTicket)
        return verdict.execution == Execution::NotRun
            ? "the ticket expired unused; take another"
            : "the VM that issued the ticket is gone or has forgotten it";
    if (verdict.reason == Reason::BadRequest)
        return "the ticket was used before with another request";
    switch (verdict.execution) {
    case Execution::NotRun:
        return "the request was not run and its ticket is spent; take another to try again";
    case Execution::MayHaveRun:
        return "the request may have run; send it again with the same ticket to learn more";
    default:
        return "the request ran but its answer cannot be given";
    }
}

} // namespace

int submissionStatus(const Verdict &verdict)
{
    switch (verdict.reason) {
    case Reason::BadRequest:
        return verdict.execution == Execution::NotRun ? 400 : 409;
    case Reason::UnknownTicket:
        return 410;
    case Reason::DeadlineExceeded:
    case Reason::Lost:
    case Reason::BadReply:
    case Reason::Failed:
        return failureStatus(verdict);
    default:
        return 503;
    }
}

SubmitRoutes::SubmitRoutes(const Member &self, TicketDuty &tickets, Metrics &metrics)
    : m_requestIdPrefix(self.vm + "-" + std::to_string(self.incarnation) + "-s")
    , m_tickets(tickets)
    , m_metrics(metrics)
    , m_filters(submitFilters())
{
}

void SubmitRoutes::addTo(httplib::Server &server)
{
    server.Post(R"(/v1/tickets/([^/]+))",
                [this](const httplib::Request &request, httplib::Response &response) {
                    handleTickets(request, response);
                });
    server.Post(R"(/v1/submit/([^/]+))",
                [this](const httplib::Request &request, httplib::Response &response) {
                    handleSubmit(request, response);
                });
}

void SubmitRoutes::setDocument(DocumentPtr document)
{
    const std::lock_guard lock(m_documentMutex);
    m_document = std::move(document);
}

CallerRequest SubmitRoutes::toCallerRequest(const httplib::Request &request)
{
    CallerRequest received;
    received.receivedAt = CallerServer::requestArrivalTime();
    received.serviceName = request.matches[1];
    received.text = request.body;
    for (const char *name : {"deadline-ms", "traceparent"})
        if (request.has_header(name))
            received.headers.emplace(name, request.get_header_value(name));
    received.requestId = m_requestIdPrefix + std::to_string(++m_lastRequestNumber);
    const std::lock_guard lock(m_documentMutex);
    received.document = m_document;
    return received;
}

/// Writes a refusal and returns true if the calling thread is a refusing one.
bool SubmitRoutes::refuseIfBusy(const httplib::Request &request, const CallerRequest &received,
                                httplib::Response &response)
{
    if (!CallerPool::isRefusing())
        return false;
    // An earlier request with the same ticket may have run. Only the VM that issued the ticket
    // knows.
    const Execution execution =
        request.has_header(TicketHeader) ? Execution::MayHaveRun : Execution::NotRun;
    writeProblem(received,
                 {503,
                  {},
                  "as many callers are connected as may be",
                  {execution, Reason::Overloaded, DefaultRetryAfter}},
                 response);
    return true;
}

void SubmitRoutes::handleTickets(const httplib::Request &request, httplib::Response &response)
{
    CallerRequest received = toCallerRequest(request);
    if (refuseIfBusy(request, received, response))
        return;
    received.text = "{}";
    auto problem = runFilters({ParseFilter{}, IdempotencyFilter{false}}, received);
    const auto count = parseTicketCount(request);
    if (!problem && !count)
        problem = Problem{400, "count",
                          "must be a whole number from 1 to " + std::to_string(MaxTicketsAtOnce)};
    if (problem) {
        writeProblem(received, *problem, response);
        return;
    }
    using IssueResult = tl::expected<std::vector<std::string>, Verdict>;
    const auto promise = std::make_shared<std::promise<IssueResult>>();
    auto future = promise->get_future();
    IssueResult issued =
        tl::make_unexpected(Verdict{Execution::NotRun, Reason::Overloaded, DefaultRetryAfter});
    const auto reply = [promise](IssueResult tickets) { promise->set_value(std::move(tickets)); };
    if (m_tickets.tryPost(IssueTickets{*count, reply})
        && future.wait_for(IssueTimeout) == std::future_status::ready)
        issued = future.get();
    if (!issued) {
        writeProblem(received, {503, {}, "no tickets are issued now", issued.error()}, response);
        return;
    }
    const nlohmann::json answer{{"service", received.serviceName},
                                {"expires_in_ms", m_tickets.ticketLifetime().count()},
                                {"tickets", *issued}};
    response.set_content(jsonText(answer) + "\n", JsonType);
}

void SubmitRoutes::handleSubmit(const httplib::Request &request, httplib::Response &response)
{
    CallerRequest received = toCallerRequest(request);
    if (refuseIfBusy(request, received, response))
        return;
    std::optional<Ticket> ticket;
    if (request.has_header(TicketHeader)) {
        ticket = parseTicket(request.get_header_value(TicketHeader));
        if (!ticket) {
            writeProblem(received, {400, TicketHeader, "is not a ticket"}, response);
            return;
        }
    }
    std::string shardKey = shardKeyOf(request);
    auto problem = runFilters(m_filters, received);
    if (!problem && shardKey.empty() && received.service->shards.size() > 1)
        problem = Problem{400, ShardKeyHeader, "is needed where a service has several shards"};
    if (problem) {
        // Only the VM that issued the ticket knows whether an earlier request with it ran.
        if (ticket) {
            problem->verdict.execution = Execution::MayHaveRun;
            if (problem->verdict.reason == Reason::DeadlineExceeded)
                problem->status = failureStatus(problem->verdict);
        }
        writeProblem(received, *problem, response);
        return;
    }
    writeResult(received, submit(received, std::move(ticket), std::move(shardKey)), response);
}

SubmitRoutes::SubmissionResult SubmitRoutes::submit(const CallerRequest &request,
                                                    std::optional<Ticket> ticket,
                                                    std::string shardKey)
{
    const std::string text = ticket ? formatTicket(*ticket) : std::string();
    const bool hasTicket = ticket.has_value();
    const auto promise = std::make_shared<std::promise<SubmissionResult>>();
    auto future = promise->get_future();
    CallerSubmission submission{
        {ticket.value_or(Ticket{}), std::move(shardKey), request.body, request.deadline},
        [promise](std::string used, TicketOutcome outcome) {
            promise->set_value({std::move(used), std::move(outcome)});
        }};
    if (!m_tickets.tryPost(std::move(submission))) {
        const Execution execution = hasTicket ? Execution::MayHaveRun : Execution::NotRun;
        return {text, {{execution, Reason::Overloaded, DefaultRetryAfter}, {}}};
    }
    const auto timeout = request.deadline - Clock::now() + OutcomeGracePeriod;
    if (future.wait_for(timeout) != std::future_status::ready)
        return {text, {{Execution::MayHaveRun, Reason::DeadlineExceeded}, {}}};
    return future.get();
}

void SubmitRoutes::writeResult(const CallerRequest &request, const SubmissionResult &result,
                               httplib::Response &response)
{
    const Verdict &verdict = result.outcome.verdict;
    if (!result.ticket.empty())
        response.set_header(TicketHeader, result.ticket);
    if (!verdict.isOk()) {
        Problem problem{submissionStatus(verdict), {}, detailOf(verdict), verdict};
        if (verdict.reason == Reason::UnknownTicket || verdict.reason == Reason::BadRequest)
            problem.field = TicketHeader;
        writeProblem(request, problem, response);
        return;
    }
    m_metrics.requests.Add({{"service", request.serviceName}, {"outcome", "complete"}}).Increment();
    nlohmann::ordered_json head;
    head["service"] = request.serviceName;
    head["request_id"] = request.requestId;
    head["ticket"] = result.ticket;
    head["execution"] = toString(verdict.execution);
    std::string text = jsonText(head);
    // The result is inserted verbatim, because parsing and writing it again could change values.
    text.pop_back();
    text += ",\"result\":" + result.outcome.result + "}\n";
    response.set_content(text, JsonType);
    response.set_header("X-Request-Id", request.requestId);
}

void SubmitRoutes::writeProblem(const CallerRequest &request, const Problem &problem,
                                httplib::Response &response)
{
    logEvent(LogLevel::Info, "submission_refused",
             {{"request", request.requestId},
              {"service", request.serviceName},
              {"status", std::to_string(problem.status)},
              {"execution", std::string(toString(problem.verdict.execution))},
              {"reason", std::string(toString(problem.verdict.reason))},
              {"field", problem.field}});
    respondWithProblem(request, problem, m_metrics, response);
}

} // namespace mangoshift
