// Measures the latency that the query tier adds. Sends queries alternately with a plain concurrent
// client, which calls one target of each shard directly, and through the entry VMs, and compares
// the two latency distributions.
//
// Usage: addedlatency RUN_FOLDER [SERVICE [RATE [SECONDS]]]
// RUN_FOLDER is the folder that `deploy/run.py start` created.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "app/callerclient.h"
#include "app/replayrun.h"
#include "config/documentjson.h"

namespace {

using namespace mangoshift;
using std::chrono::duration;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds Timeout{2000};
constexpr std::size_t ConnectionsPerTarget = 4;
constexpr std::size_t ConnectionsPerVm = 50;
/// The first queries, which open the connections, are excluded from the results.
constexpr std::size_t WarmUpQueries = 200;

struct Options
{
    std::string folder;
    std::string service = "invoicing";
    double rate = 100; ///< Queries per second, plain and through the tier together.
    double seconds = 30;
};

/// Latencies of the queries sent one way, in milliseconds, and the number of failed queries.
struct Series
{
    std::vector<double> latenciesMs;
    std::size_t failed = 0;

    double quantile(double fraction)
    {
        if (latenciesMs.empty())
            return 0;
        std::sort(latenciesMs.begin(), latenciesMs.end());
        return latenciesMs[static_cast<std::size_t>(fraction
                                                    * static_cast<double>(latenciesMs.size() - 1))];
    }
};

HttpRequest post(std::string path)
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::move(path);
    request.headers.add("content-type", "application/json");
    request.headers.add("deadline-ms", std::to_string(Timeout.count()));
    request.body = "{}";
    return request;
}

double millisecondsSince(steady_clock::time_point start)
{
    return duration<double, std::milli>(steady_clock::now() - start).count();
}

/// Calls one random replica of each shard concurrently. A query completes when the last shard has
/// responded.
class PlainClient
{
public:
    PlainClient(asio::io_context &io, const Document &document, const Service &service)
        : m_service(service)
    {
        for (const Shard &shard : service.shards) {
            auto &replicas = m_replicas.emplace_back();
            for (const std::size_t index : shard.replicas)
                replicas.push_back(std::make_unique<CallerClient>(
                    io, std::vector{*parseAddress(document.targets[index].address)},
                    ConnectionsPerTarget));
        }
    }

    template <typename Done>
    void query(Done done)
    {
        auto pendingShards = std::make_shared<std::size_t>(m_replicas.size());
        auto isComplete = std::make_shared<bool>(true);
        for (std::size_t i = 0; i < m_replicas.size(); ++i) {
            auto &replicas = m_replicas[i];
            HttpRequest request = post("/v1/services/" + m_service.name + "/shards/"
                                       + m_service.shards[i].name + "/query");
            request.headers.add("x-request-id", "plain-" + std::to_string(++m_lastRequest));
            replicas[m_random() % replicas.size()]->send(
                std::move(request), Timeout,
                [pendingShards, isComplete, done](ClientConnection::End end,
                                                  const HttpResponse &response) {
                    if (end != ClientConnection::End::Responded || response.status != 200)
                        *isComplete = false;
                    if (--*pendingShards == 0)
                        done(*isComplete);
                });
        }
    }

private:
    const Service &m_service;
    std::vector<std::vector<std::unique_ptr<CallerClient>>> m_replicas;
    std::mt19937_64 m_random{1};
    std::uint64_t m_lastRequest = 0;
};

/// Sends queries with exponentially distributed intervals, alternately with the plain client and
/// through the tier. Latency is measured from the scheduled send time.
class Bench
{
public:
    Bench(const Options &options, const RunningDeployment &deployment, const Document &document,
          const Service &service)
        : m_options(options)
        , m_plain(m_io, document, service)
        , m_tier(m_io, deployment.callerAddresses, ConnectionsPerVm)
        , m_timer(m_io)
        , m_totalQueries(static_cast<std::size_t>(options.rate * options.seconds) + WarmUpQueries)
    {
    }

