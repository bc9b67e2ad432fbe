// Compares the placement policies for home VMs on real processes. Runs the Sundarban deployment on
// loopback and sends open-loop queries for pass-lookup with exponentially distributed intervals, at
// several fractions of the targets' capacity, with all targets healthy and with one target slowed.
//
// Usage: placementload [--placement region|domain|local] [--seconds N] [--service-time-us N]
//                      [--seed N] [--straggler-share X] [--share X]
// With --straggler-share, that fraction of all requests takes 50 ms longer; no target is slowed.
// --share measures only at that fraction of capacity.
// Requires MANGOSHIFT_BIN_DIR and MANGOSHIFT_SOURCE_DIR, as the system tests do.

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <getopt.h>
#include <nlohmann/json.hpp>

#include "../test/system/deployment.h"
#include "base/address.h"
#include "http/messagereader.h"
#include "mangoshift/clock.h"

namespace {

using namespace mangoshift;
using asio::ip::tcp;
using Json = nlohmann::json;
using std::chrono::microseconds;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr const char *Service = "pass-lookup";
constexpr const char *SlowedTarget = "pass-lookup-00-a";
constexpr int Shards = 20;
constexpr int SlotsPerShard = 4;
constexpr std::size_t ConnectionsPerVm = 100;
constexpr std::chrono::seconds WarmUp{1};
/// How long to wait for the last responses after the last query.
constexpr std::chrono::milliseconds ResponseWait{200};

/// The results of one measurement.
struct Tally
{
    std::vector<double> latenciesMs;
    std::uint64_t sent = 0;
    std::uint64_t sentWithWarmUp = 0;
    std::uint64_t failed = 0;
    std::uint64_t complete = 0;
    std::uint64_t shardsRequested = 0;
    std::uint64_t shardsAnswered = 0;
};

/// A caller's connection to an entry VM. Carries one query at a time.
class Caller : public std::enable_shared_from_this<Caller>
{
public:
    using OnResponse = std::function<void(const std::shared_ptr<Caller> &, HttpResponse)>;
    using OnClosed = std::function<void(const std::shared_ptr<Caller> &)>;

    Caller(asio::io_context &io, const std::string &address, OnResponse onResponse,
           OnClosed onClosed)
        : m_address(address)
        , m_socket(io)
        , m_onResponse(std::move(onResponse))
        , m_onClosed(std::move(onClosed))
        , m_reader(4U << 20U, [this](HttpResponse message) {
            m_onResponse(shared_from_this(), std::move(message));
        })
    {
        const Address parsed = *parseAddress(address);
        m_socket.connect(tcp::endpoint(asio::ip::make_address(parsed.ip), parsed.port));
        m_socket.set_option(tcp::no_delay(true));
    }

    void send(Clock::time_point arrivedAt)
    {
        arrival = arrivedAt;
        HttpRequest request;
        request.method = "POST";
        request.target = std::string("/v1/query/") + Service;
        request.headers.add("content-type", "application/json");
        request.body = "{}";
        m_outgoing = formatRequest(request, m_address);
        asio::async_write(m_socket, asio::buffer(m_outgoing),
                          [self = shared_from_this()](asio::error_code, std::size_t) {});
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                if (!error && self->m_reader.feed(self->m_buffer.data(), size)) {
                    self->read();
                    return;
                }
                self->close();
                if (const auto onClosed = std::exchange(self->m_onClosed, nullptr))
                    onClosed(self);
            });
    }

    void close()
    {
        asio::error_code ignored;
        m_socket.close(ignored);
    }

    Clock::time_point arrival;

private:
    std::string m_address;
    tcp::socket m_socket;
    OnResponse m_onResponse;
    OnClosed m_onClosed;
    MessageReader<HttpResponse> m_reader;
    std::array<char, 65536> m_buffer{};
    std::string m_outgoing;
};

/// Sends queries with exponentially distributed intervals to the VMs in rotation, without waiting
/// for responses (open loop).
class Load
{
public:
    Load(std::vector<std::string> addresses, unsigned seed)
        : m_timer(m_io)
        , m_addresses(std::move(addresses))
        , m_idle(m_addresses.size())
        , m_openConnections(m_addresses.size())
        , m_random(seed)
    {
    }

