// Sends open-loop load through a peak of demand (the crest) to the caller ports of running VMs.
// Prints, for each phase, the goodput (complete answers within the deadline), the latency of
// responses and of refusals, and the same figures for a service of the highest priority.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "base/address.h"
#include "http/messagereader.h"

namespace {

using namespace mangoshift;
using asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds Deadline{100};
constexpr seconds WarmUpDuration{3};
constexpr seconds HealthyDuration{5};
constexpr seconds RampDuration{2};
constexpr seconds CrestDuration{10};
constexpr seconds RecoveryDuration{5};
/// The latency should be back to normal this long after the crest.
constexpr seconds RecoveryLimit{2};
constexpr double BaseLoadFactor = 0.5; ///< Fraction of capacity before and after the crest.
constexpr double CrestLoadFactor = 3; ///< Multiple of capacity during the crest.

enum class Outcome { Complete, Partial, Refused, Error };

struct Sample
{
    microseconds scheduledAt{0}; ///< Relative to the start of the run.
    microseconds latency{0}; ///< From the scheduled send time.
    Outcome outcome = Outcome::Error;
};

/// The requests sent to one service.
struct Stream
{
    std::string service;
    std::vector<Sample> samples;
};

/// A keep-alive connection that carries one request at a time.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    using OnEnd =
        std::function<void(const std::shared_ptr<Connection> &, Outcome, bool isReusable)>;

    explicit Connection(asio::io_context &io)
        : m_socket(io)
        , m_reader(MaxBodyBytes, [this](const HttpResponse &response) { onResponse(response); })
    {
    }

    void send(const tcp::endpoint &endpoint, std::string bytes, OnEnd onEnd)
    {
        m_bytes = std::move(bytes);
        m_onEnd = std::move(onEnd);
        if (m_socket.is_open()) {
            write();
            return;
        }
        m_socket.async_connect(endpoint, [self = shared_from_this()](asio::error_code error) {
            if (error) {
                self->finish(Outcome::Error, false);
                return;
            }
            self->m_socket.set_option(tcp::no_delay(true), error);
            self->write();
            self->read();
        });
    }

private:
    static constexpr std::size_t MaxBodyBytes = 4U << 20U;

    void write()
    {
        asio::async_write(m_socket, asio::buffer(m_bytes),
                          [self = shared_from_this()](asio::error_code error, std::size_t) {
                              if (error)
                                  self->finish(Outcome::Error, false);
                          });
    }

    void read()
    {
        m_socket.async_read_some(
            asio::buffer(m_buffer),
            [self = shared_from_this()](asio::error_code error, std::size_t size) {
                if (!error && self->m_reader.feed(self->m_buffer.data(), size))
                    self->read();
                else
                    self->finish(Outcome::Error, false);
            });
    }

    void onResponse(const HttpResponse &response)
    {
        const bool isComplete = response.body.find("\"complete\":true") != std::string::npos;
        const bool isRefused = response.body.find("\"execution\":\"not_run\"") != std::string::npos
            && response.status == 503;
        Outcome outcome = Outcome::Error;
        if (response.status == 200)
            outcome = isComplete ? Outcome::Complete : Outcome::Partial;
        else if (isRefused)
            outcome = Outcome::Refused;
        finish(outcome, response.headers.value("connection") != "close");
    }

    void finish(Outcome outcome, bool isReusable)
    {
        if (auto onEnd = std::exchange(m_onEnd, nullptr))
            onEnd(shared_from_this(), outcome, isReusable);
        if (!isReusable) {
            asio::error_code ignored;
            m_socket.close(ignored);
        }
    }

    tcp::socket m_socket;
    MessageReader<HttpResponse> m_reader;
    std::string m_bytes;
    OnEnd m_onEnd;
    std::array<char, 65536> m_buffer{};
};

/// Sends requests for one service at a rate that varies over time, without waiting for responses
/// (open loop).
class Generator
{
public:
    Generator(asio::io_context &io, std::vector<tcp::endpoint> vms, Stream &stream,
              SteadyClock::time_point start, std::function<double(microseconds)> rate)
        : m_io(io)
        , m_vms(std::move(vms))
        , m_idle(m_vms.size())
        , m_stream(stream)
        , m_start(start)
        , m_nextSendTime(start)
        , m_rateAt(std::move(rate))
        , m_timer(io)
    {
    }

    void run()
    {
        const auto now = SteadyClock::now();
        while (m_nextSendTime <= now) {
            const auto scheduledAt =
                std::chrono::duration_cast<microseconds>(m_nextSendTime - m_start);
            const double rate = m_rateAt(scheduledAt);
            if (rate <= 0)
                return;
            send(scheduledAt);
            m_nextSendTime += std::chrono::duration_cast<SteadyClock::duration>(
                std::chrono::duration<double>(1 / rate));
        }
        m_timer.expires_at(m_nextSendTime);
        m_timer.async_wait([this](asio::error_code) { run(); });
    }

private:
    void send(microseconds scheduledAt)
    {
        const std::size_t vm = m_sent++ % m_vms.size();
        std::shared_ptr<Connection> connection;
        if (m_idle[vm].empty()) {
            connection = std::make_shared<Connection>(m_io);
        } else {
            connection = std::move(m_idle[vm].back());
            m_idle[vm].pop_back();
        }
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/query/" + m_stream.service;
        request.headers.add("content-type", "application/json");
        request.headers.add("deadline-ms", std::to_string(Deadline.count()));
        request.body = "{}";
        connection->send(m_vms[vm], formatRequest(request, "vm"),
                         [this, vm, scheduledAt](const std::shared_ptr<Connection> &finished,
                                                 Outcome outcome, bool isReusable) {
                             const auto now = std::chrono::duration_cast<microseconds>(
                                 SteadyClock::now() - m_start);
                             m_stream.samples.push_back({scheduledAt, now - scheduledAt, outcome});
                             if (isReusable)
                                 m_idle[vm].push_back(finished);
                         });
    }

