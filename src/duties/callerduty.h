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

/// The duty that takes callers' requests over HTTP, runs the filter chain and writes the answers.
class CallerDuty
{
public:
    CallerDuty(const Settings &settings, std::uint64_t incarnation, QueryDuty &queries,
               Metrics &metrics);
    ~CallerDuty();
    CallerDuty(const CallerDuty &) = delete;
    CallerDuty &operator=(const CallerDuty &) = delete;

    /// Returns false where the address cannot be listened on.
    bool start();
    /// Takes no more connections and returns when every request that had come is answered.
    void stop();
    /// Returns the server, for routes to be added before the start.
    httplib::Server &server() { return *m_server; }
    /// Goes on serving, but closes each connection after its next answer, which says so. Any
    /// thread may call it.
    void drain() { m_server->closeAfterResponses(); }
    /// Puts a configuration in force for the requests that come from now on.
    void setDocument(DocumentPtr document);
    /// Returns the limits of admission, as JSON. May be called from any thread.
    std::string stateJson() const { return m_admission.stateJson(); }

private:
    void addRoutes();
    void handleQuery(const httplib::Request &request, httplib::Response &response);
    CallerRequest receive(const httplib::Request &request, const std::string &service);
    QueryReply runQuery(const CallerRequest &request);
    void writeAnswer(const CallerRequest &request, const QueryReply &reply,
                     httplib::Response &response);
    void writeProblem(const CallerRequest &request, const Problem &problem,
                      httplib::Response &response);
    void writeRefusal(const CallerRequest &request, httplib::Response &response);
    void explainError(const httplib::Request &request, httplib::Response &response);
    std::string newRequestId();

    Settings m_settings;
    std::uint64_t m_incarnation;
    QueryDuty &m_queries;
    Metrics &m_metrics;
    AdmissionGate m_admission;
    FilterChain m_filters;
    std::mutex m_documentMutex;
    DocumentPtr m_document;
    std::atomic<std::uint64_t> m_lastRequest{0};
    std::unique_ptr<CallerServer> m_server;
    std::thread m_thread;
};

} // namespace mangoshift