    void run()
    {
        m_nextSendTime = steady_clock::now();
        schedule();
        m_io.run();
    }

    Series plain;
    Series tier;

private:
    void schedule()
    {
        if (m_sent == m_totalQueries)
            return;
        m_nextSendTime += std::chrono::duration_cast<steady_clock::duration>(
            duration<double>(m_interarrivalSeconds(m_random)));
        m_timer.expires_at(m_nextSendTime);
        m_timer.async_wait([this](asio::error_code) {
            send(m_sent++, m_nextSendTime);
            schedule();
        });
    }

    void send(std::size_t index, steady_clock::time_point scheduledAt)
    {
        const auto record = [this, index, scheduledAt](Series &series, bool isComplete) {
            if (index >= WarmUpQueries && isComplete)
                series.latenciesMs.push_back(millisecondsSince(scheduledAt));
            else if (index >= WarmUpQueries)
                ++series.failed;
            if (++m_ended == m_totalQueries)
                m_io.stop();
        };
        if (index % 2 == 0) {
            m_plain.query([this, record](bool isComplete) { record(plain, isComplete); });
            return;
        }
        m_tier.send(post("/v1/query/" + m_options.service), Timeout,
                    [this, record](ClientConnection::End end, const HttpResponse &response) {
                        const bool isComplete = end == ClientConnection::End::Responded
                            && response.body.find("\"complete\":true") != std::string::npos;
                        record(tier, isComplete);
                    });
    }

    const Options &m_options;
    asio::io_context m_io{1};
    PlainClient m_plain;
    CallerClient m_tier;
    asio::steady_timer m_timer;
    std::size_t m_totalQueries;
    std::size_t m_sent = 0;
    std::size_t m_ended = 0;
    steady_clock::time_point m_nextSendTime;
    std::mt19937_64 m_random{7};
    std::exponential_distribution<double> m_interarrivalSeconds{m_options.rate};
};

void print(const char *name, Series &series)
{
    std::printf("%-12s %8zu %7zu %9.2f %9.2f %9.2f\n", name, series.latenciesMs.size(),
                series.failed, series.quantile(0.5), series.quantile(0.99), series.quantile(0.999));
}

} // namespace

int main(int argc, char **argv)
{
    Options options;
    if (argc < 2) {
        std::fputs("Usage: addedlatency RUN_FOLDER [SERVICE [RATE [SECONDS]]]\n", stderr);
        return 2;
    }
    options.folder = argv[1];
    if (argc > 2)
        options.service = argv[2];
    if (argc > 3)
        options.rate = std::strtod(argv[3], nullptr);
    if (argc > 4)
        options.seconds = std::strtod(argv[4], nullptr);
    const auto deployment = readRunningDeployment(options.folder);
    if (!deployment) {
        std::fprintf(stderr, "addedlatency: %s\n", deployment.error().c_str());
        return 3;
    }
    const auto document = parseDocument(deployment->document, 1);
    const Service *service = document ? document->service(options.service) : nullptr;
    if (service == nullptr) {
        std::fprintf(stderr, "addedlatency: service '%s' does not exist\n",
                     options.service.c_str());
        return 1;
    }
    Bench bench(options, *deployment, *document, *service);
    bench.run();
    std::printf("%s, %zu shards, %.0f queries/s, plain and through the tier together\n",
                options.service.c_str(), service->shards.size(), options.rate);
    std::printf("%-12s %8s %7s %9s %9s %9s\n", "path", "complete", "failed", "p50 ms", "p99 ms",
                "p99.9 ms");
    print("plain", bench.plain);
    print("tier", bench.tier);
    std::printf("added median latency %.2f ms, p99 ratio of tier to plain %.2f\n",
                bench.tier.quantile(0.5) - bench.plain.quantile(0.5),
                bench.tier.quantile(0.99) / bench.plain.quantile(0.99));
    return 0;
}