    asio::io_context &m_io;
    std::vector<tcp::endpoint> m_vms;
    std::vector<std::vector<std::shared_ptr<Connection>>> m_idle;
    Stream &m_stream;
    SteadyClock::time_point m_start;
    SteadyClock::time_point m_nextSendTime;
    std::function<double(microseconds)> m_rateAt;
    asio::steady_timer m_timer;
    std::size_t m_sent = 0;
};

double quantileMs(std::vector<microseconds> times, double q)
{
    if (times.empty())
        return 0;
    std::sort(times.begin(), times.end());
    const auto index = static_cast<std::size_t>(q * static_cast<double>(times.size() - 1));
    return static_cast<double>(times[index].count()) / 1000;
}

void report(const char *phase, const Stream &stream, microseconds from, microseconds until)
{
    std::size_t sent = 0;
    std::size_t completeInTime = 0;
    std::size_t partial = 0;
    std::size_t errors = 0;
    std::size_t completeLate = 0;
    std::vector<microseconds> responses;
    std::vector<microseconds> refusals;
    for (const Sample &sample : stream.samples) {
        if (sample.scheduledAt < from || sample.scheduledAt >= until)
            continue;
        ++sent;
        if (sample.outcome == Outcome::Refused) {
            refusals.push_back(sample.latency);
            continue;
        }
        responses.push_back(sample.latency);
        const bool isComplete = sample.outcome == Outcome::Complete;
        completeInTime += isComplete && sample.latency <= Deadline ? 1 : 0;
        completeLate += isComplete && sample.latency > Deadline ? 1 : 0;
        partial += sample.outcome == Outcome::Partial ? 1 : 0;
        errors += sample.outcome == Outcome::Error ? 1 : 0;
    }
    const double durationSeconds = std::chrono::duration<double>(until - from).count();
    std::printf("%-9s %-15s sent/s %6.1f good/s %6.1f partial %zu complete_late %zu errors %zu "
                "refused %zu | responses p50 %.1f p99 %.1f ms | refusals p50 %.1f p99 %.1f ms\n",
                phase, stream.service.c_str(), static_cast<double>(sent) / durationSeconds,
                static_cast<double>(completeInTime) / durationSeconds, partial, completeLate,
                errors, refusals.size(), quantileMs(responses, 0.5), quantileMs(responses, 0.99),
                quantileMs(refusals, 0.5), quantileMs(refusals, 0.99));
}

int usage()
{
    std::fputs(
        "Usage: crestload CAPACITY SERVICE URGENT_RATE URGENT_SERVICE ADDRESS...\n"
        "\n"
        "Queries SERVICE at half of CAPACITY (in queries/s) for 8 s, ramps up to three\n"
        "times CAPACITY within 2 s, holds that rate for 10 s, and returns to the first rate\n"
        "for 5 s. Queries URGENT_SERVICE at URGENT_RATE throughout. ADDRESS is the caller\n"
        "address of a VM.\n",
        stderr);
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 6)
        return usage();
    const double capacity = std::atof(argv[1]);
    const double urgentRate = std::atof(argv[3]);
    std::vector<tcp::endpoint> vms;
    for (int i = 5; i < argc; ++i) {
        const auto address = parseAddress(argv[i]);
        if (!address)
            return usage();
        vms.emplace_back(asio::ip::make_address(address->ip), address->port);
    }
    Stream load{argv[2], {}};
    Stream urgent{argv[4], {}};
    const microseconds healthyFrom = WarmUpDuration;
    const microseconds rampFrom = healthyFrom + HealthyDuration;
    const microseconds crestFrom = rampFrom + RampDuration;
    const microseconds crestUntil = crestFrom + CrestDuration;
    const microseconds runEnd = crestUntil + RecoveryDuration;
    const auto loadRate = [&](microseconds at) {
        if (at >= runEnd)
            return 0.0;
        if (at < rampFrom || at >= crestUntil)
            return BaseLoadFactor * capacity;
        const double rampProgress = std::min(1.0,
                                             std::chrono::duration<double>(at - rampFrom)
                                                 / std::chrono::duration<double>(RampDuration));
        return (BaseLoadFactor + (CrestLoadFactor - BaseLoadFactor) * rampProgress) * capacity;
    };
    const auto urgentRateAt = [&](microseconds at) { return at >= runEnd ? 0.0 : urgentRate; };

    asio::io_context io(1);
    const auto start = SteadyClock::now();
    Generator loadGenerator(io, vms, load, start, loadRate);
    Generator urgentGenerator(io, vms, urgent, start, urgentRateAt);
    loadGenerator.run();
    urgentGenerator.run();
    io.run_for(std::chrono::duration_cast<milliseconds>(runEnd) + seconds(2));

    for (const Stream *stream : {&load, &urgent}) {
        report("healthy", *stream, healthyFrom, rampFrom);
        report("ramp", *stream, rampFrom, crestFrom);
        report("crest", *stream, crestFrom, crestUntil);
        report("0-2s", *stream, crestUntil, crestUntil + RecoveryLimit);
        report("recovered", *stream, crestUntil + RecoveryLimit, runEnd);
    }
    return 0;
}