    ~Load()
    {
        for (const auto &callers : m_idle)
            for (const auto &caller : callers)
                caller->close();
    }

    /// Sends queries for the warm-up time and `length`. Returns the results of the queries sent
    /// after the warm-up; `sentWithWarmUp` counts all of them.
    Tally run(double queriesPerSecond, std::chrono::seconds length)
    {
        m_tally = {};
        m_interarrivalSeconds = std::exponential_distribution<double>(queriesPerSecond);
        m_nextArrival = Clock::now();
        m_measureFrom = m_nextArrival + WarmUp;
        m_end = m_measureFrom + length;
        scheduleNext();
        m_io.restart();
        m_io.run_for(WarmUp + length + ResponseWait);
        return std::move(m_tally);
    }

private:
    using CallerPtr = std::shared_ptr<Caller>;

    void scheduleNext()
    {
        m_nextArrival += std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(m_interarrivalSeconds(m_random)));
        if (m_nextArrival >= m_end)
            return;
        m_timer.expires_at(m_nextArrival);
        m_timer.async_wait([this](asio::error_code) {
            onArrival(m_nextArrival);
            scheduleNext();
        });
    }

    void onArrival(Clock::time_point scheduledAt)
    {
        const std::size_t vm = m_arrivals++ % m_addresses.size();
        ++m_tally.sentWithWarmUp;
        if (scheduledAt >= m_measureFrom)
            ++m_tally.sent;
        if (m_idle[vm].empty() && m_openConnections[vm] >= ConnectionsPerVm) {
            ++m_tally.failed;
            return;
        }
        if (m_idle[vm].empty()) {
            ++m_openConnections[vm];
            m_idle[vm].push_back(std::make_shared<Caller>(
                m_io, m_addresses[vm],
                [this, vm](const CallerPtr &caller, const HttpResponse &response) {
                    onResponse(*caller, response);
                    if (response.keepAlive)
                        m_idle[vm].push_back(caller);
                },
                [this, vm](const CallerPtr &caller) {
                    --m_openConnections[vm];
                    std::erase(m_idle[vm], caller);
                }));
            m_idle[vm].back()->read();
        }
        const CallerPtr caller = m_idle[vm].back();
        m_idle[vm].pop_back();
        caller->send(scheduledAt);
    }

    void onResponse(const Caller &caller, const HttpResponse &response)
    {
        if (caller.arrival < m_measureFrom)
            return;
        m_tally.latenciesMs.push_back(Milliseconds(Clock::now() - caller.arrival).count());
        m_tally.shardsRequested += Shards;
        const Json answer = Json::parse(response.body, nullptr, false);
        if (response.status != 200 || !answer.is_object()) {
            if (m_tally.failed++ == 0)
                std::fprintf(stderr, "first failed query: status %d, body %s\n", response.status,
                             response.body.c_str());
            return;
        }
        m_tally.shardsAnswered += answer["shards"]["answered"].get<std::uint64_t>();
        m_tally.complete += answer["complete"].get<bool>() ? 1 : 0;
    }

    asio::io_context m_io;
    asio::basic_waitable_timer<Clock> m_timer;
    std::vector<std::string> m_addresses;
    std::vector<std::vector<CallerPtr>> m_idle;
    std::vector<std::size_t> m_openConnections;
    std::mt19937 m_random;
    std::exponential_distribution<double> m_interarrivalSeconds;
    Clock::time_point m_nextArrival;
    Clock::time_point m_measureFrom;
    Clock::time_point m_end;
    std::size_t m_arrivals = 0;
    Tally m_tally;
};

struct Options
{
    std::string placement = "region";
    int seconds = 3;
    int serviceTimeUs = 8000;
    unsigned seed = 1;
    double stragglerShare = 0;
    std::vector<double> loadFactors{0.3, 0.5, 0.7, 0.85};
};

