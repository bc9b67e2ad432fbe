// Measures the processor time that the entry VMs use per shard request, for queries of several
// widths (numbers of shards), and the processor time and memory that an idle VM uses.
//
// Usage: shardcost RUN_FOLDER [SECONDS_PER_WIDTH]
// RUN_FOLDER is the folder that `deploy/run.py start` created. Replaces the configuration with
// services of 30 to 360 shards on the running targets, so stop the deployment afterwards.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <asio/io_context.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

#include "app/callerclient.h"
#include "app/replayrun.h"

namespace {

using namespace mangoshift;
using Json = nlohmann::json;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

const std::vector<std::size_t> Widths{30, 90, 180, 270, 360};
constexpr std::size_t Concurrency = 14;
constexpr milliseconds Timeout{3000};
constexpr std::chrono::seconds IdleDuration{5};

struct ProcessUse
{
    double cpuSeconds = 0;
    double residentMb = 0;
};

ProcessUse readProcessUse(int pid)
{
    ProcessUse use;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string field;
    // Fields after the name, numbered as in proc(5): state is 3, utime 14, stime 15, rss 24.
    for (int number = 3; number <= 24 && fields >> field; ++number) {
        if (number == 14 || number == 15)
            use.cpuSeconds +=
                std::strtod(field.c_str(), nullptr) / static_cast<double>(sysconf(_SC_CLK_TCK));
        if (number == 24)
            use.residentMb = std::strtod(field.c_str(), nullptr)
                * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }
    return use;
}

std::vector<int> vmPids(const RunningDeployment &deployment)
{
    std::vector<int> pids;
    for (const auto &[name, pid] : deployment.pids)
        if (name != "platform" && name.rfind("target", 0) != 0)
            pids.push_back(pid);
    return pids;
}

double cpuSeconds(const std::vector<int> &pids)
{
    double sum = 0;
    for (const int pid : pids)
        sum += readProcessUse(pid).cpuSeconds;
    return sum;
}

std::string serviceName(std::size_t width)
{
    return "wide-" + std::to_string(width);
}

bool put(const Address &address, const std::string &path, const std::string &body)
{
    httplib::Client client(address.ip, address.port);
    const auto result = client.Put(path.c_str(), body, "application/json");
    return result && result->status == 200;
}

/// Publishes one service of each width, with two replicas per shard, on the running targets.
/// Returns false if a stand-in rejects a request or does not respond.
bool publishServices(const RunningDeployment &deployment)
{
    Json document = Json::parse(deployment.document);
    std::vector<std::string> targets;
    for (const Json &target : document["targets"])
        targets.push_back(target["name"]);
    document["services"] = Json::array();
    for (const std::size_t width : Widths) {
        Json service{{"name", serviceName(width)}, {"kind", "urgent"}, {"deadline_ms", 2000}};
        for (std::size_t i = 0; i < width; ++i)
            service["shards"].push_back(
                {{"name", "shard-" + std::to_string(i)},
                 {"replicas",
                  {targets[(2 * i) % targets.size()], targets[(2 * i + 1) % targets.size()]}}});
        document["services"].push_back(std::move(service));
    }
    document["base_version"] = 1;
    for (const Address &control : deployment.targetControls)
        if (!put(control, "/targets/*", R"({"service_time_us":100,"connect_cost_us":0})"))
            return false;
    return put(deployment.platform, "/control/config", document.dump());
}

/// Keeps `Concurrency` queries of one service in flight (closed loop).
class ClosedLoop
{
public:
    ClosedLoop(const std::vector<Address> &callerAddresses, std::string service)
        : m_client(m_io, callerAddresses, Concurrency)
        , m_service(std::move(service))
    {
    }

    void run(duration<double> time)
    {
        m_end = steady_clock::now() + std::chrono::duration_cast<steady_clock::duration>(time);
        m_running = Concurrency;
        for (std::size_t i = 0; i < Concurrency; ++i)
            send();
        m_io.run();
    }

    std::size_t complete = 0;
    std::size_t incomplete = 0;

private:
    void send()
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/query/" + m_service;
        request.headers.add("content-type", "application/json");
        request.body = "{}";
        m_client.send(std::move(request), Timeout,
                      [this](ClientConnection::End, const HttpResponse &response) {
                          ++(response.body.find("\"complete\":true") == std::string::npos
                                 ? incomplete
                                 : complete);
                          if (steady_clock::now() < m_end)
                              send();
                          else if (--m_running == 0)
                              m_io.stop();
                      });
    }

    asio::io_context m_io{1};
    CallerClient m_client;
    std::string m_service;
    std::size_t m_running = 0;
    steady_clock::time_point m_end;
};

void measureIdle(const std::vector<int> &pids)
{
    const double before = cpuSeconds(pids);
    std::this_thread::sleep_for(IdleDuration);
    const double cpuUsed = cpuSeconds(pids) - before;
    double maxResidentMb = 0;
    for (const int pid : pids)
        maxResidentMb = std::max(maxResidentMb, readProcessUse(pid).residentMb);
    std::printf("idle: %.2f%% of a core per VM, resident memory at most %.1f MB per VM (%zu VMs)\n",
                100 * cpuUsed / static_cast<double>(pids.size())
                    / duration<double>(IdleDuration).count(),
                maxResidentMb, pids.size());
}

void measureWidth(const RunningDeployment &deployment, const std::vector<int> &pids,
                  std::size_t width, double seconds)
{
    ClosedLoop(deployment.callerAddresses, serviceName(width)).run(duration<double>(0.5));
    ClosedLoop loop(deployment.callerAddresses, serviceName(width));
    const double before = cpuSeconds(pids);
    const auto start = steady_clock::now();
    loop.run(duration<double>(seconds));
    const double elapsed = duration<double>(steady_clock::now() - start).count();
    const double cpuUsed = cpuSeconds(pids) - before;
    const auto queries = static_cast<double>(loop.complete + loop.incomplete);
    const double shards = queries * static_cast<double>(width);
    std::printf("%6zu %8zu %7zu %10.0f %10.0f %12.1f %14.0f\n", width, loop.complete,
                loop.incomplete, queries / elapsed, shards / elapsed, 1e6 * cpuUsed / queries,
                shards / cpuUsed);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 2) {
        std::fputs("Usage: shardcost RUN_FOLDER [SECONDS_PER_WIDTH]\n", stderr);
        return 2;
    }
    const double seconds = argc > 2 ? std::strtod(argv[2], nullptr) : 4;
    const auto deployment = readRunningDeployment(argv[1]);
    if (!deployment) {
        std::fprintf(stderr, "shardcost: %s\n", deployment.error().c_str());
        return 3;
    }
    const std::vector<int> pids = vmPids(*deployment);
    measureIdle(pids);
    if (!publishServices(*deployment)) {
        std::fputs("shardcost: a stand-in did not accept a control request\n", stderr);
        return 3;
    }
    // Every VM has read the new document by the end of this time.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    std::printf("%6s %8s %7s %10s %10s %12s %14s\n", "shards", "complete", "other", "queries/s",
                "shards/s", "CPU us/query", "shards/s/core");
    for (const std::size_t width : Widths)
        measureWidth(*deployment, pids, width, seconds);
    measureIdle(pids);
    return 0;
}
