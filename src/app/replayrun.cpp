#include "app/replayrun.h"

#include <algorithm>
#include <random>
#include <thread>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "app/callerclient.h"
#include "app/files.h"
#include "app/replayfaults.h"
#include "app/replayrows.h"
#include "config/documentjson.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t MaxConnectionsPerVm = 100;
/// How long after its deadline a response is still awaited.
constexpr milliseconds ResponseGrace{1500};
constexpr milliseconds ProgressInterval{1000};
/// From the start of the replay to the trace's time zero.
constexpr milliseconds LeadTime{100};

/// One request of the trace, with the time at which it is due.
struct Arrival
{
    std::chrono::microseconds at{0};
    std::size_t segment = 0;
};

/// Draws the arrivals of a segment as a Poisson process whose rate goes evenly from `rate` to
/// `rateEnd`, by thinning one of the greater rate.
void addArrivals(const LoadSegment &segment, std::size_t index, std::mt19937_64 &random,
                 std::vector<Arrival> &arrivals)
{
    const double highest = std::max(segment.rate, segment.rateEnd);
    const double length = std::chrono::duration<double>(segment.to - segment.from).count();
    std::exponential_distribution<double> gap(highest);
    std::uniform_real_distribution<double> threshold(0, highest);
    for (double at = gap(random); at < length; at += gap(random)) {
        const double rate = segment.rate + (segment.rateEnd - segment.rate) * at / length;
        if (threshold(random) > rate)
            continue;
        const std::chrono::duration<double> since(at);
        arrivals.push_back(
            {segment.from + std::chrono::duration_cast<std::chrono::microseconds>(since), index});
    }
}