double quantile(std::vector<double> &sorted, double q)
{
    if (sorted.empty())
        return 0;
    return sorted[static_cast<std::size_t>(q * static_cast<double>(sorted.size() - 1))];
}

std::uint64_t totalQueriesRun(testing::Deployment &deployment)
{
    std::uint64_t sum = 0;
    const auto response = deployment.get(deployment.targetControl(), "/records");
    for (const Json &record : Json::parse(response.body))
        sum += record["queries_run"].get<std::uint64_t>();
    return sum;
}

void measure(testing::Deployment &deployment, Load &load, const Options &options, double slowFactor,
             double loadFactor)
{
    const Json slowdown{{"slow_factor", slowFactor}};
    deployment.put(deployment.targetControl(), std::string("/targets/") + SlowedTarget,
                   slowdown.dump());
    const double capacity = SlotsPerShard * 1e6 / options.serviceTimeUs;
    const std::uint64_t before = totalQueriesRun(deployment);
    Tally tally = load.run(capacity * loadFactor, std::chrono::seconds(options.seconds));
    const auto shardQueriesRun = static_cast<double>(totalQueriesRun(deployment) - before);
    const double firstRequests = static_cast<double>(tally.sentWithWarmUp) * Shards;
    std::sort(tally.latenciesMs.begin(), tally.latenciesMs.end());
    const auto sent = static_cast<double>(std::max<std::uint64_t>(tally.sent, 1));
    std::printf(
        "%-7s slowed %4.0fx load %2.0f%%  queries %5.0f  p50 %6.1f p99 %6.1f p99.9 %6.1f ms"
        "  complete %6.2f%%  coverage %6.2f%%  unanswered %3.0f  runs/request %5.3f\n",
        options.placement.c_str(), slowFactor, loadFactor * 100, sent,
        quantile(tally.latenciesMs, 0.5), quantile(tally.latenciesMs, 0.99),
        quantile(tally.latenciesMs, 0.999), 100 * static_cast<double>(tally.complete) / sent,
        100 * static_cast<double>(tally.shardsAnswered) / (sent * Shards),
        sent - static_cast<double>(tally.latenciesMs.size()), shardQueriesRun / firstRequests);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    static const option longOptions[] = {{"placement", required_argument, nullptr, 'p'},
                                         {"seconds", required_argument, nullptr, 's'},
                                         {"service-time-us", required_argument, nullptr, 't'},
                                         {"seed", required_argument, nullptr, 'r'},
                                         {"share", required_argument, nullptr, 'l'},
                                         {"straggler-share", required_argument, nullptr, 'x'},
                                         {nullptr, 0, nullptr, 0}};
    Options options;
    for (int c = 0; (c = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        if (c == 'p')
            options.placement = optarg;
        else if (c == 's')
            options.seconds = std::max(std::atoi(optarg), 1);
        else if (c == 't')
            options.serviceTimeUs = std::max(std::atoi(optarg), 1);
        else if (c == 'r')
            options.seed = static_cast<unsigned>(std::atoi(optarg));
        else if (c == 'x')
            options.stragglerShare = std::atof(optarg);
        else if (c == 'l')
            options.loadFactors = {std::atof(optarg)};
        else
            return 2;
    }
    testing::DeploymentOptions deploymentOptions;
    deploymentOptions.targetOptions = {"--service-time-us", std::to_string(options.serviceTimeUs)};
    deploymentOptions.settings = Json{{"placement", options.placement}}.dump();
    testing::Deployment deployment("sundarban", deploymentOptions);
    std::vector<std::string> addresses;
    for (const std::string &vm : deployment.vmNames())
        addresses.push_back(deployment.callerAddress(vm));
    Load load(addresses, options.seed);
    deployment.put(deployment.targetControl(), "/targets/*",
                   Json{{"straggler_share", options.stragglerShare}}.dump());
    const bool hasStragglers = options.stragglerShare > 0;
    for (const double slowFactor : hasStragglers ? std::vector{1.0} : std::vector{1.0, 4.0, 10.0})
        for (const double loadFactor : options.loadFactors)
            measure(deployment, load, options, slowFactor, loadFactor);
    return 0;
}
