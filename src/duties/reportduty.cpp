#include "duties/reportduty.h"

#include <future>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "duties/callerserver.h"

namespace mangoshift {

namespace {

constexpr std::size_t ThreadCount = 4;
/// The length of the accept queue, in connections.
constexpr int ListenBacklog = 64;
/// How long a duty may take to return its part of the state dump.
constexpr std::chrono::seconds StateTimeout{2};

} // namespace

ReportDuty::ReportDuty(Address address, ReportSources sources, const Metrics &metrics)
    : m_address(std::move(address))
    , m_sources(std::move(sources))
    , m_metrics(metrics)
    , m_server(std::make_unique<CallerServer>(RequestReadLimits{}))
{
}

ReportDuty::~ReportDuty()
{
    stop();
}

bool ReportDuty::start()
{
    CallerServer &server = *m_server;
    server.set_payload_max_length(RequestReadLimits{}.bodyBytes);
    server.new_task_queue = [] { return new httplib::ThreadPool(ThreadCount); };
    server.Get("/healthz", [](const httplib::Request &, httplib::Response &response) {
        response.set_content("ok\n", "text/plain");
    });
    server.Get("/readyz", [this](const httplib::Request &, httplib::Response &response) {
        const bool isReady = m_sources.isReady();
        response.status = isReady ? 200 : 503;
        response.set_content(isReady ? "ready\n" : "not ready\n", "text/plain");
    });
    server.Get("/metrics", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(m_metrics.text(), "text/plain; version=0.0.4");
    });
    server.Get("/state", [this](const httplib::Request &, httplib::Response &response) {
        response.set_content(stateJson(), "application/json");
    });
    if (!server.listenOn(m_address, ListenBacklog))
        return false;
    m_thread = std::thread([this] { m_server->listen_after_bind(); });
    return true;
}

void ReportDuty::stop()
{
    m_server->stopAccepting();
    if (m_thread.joinable())
        m_thread.join();
}

std::string ReportDuty::stateJson() const
{
    nlohmann::json state;
    for (const auto &[name, source] : m_sources.states) {
        const auto promise = std::make_shared<std::promise<std::string>>();
        auto future = promise->get_future();
        const bool isPosted =
            source({[promise](std::string part) { promise->set_value(std::move(part)); }});
        if (isPosted && future.wait_for(StateTimeout) == std::future_status::ready)
            state[name] = nlohmann::json::parse(future.get(), nullptr, false);
        else
            state[name] = "no answer";
    }
    return state.dump(2) + "\n";
}

} // namespace mangoshift
