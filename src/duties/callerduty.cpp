#include "duties/callerduty.h"

#include <algorithm>
#include <cctype>
#include <future>
#include <utility>

#include "base/log.h"
#include "duties/callerpool.h"
#include "duties/problemresponse.h"
#include "filters/answerjson.h"

namespace mangoshift {

namespace {

/// The largest request body that is accepted, in bytes.
constexpr std::size_t MaxBodyBytes = 1U << 20U;
/// Chunks may make a body longer than what it holds.
constexpr RequestReadLimits ReadLimits{64U << 10U, 2 * MaxBodyBytes, std::chrono::seconds(10)};
/// How long past a query's deadline the thread that serves the caller waits for the query duty.
constexpr std::chrono::milliseconds AnswerGracePeriod{500};
constexpr std::chrono::seconds KeepAliveTimeout{5};
/// How long a caller may pause while it sends a request.
constexpr std::chrono::seconds ReadTimeout{2};
/// The number of threads that refuse the requests for which no worker is free.
constexpr std::size_t RefusingThreadCount = 16;
/// The `Retry-After` for callers that no worker could serve.
constexpr std::chrono::milliseconds BusyRetryAfter{1000};
/// The length of the accept queue, in connections.
constexpr int ListenBacklog = 1024;
constexpr const char *QueryPath = R"(/v1/query/([^/]+))";
constexpr std::size_t MaxRequestsPerConnection = 1'000'000;
constexpr const char *JsonType = "application/json";

const prometheus::Histogram::BucketBoundaries LatencyBuckets{
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.04, 0.06, 0.08, 0.1, 0.15, 0.25, 0.5, 1, 2.5};

/// Returns how many workers may wait for answers at once; the others stay free to refuse.
std::size_t admissionCapacity(const Settings &settings)
{
    return std::max<std::size_t>(settings.callerThreads * 3 / 4, 1);
}

bool isCapacityFailure(const MissingShard &shard)
{
    switch (shard.verdict.reason) {
    case Reason::DeadlineExceeded:
    case Reason::Overloaded:
    case Reason::Refused:
        return true;
    default:
        return false;
    }
}

/// Returns the data of a finished query from which the admission gate measures the load.
AdmittedOutcome admittedOutcomeOf(const CallerRequest &request, const QueryReply &reply)
{
    AdmittedOutcome outcome;
    outcome.timeAllowed = request.deadline - request.receivedAt;
    outcome.elapsed = reply.answer.timeToMostShards;
    for (const MissingShard &each : reply.answer.missing)
        if (isCapacityFailure(each))
            outcome.missedShards.push_back(each.shard);
    return outcome;
}

Problem problemForStatus(int status)
{
    switch (status) {
    case 404:
        return {404, "path", "there is nothing here; queries go to /v1/query/SERVICE"};
    case 405:
        return {405, "method", "must be POST"};
    case 413:
        return {413, "body", "must not be over " + std::to_string(MaxBodyBytes) + " bytes"};
    case 414:
        return {414, "path", "is too long"};
    case 415:
        return {415, "content-encoding", "is not supported; the body must not be encoded"};
    default:
        return {status, {}, "the request cannot be read"};
    }
}

} // namespace

CallerDuty::CallerDuty(const Settings &settings, std::uint64_t incarnation, QueryDuty &queries,
                       Metrics &metrics)
    : m_settings(settings)
    , m_incarnation(incarnation)
    , m_queries(queries)
    , m_metrics(metrics)
    , m_admission(admissionCapacity(settings), incarnation, settings.isAdmissionEnabled)
    , m_filters(queryFilters(m_admission))
    , m_server(std::make_unique<CallerServer>(ReadLimits))
{
}

CallerDuty::~CallerDuty()
{
    stop();
}

bool CallerDuty::start()
{
    CallerServer &server = *m_server;
    const std::size_t threads = m_settings.callerThreads;
    server.new_task_queue = [threads] { return new CallerPool(threads, RefusingThreadCount); };
    server.set_keep_alive_max_count(MaxRequestsPerConnection);
    server.set_keep_alive_timeout(KeepAliveTimeout.count());
    server.set_read_timeout(ReadTimeout);
    server.set_payload_max_length(MaxBodyBytes);
    server.set_tcp_nodelay(true);
    addRoutes();
    if (!server.listenOn(m_settings.callerAddress, ListenBacklog))
        return false;
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    return true;
}

void CallerDuty::addRoutes()
{
    httplib::Server &server = *m_server;
    server.Post(QueryPath, [this](const httplib::Request &request, httplib::Response &response) {
        handleQuery(request, response);
    });
    const auto refuseMethod = [](const httplib::Request &, httplib::Response &response) {
        response.status = 405;
        response.set_header("Allow", "POST");
    };
    server.Get(QueryPath, refuseMethod);
    server.Put(QueryPath, refuseMethod);
    server.Patch(QueryPath, refuseMethod);
    server.Delete(QueryPath, refuseMethod);
    server.Options(QueryPath, refuseMethod);
    server.set_error_handler([this](const httplib::Request &request, httplib::Response &response) {
        writeErrorAsProblem(request, response);
    });
}

void CallerDuty::stop()
{
    m_server->stopGracefully();
    if (m_thread.joinable())
        m_thread.join();
}

void CallerDuty::setDocument(DocumentPtr document)
{
    const std::lock_guard lock(m_documentMutex);
    m_document = std::move(document);
}

std::string CallerDuty::newRequestId()
{
    return m_settings.vm + "-" + std::to_string(m_incarnation) + "-"
        + std::to_string(++m_lastRequestNumber);
}

CallerRequest CallerDuty::toCallerRequest(const httplib::Request &request,
                                          const std::string &service)
{
    CallerRequest received;
    received.receivedAt = CallerServer::requestArrivalTime();
    received.serviceName = service;
    received.text = request.body;
    for (const auto &[name, value] : request.headers) {
        std::string lower = name;
        std::transform(lower.begin(), lower.end(), lower.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        received.headers.emplace(std::move(lower), value);
    }
    received.requestId = newRequestId();
    const std::lock_guard lock(m_documentMutex);
    received.document = m_document;
    return received;
}

void CallerDuty::handleQuery(const httplib::Request &request, httplib::Response &response)
{
    CallerRequest received = toCallerRequest(request, request.matches[1]);
    if (CallerPool::isRefusing()) {
        writeRefusal(received, response);
        return;
    }
    if (const auto problem = runFilters(m_filters, received)) {
        writeProblem(received, *problem, response);
        return;
    }
    const QueryReply reply = runQuery(received);
    m_admission.finish(received, admittedOutcomeOf(received, reply));
    writeAnswer(received, reply, response);
}

void CallerDuty::writeRefusal(const CallerRequest &request, httplib::Response &response)
{
    // An earlier request with the same ticket may have run. Only the VM that issued the ticket
    // knows.
    const Execution execution =
        request.header("idempotency-key").empty() ? Execution::NotRun : Execution::MayHaveRun;
    Problem problem{503,
                    {},
                    "as many callers are connected as may be",
                    {execution, Reason::Overloaded, BusyRetryAfter}};
    problem.cause = "connections";
    writeProblem(request, problem, response);
}

/// Turns an error that the HTTP library detected into problem details.
void CallerDuty::writeErrorAsProblem(const httplib::Request &request, httplib::Response &response)
{
    if (!response.body.empty() || response.has_header("X-Request-Id"))
        return;
    const CallerRequest received = toCallerRequest(request, {});
    writeProblem(received, problemForStatus(response.status), response);
}

QueryReply CallerDuty::runQuery(const CallerRequest &request)
{
    const auto promise = std::make_shared<std::promise<QueryReply>>();
    auto future = promise->get_future();
    CallerQuery query{request.document, request.service, request.body, request.deadline,
                      [promise](QueryReply reply) { promise->set_value(std::move(reply)); }};
    if (!m_queries.tryPost(std::move(query)))
        return {{Execution::NotRun, Reason::Overloaded, std::chrono::seconds(1)}, {}};
    const auto timeout = request.deadline - Clock::now() + AnswerGracePeriod;
    if (future.wait_for(timeout) != std::future_status::ready)
        return {{Execution::MayHaveRun, Reason::DeadlineExceeded}, {}};
    return future.get();
}

void CallerDuty::writeAnswer(const CallerRequest &request, const QueryReply &reply,
                             httplib::Response &response)
{
    if (!reply.verdict.isOk()) {
        writeProblem(
            request,
            {failureStatus(reply.verdict), {}, "the query was not answered", reply.verdict},
            response);
        return;
    }
    const QueryAnswer &answer = reply.answer;
    const prometheus::Labels service{{"service", request.serviceName}};
    m_metrics.shardsRequested.Add(service).Increment(static_cast<double>(answer.shardsRequested));
    m_metrics.shardsMissing.Add(service).Increment(static_cast<double>(answer.missing.size()));
    m_metrics.extraRequests.Add(service).Increment(answer.extraRequests);
    if (!answer.isComplete() && !request.service->partialAnswers) {
        const Verdict verdict = answer.failure();
        writeProblem(request,
                     {failureStatus(verdict),
                      {},
                      std::to_string(answer.missing.size()) + " of "
                          + std::to_string(answer.shardsRequested)
                          + " shards are missing and the service allows no partial answer",
                      verdict},
                     response);
        return;
    }
    m_metrics.requests
        .Add({{"service", request.serviceName},
              {"outcome", answer.isComplete() ? "complete" : "partial"}})
        .Increment();
    m_metrics.requestSeconds.Add(service, LatencyBuckets)
        .Observe(std::chrono::duration<double>(Clock::now() - request.receivedAt).count());
    response.set_content(answerJson(request, answer), JsonType);
    response.set_header("X-Request-Id", request.requestId);
}

void CallerDuty::writeProblem(const CallerRequest &request, const Problem &problem,
                              httplib::Response &response)
{
    if (problem.verdict.execution == Execution::NotRun)
        m_metrics.refusals
            .Add({{"reason",
                   std::string(problem.cause.empty() ? toString(problem.verdict.reason)
                                                     : problem.cause)}})
            .Increment();
    // Under overload there are thousands of 503 responses a second; the metrics count them.
    const LogLevel level = problem.status == 503 ? LogLevel::Debug : LogLevel::Info;
    logEvent(level, "request_refused",
             {{"request", request.requestId},
              {"service", request.serviceName},
              {"status", std::to_string(problem.status)},
              {"reason", std::string(toString(problem.verdict.reason))},
              {"field", problem.field}});
    respondWithProblem(request, problem, m_metrics, response);
}

} // namespace mangoshift
