#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "base/metrics.h"
#include "config/settings.h"
#include "duties/callerserver.h"
#include "duties/queryduty.h"
#include "filters/admissiongate.h"
#include "filters/filterchain.h"

namespace mangoshift {

/// The duty that serves callers over HTTP: it receives their requests, runs the filter chain and
/// writes the responses.
class CallerDuty
{
public:
    CallerDuty(const Settings &settings, std::uint64_t incarnation, QueryDuty &queries,
               Metrics &metrics);
    ~CallerDuty();
    CallerDuty(const CallerDuty &) = delete;
    CallerDuty &operator=(const CallerDuty &) = delete;

    /// Starts to listen. Returns false if the address cannot be bound.
    bool start();
    /// Stops accepting connections and returns once every request received so far has its response.
    void stop();
    /// Returns the HTTP server, so that routes can be added before `start`.
    httplib::Server &server() { return *m_server; }
    /// Closes each connection after the response to the next request that is read from it, which
    /// carries `Connection: close`. Safe to call from any thread.
    void drain() { m_server->closeAfterResponses(); }
    /// Puts a configuration in force for all requests received from now on.
    void setDocument(DocumentPtr document);
    /// Returns the admission limits as JSON. Safe to call from any thread.
    std::string stateJson() const { return m_admission.stateJson(); }

private:
    void addRoutes();
    void handleQuery(const httplib::Request &request, httplib::Response &response);
    CallerRequest toCallerRequest(const httplib::Request &request, const std::string &service);
    QueryReply runQuery(const CallerRequest &request);
    void writeAnswer(const CallerRequest &request, const QueryReply &reply,
                     httplib::Response &response);
    void writeProblem(const CallerRequest &request, const Problem &problem,
                      httplib::Response &response);
    void writeRefusal(const CallerRequest &request, httplib::Response &response);
    void writeErrorAsProblem(const httplib::Request &request, httplib::Response &response);
    std::string newRequestId();

    Settings m_settings;
    std::uint64_t m_incarnation;
    QueryDuty &m_queries;
    Metrics &m_metrics;
    AdmissionGate m_admission;
    FilterChain m_filters;
    std::mutex m_documentMutex;
    DocumentPtr m_document;
    std::atomic<std::uint64_t> m_lastRequestNumber{0};
    std::unique_ptr<CallerServer> m_server;
    std::thread m_thread;
};

} // namespace mangoshift
