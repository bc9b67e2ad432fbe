#include <chrono>
#include <cstdio>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "app/command.h"
#include "app/commandline.h"
#include "base/address.h"
#include "http/httpclient.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift submit --to ADDRESS[,ADDRESS...] --service NAME [OPTIONS] [JSON]\n"
    "\n"
    "Runs a request that is not idempotent at most once and prints the outcome. Requests a\n"
    "ticket first and sends the request with it. If there is no response, or it does not say\n"
    "whether the request ran, retries with the same ticket at the next address.\n"
    "\n"
    "  -t, --to ADDRESSES     caller addresses of entry VMs, for example "
    "127.0.1.1:8080,127.0.1.2:8080\n"
    "  -s, --service NAME     the service to submit to\n"
    "  -k, --ticket TICKET    an existing ticket (default: requests a new one)\n"
    "  -K, --shard-key KEY    selects the shard if the service has several\n"
    "  -p, --patience-ms N    how long to retry until the outcome is known (default: 10000)\n"
    "  -h, --help             print this text\n"
    "\n"
    "Exit statuses: 0 ran, 1 not run, 2 invalid command line, 3 no VM issued a ticket (not run),\n"
    "4 may have run.\n";

/// A response holds the answer of one target, which may have 4 MiB.
constexpr HttpClientLimits Limits{
    {64U << 10U, 8U << 20U}, std::chrono::milliseconds(500), std::chrono::milliseconds(3000)};
constexpr std::chrono::milliseconds RetryInterval{100};
constexpr std::chrono::milliseconds DefaultTimeout{10'000};

struct Options
{
    std::vector<Address> to;
    std::string service;
    std::string ticket;
    std::string shardKey;
    std::string body = "{}";
    std::chrono::milliseconds timeout = DefaultTimeout;
};

/// A response to a submission.
struct SubmitResponse
{
    /// Whether the request ran; empty if there is no response or it does not say.
    std::string execution;
    int status = 0;
    std::string text;
};

/// Returns the first ticket of the response to a request for tickets, or an empty string if it has
/// none.
std::string firstTicket(const std::string &response)
{
    const auto json = nlohmann::json::parse(response, nullptr, false);
    if (!json.is_object() || !json.contains("tickets") || !json["tickets"].is_array()
        || json["tickets"].empty() || !json["tickets"].front().is_string())
        return {};
    return json["tickets"].front();
}

/// Requests a ticket unless one is given, then sends the submission repeatedly until its outcome is
/// known, it is rejected or the timeout has passed.
class Submission
{
public:
    explicit Submission(const Options &options)
        : m_options(options)
        , m_deadline(std::chrono::steady_clock::now() + options.timeout)
    {
    }

    /// Returns the exit status.
    int run()
    {
        m_ticket = m_options.ticket;
        while (m_ticket.empty()) {
            const HttpClient::Result result = post("/v1/tickets/", {}, "");
            const HttpResponse &response = result.response;
            if (result.hasStatus(200))
                m_ticket = firstTicket(response.body);
            if (!m_ticket.empty())
                break;
            if (result.end == HttpClient::End::Responded && response.status != 200
                && response.status < 500) {
                std::fputs(response.body.c_str(), stdout);
                return ExitFault;
            }
            if (!waitBeforeRetry()) {
                std::fputs("mangoshift submit: no VM issued a ticket; the request was not sent\n",
                           stderr);
                return ExitFailure;
            }
        }
        return sendUntilOutcomeKnown();
    }

private:
    int sendUntilOutcomeKnown()
    {
        SubmitResponse lastResponse;
        do {
            SubmitResponse response = send();
            if (!response.execution.empty())
                lastResponse = std::move(response);
            // Retrying cannot change a bad request (400) or a conflict (409).
            if (lastResponse.execution == "ran" || lastResponse.execution == "not_run"
                || lastResponse.status == 400 || lastResponse.status == 409)
                break;
        } while (waitBeforeRetry());
        std::fputs(lastResponse.text.c_str(), stdout);
        if (lastResponse.execution == "ran")
            return ExitOk;
        if (lastResponse.execution == "not_run")
            return ExitFault;
        std::fprintf(stderr, "mangoshift submit: the request may have run; its ticket is %s\n",
                     m_ticket.c_str());
        return ExitMayHaveRun;
    }

    SubmitResponse send()
    {
        HttpHeaders headers;
        headers.add("Idempotency-Key", m_ticket);
        if (!m_options.shardKey.empty())
            headers.add("Shard-Key", m_options.shardKey);
        const HttpClient::Result result = post("/v1/submit/", std::move(headers), m_options.body);
        if (result.end != HttpClient::End::Responded)
            return {};
        const HttpResponse &response = result.response;
        const auto json = nlohmann::json::parse(response.body, nullptr, false);
        if (!json.is_object() || !json.contains("execution") || !json["execution"].is_string())
            return {};
        return {json["execution"], response.status, response.body};
    }

    HttpClient::Result post(const std::string &route, HttpHeaders headers, const std::string &body)
    {
        HttpClient client(m_options.to[m_nextAddress % m_options.to.size()], Limits);
        return client.sendJson("POST", route + m_options.service, body, std::move(headers));
    }

    /// Selects the next VM and pauses for `RetryInterval`. Returns false if the timeout has passed.
    bool waitBeforeRetry()
    {
        ++m_nextAddress;
        std::this_thread::sleep_for(RetryInterval);
        return std::chrono::steady_clock::now() < m_deadline;
    }

    const Options &m_options;
    std::chrono::steady_clock::time_point m_deadline;
    std::string m_ticket;
    std::size_t m_nextAddress = 0;
};

/// Parses addresses separated by commas. If one is invalid, prints the reason and returns false.
bool parseAddresses(const std::string &text, std::vector<Address> &addresses)
{
    std::istringstream parts(text);
    for (std::string part; std::getline(parts, part, ',');) {
        const auto address = parseAddress(part);
        if (!address) {
            std::fprintf(stderr, "mangoshift submit: --to: %s\n", address.error().c_str());
            return false;
        }
        addresses.push_back(*address);
    }
    return true;
}

/// Parses a number of milliseconds. Returns false unless it is positive.
bool parseTimeout(const char *text, std::chrono::milliseconds &timeout)
{
    timeout = std::chrono::milliseconds(std::strtol(text, nullptr, 10));
    return timeout.count() > 0;
}

} // namespace

int submitMain(int argc, char **argv)
{
    Options options;
    const auto setAddresses = [&](const char *text) { return parseAddresses(text, options.to); };
    const auto setTimeout = [&](const char *text) { return parseTimeout(text, options.timeout); };
    const auto operands = readCommandLine(argc, argv, Usage,
                                          {{"to", 't', setAddresses},
                                           textOption("service", 's', options.service),
                                           textOption("ticket", 'k', options.ticket),
                                           textOption("shard-key", 'K', options.shardKey),
                                           {"patience-ms", 'p', setTimeout}});
    if (!operands)
        return operands.error();
    if (options.to.empty() || options.service.empty() || operands->size() > 1)
        return usageError(Usage);
    if (!operands->empty())
        options.body = operands->front();
    return Submission(options).run();
}

} // namespace mangoshift
