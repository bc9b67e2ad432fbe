#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "base/metrics.h"
#include "duties/ticketduty.h"
#include "filters/filterchain.h"

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace mangoshift {

/// The HTTP routes for requests that are not idempotent: `POST /v1/tickets/SERVICE` issues tickets,
/// and `POST /v1/submit/SERVICE` runs a request at most once per ticket.
class SubmitRoutes
{
public:
    SubmitRoutes(const Member &self, TicketDuty &tickets, Metrics &metrics);

    /// Adds the routes to an HTTP server before it starts. This object must outlive the server.
    void addTo(httplib::Server &server);
    /// Puts a configuration in force for all requests received from now on.
    void setDocument(DocumentPtr document);

private:
    struct SubmissionResult
    {
        std::string ticket;
        TicketOutcome outcome;
    };

    bool refuseIfBusy(const httplib::Request &request, const CallerRequest &received,
                      httplib::Response &response);
    void handleTickets(const httplib::Request &request, httplib::Response &response);
    void handleSubmit(const httplib::Request &request, httplib::Response &response);
    CallerRequest toCallerRequest(const httplib::Request &request);
    SubmissionResult submit(const CallerRequest &request, std::optional<Ticket> ticket,
                            std::string shardKey);
    void writeResult(const CallerRequest &request, const SubmissionResult &result,
                     httplib::Response &response);
    void writeProblem(const CallerRequest &request, const Problem &problem,
                      httplib::Response &response);

    std::string m_requestIdPrefix;
    TicketDuty &m_tickets;
    Metrics &m_metrics;
    FilterChain m_filters;
    std::mutex m_documentMutex;
    DocumentPtr m_document;
    std::atomic<std::uint64_t> m_lastRequestNumber{0};
};

/// Returns the HTTP status of a submission that has no result.
int submissionStatus(const Verdict &verdict);

} // namespace mangoshift
