#include "app/replayfaults.h"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

#include <fnmatch.h>

#include "config/documentjson.h"
#include "http/httpclient.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;
using std::chrono::steady_clock;

/// The records of a process list each of its targets.
constexpr HttpClientLimits Limits{
    {64U << 10U, 32U << 20U}, std::chrono::seconds(5), std::chrono::seconds(5)};

bool put(const Address &address, const std::string &path, const std::string &body)
{
    return HttpClient(address, Limits).sendJson("PUT", path, body).hasStatus(200);
}

} // namespace

FaultInjector::FaultInjector(const Trace &trace, const RunningDeployment &deployment,
                             BeforePublish beforePublish)
    : m_trace(trace)
    , m_deployment(deployment)
    , m_beforePublish(std::move(beforePublish))
    , m_document(Json::parse(deployment.document))
{
}

bool FaultInjector::setInitialBehaviour()
{
    if (!m_trace.targetBehaviour.empty())
        changeTarget("*", m_trace.targetBehaviour);
    return m_error.empty();
}

std::uint64_t FaultInjector::countTargetQueries()
{
    std::uint64_t sum = 0;
    for (const Address &control : m_deployment.targetControls) {
        std::uint64_t &queries = m_queriesByControl[control.toString()];
        const auto result = HttpClient(control, Limits).get("/records");
        if (result.hasStatus(200)) {
            queries = 0;
            for (const Json &record : Json::parse(result.response.body, nullptr, false))
                if (record.is_object())
                    queries += record.value("queries_run", std::uint64_t(0));
        }
        sum += queries;
    }
    return sum;
}

void FaultInjector::run(steady_clock::time_point start)
{
    std::vector<TraceFault> faults = m_trace.faults;
    std::stable_sort(faults.begin(), faults.end(),
                     [](const TraceFault &a, const TraceFault &b) { return a.at < b.at; });
    for (const TraceFault &fault : faults) {
        std::this_thread::sleep_until(start + fault.at);
        std::visit([&](const auto &action) { inject(action, start + fault.at); }, fault.action);
    }
}

void FaultInjector::inject(const ChangeTargets &change, steady_clock::time_point at)
{
    std::vector<std::string> names;
    for (const Json &target : m_document["targets"]) {
        const std::string name = target["name"];
        if (fnmatch(change.pattern.c_str(), name.c_str(), 0) == 0)
            names.push_back(name);
    }
    if (names.empty())
        recordError("no target matches the pattern '" + change.pattern + "'");
    for (std::size_t i = 0; i < names.size(); ++i) {
        const auto delay =
            static_cast<std::int64_t>(i) * change.spread / static_cast<std::int64_t>(names.size());
        std::this_thread::sleep_until(at + delay);
        changeTarget(names[i], change.change);
    }
}

void FaultInjector::inject(const SignalProcess &signal, steady_clock::time_point)
{
    const auto it = m_deployment.pids.find(signal.process);
    if (it == m_deployment.pids.end())
        recordError("the launcher started no process named '" + signal.process + "'");
    else if (::kill(it->second, signal.signal) != 0)
        recordError("cannot send a signal to the process '" + signal.process + "'");
}

void FaultInjector::inject(const PublishDocument &publish, steady_clock::time_point)
{
    const auto status = HttpClient(m_deployment.platform, Limits).get("/control/status");
    const Json statusJson = Json::parse(status.response.body, nullptr, false);
    if (!status.hasStatus(200) || !statusJson.is_object()) {
        recordError("cannot fetch the status of the platform");
        return;
    }
    try {
        m_document = m_document.patch(publish.patch);
    } catch (const Json::exception &error) {
        recordError(std::string("publish: ") + error.what());
        return;
    }
    m_document["base_version"] = statusJson.value("version", 0);
    auto document = parseDocument(m_document.dump(), 1);
    if (!document) {
        recordError("publish: " + document.error().front().path + ": "
                    + document.error().front().message);
        return;
    }
    m_beforePublish(std::move(*document));
    if (!put(m_deployment.platform, "/control/config", m_document.dump()))
        recordError("the platform did not accept the document");
}

bool FaultInjector::changeTarget(const std::string &name, const Json &change)
{
    // Every stand-in process receives the change and ignores targets that it does not run.
    for (const Address &control : m_deployment.targetControls)
        if (!put(control, "/targets/" + name, change.dump())) {
            recordError("the targets at " + control.toString() + " did not accept the change");
            return false;
        }
    return true;
}

void FaultInjector::recordError(std::string error)
{
    if (m_error.empty())
        m_error = std::move(error);
}

} // namespace mangoshift