std::vector<Arrival> arrivalsOf(const Trace &trace)
{
    std::mt19937_64 random(trace.seed);
    std::vector<Arrival> arrivals;
    for (std::size_t i = 0; i < trace.segments.size(); ++i)
        addArrivals(trace.segments[i], i, random, arrivals);
    std::sort(arrivals.begin(), arrivals.end(),
              [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
    return arrivals;
}

/// Sends the requests of a trace when they are due, whether or not earlier ones were answered.
class LoadGenerator
{
public:
    LoadGenerator(const Trace &trace, const RunningDeployment &deployment, const Document &document,
                  RowChecker &checker, ReplayProgress progress)
        : m_trace(trace)
        , m_document(document)
        , m_checker(checker)
        , m_progress(std::move(progress))
        , m_arrivals(arrivalsOf(trace))
        , m_samples(m_arrivals.size())
        , m_client(m_io, deployment.callers, MaxConnectionsPerVm)
        , m_timer(m_io)
    {
    }

    asio::io_context &io() { return m_io; }

    std::vector<Sample> run(steady_clock::time_point start)
    {
        m_start = start;
        if (m_arrivals.empty())
            return {};
        sendDue();
        m_io.run();
        return std::move(m_samples);
    }

private:
    void sendDue()
    {
        const auto now = steady_clock::now();
        for (; m_nextArrival < m_arrivals.size() && m_start + m_arrivals[m_nextArrival].at <= now;
             ++m_nextArrival)
            send(m_nextArrival);
        if (now - m_start >= m_lastProgress + ProgressInterval) {
            m_lastProgress += ProgressInterval;
            m_progress(m_lastProgress);
        }
        if (m_nextArrival == m_arrivals.size())
            return;
        m_timer.expires_at(m_start + m_arrivals[m_nextArrival].at);
        m_timer.async_wait([this](asio::error_code) { sendDue(); });
    }

    void send(std::size_t index)
    {
        const Arrival &arrival = m_arrivals[index];
        const std::string &name = m_trace.segments[arrival.segment].service;
        const milliseconds deadline = m_document.service(name)->deadline;
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/query/" + name;
        request.headers.add("content-type", "application/json");
        request.body = "{}";
        m_client.send(
            std::move(request), deadline + ResponseGrace,
            [this, index, deadline](ClientConnection::End end, const HttpResponse &response) {
                onEnd(index, deadline, end, response);
            });
    }

    void onEnd(std::size_t index, milliseconds deadline, ClientConnection::End end,
               const HttpResponse &response)
    {
        const Arrival &arrival = m_arrivals[index];
        const std::string &service = m_trace.segments[arrival.segment].service;
        Sample &sample = m_samples[index];
        sample.segment = arrival.segment;
        sample.latency = std::chrono::duration_cast<std::chrono::microseconds>(
            steady_clock::now() - (m_start + arrival.at));
        sample.isWithinDeadline = sample.latency <= deadline;
        sample.shardsRequested = m_checker.shardCount(service);
        if (end == ClientConnection::End::Answered)
            m_checker.check(service, response, sample);
        // Idle connections would keep the event loop going.
        if (++m_finished == m_samples.size())
            m_io.stop();
    }

    const Trace &m_trace;
    const Document &m_document;
    RowChecker &m_checker;
    ReplayProgress m_progress;
    std::vector<Arrival> m_arrivals;
    std::vector<Sample> m_samples;
    asio::io_context m_io{1};
    CallerClient m_client;
    asio::steady_timer m_timer;
    steady_clock::time_point m_start;
    milliseconds m_lastProgress{0};
    std::size_t m_nextArrival = 0;
    std::size_t m_finished = 0;
};

/// Returns what makes the trace unfit for the document, or an empty text.
std::string findMismatch(const Trace &trace, const Document &document)
{
    for (const LoadSegment &segment : trace.segments)
        if (document.service(segment.service) == nullptr)
            return "no service is called '" + segment.service + "'";
    return {};
}

Address addressOf(const Json &json)
{
    return parseAddress(json.get<std::string>()).value_or(Address{});
}

} // namespace

tl::expected<RunningDeployment, std::string> readRunningDeployment(const std::string &folder)
{
    const auto text = readFile(folder + "/run.json");
    if (!text)
        return tl::make_unexpected(text.error());
    auto document = readFile(folder + "/document.json");
    if (!document)
        return tl::make_unexpected(document.error());
    RunningDeployment deployment;
    try {
        const Json json = Json::parse(*text);
        deployment.name = json.at("deployment").get<std::string>();
        deployment.platform = addressOf(json.at("platform"));
        for (const Json &each : json.at("callers"))
            deployment.callers.push_back(addressOf(each));
        for (const Json &each : json.at("target_controls"))
            deployment.targetControls.push_back(addressOf(each));
        deployment.pids = json.at("pids").get<std::map<std::string, int>>();
    } catch (const Json::exception &error) {
        return tl::make_unexpected(folder + "/run.json: " + error.what());
    }
    deployment.document = std::move(*document);
    return deployment;
}

tl::expected<ReplayResult, std::string>
replayTrace(const Trace &trace, const RunningDeployment &deployment, const ReplayProgress &progress)
{
    const auto document = parseDocument(deployment.document, 1);
    if (!document)
        return tl::make_unexpected("document: " + document.error().front().path + ": "
                                   + document.error().front().message);
    if (auto mismatch = findMismatch(trace, *document); !mismatch.empty())
        return tl::make_unexpected(std::move(mismatch));
    RowChecker checker;
    checker.addDocument(*document);
    LoadGenerator loadGenerator(trace, deployment, *document, checker, progress);
    FaultInjector faultInjector(trace, deployment, [&](Document published) {
        // The checker belongs to the thread of the load.
        asio::post(loadGenerator.io(), [&checker, published = std::move(published)] {
            checker.addDocument(published);
        });
    });
    if (!faultInjector.setInitialBehaviour())
        return tl::make_unexpected(faultInjector.error());
    const std::uint64_t queriesBefore = faultInjector.countTargetQueries();
    const auto start = steady_clock::now() + LeadTime;
    std::thread faultThread([&] { faultInjector.run(start); });
    std::vector<Sample> samples = loadGenerator.run(start);
    faultThread.join();
    if (!faultInjector.error().empty())
        return tl::make_unexpected(faultInjector.error());
    return ReplayResult{std::move(samples), faultInjector.countTargetQueries() - queriesBefore};
}

} // namespace mangoshift
