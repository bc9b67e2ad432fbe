#include <chrono>
#include <cstdio>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "app/command.h"
#include "app/commandline.h"
#include "base/address.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift submit --to ADDRESS[,ADDRESS...] --service NAME [OPTIONS] [JSON]\n"
    "\n"
    "Runs one request that is not idempotent, at most once, and prints the outcome. Takes a\n"
    "ticket first and sends the request with it; where an answer is lost, or does not say\n"
    "whether the request ran, sends it again with the same ticket, by the next address in turn.\n"
    "\n"
    "  -t, --to ADDRESSES     caller addresses of entry VMs, such as "
    "127.0.1.1:8080,127.0.1.2:8080\n"
    "  -s, --service NAME     the service to submit to\n"
    "  -k, --ticket TICKET    a ticket taken before; none takes a new one\n"
    "  -K, --shard-key KEY    picks the shard, where the service has several\n"
    "  -p, --patience-ms N    how long to go on for a definite outcome (10000)\n"
    "  -h, --help             print this text\n"
    "\n"
    "Exit statuses: 0 ran, 1 not run, 2 wrong command line, 3 no VM gave a ticket (not run),\n"
    "4 may have run.\n";

constexpr std::chrono::milliseconds ConnectTimeout{500};
constexpr std::chrono::milliseconds ReadTimeout{3000};
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

/// What one answer says of the request.
struct SubmitResponse
{
    std::string execution; ///< Empty where there was no answer or it did not say.
    int status = 0;
    std::string text;
};

/// Sends one submission with its repeats.
class Submission
{
public:
    explicit Submission(const Options &options)
        : m_options(options)
        , m_deadline(std::chrono::steady_clock::now() + options.timeout)
    {
    }

    int run()
    {
        m_ticket = m_options.ticket;
        while (m_ticket.empty()) {
            const httplib::Result result = post("/v1/tickets/", {}, "");
            if (result && result->status == 200) {
                const auto json = nlohmann::json::parse(result->body, nullptr, false);
                m_ticket = json.value("tickets", std::vector<std::string>{""}).front();
            } else if (result && result->status < 500) {
                std::fputs(result->body.c_str(), stdout);
                return ExitFault;
            } else if (!waitBeforeRetry()) {
                std::fputs("mangoshift submit: no VM gave a ticket; nothing was sent\n", stderr);
                return ExitFailure;
            }
        }
        return retryUntilDefinite();
    }

private:
    int retryUntilDefinite()
    {
        SubmitResponse lastResponse;
        do {
            SubmitResponse response = send();
            if (!response.execution.empty())
                lastResponse = std::move(response);
            // A conflict or a bad request stays what it is however often it is sent.
            if (lastResponse.execution == "ran" || lastResponse.execution == "not_run"
                || lastResponse.status == 400 || lastResponse.status == 409)
                break;
        } while (waitBeforeRetry());
        std::fputs(lastResponse.text.c_str(), stdout);
        if (lastResponse.execution == "ran")
            return ExitOk;
        if (lastResponse.execution == "not_run")
            return ExitFault;
        std::fprintf(stderr, "mangoshift submit: may have run; ticket %s\n", m_ticket.c_str());
        return ExitMayHaveRun;
    }

    SubmitResponse send()
    {
        httplib::Headers headers{{"Idempotency-Key", m_ticket}};
        if (!m_options.shardKey.empty())
            headers.emplace("Shard-Key", m_options.shardKey);
        const httplib::Result result = post("/v1/submit/", headers, m_options.body);
        if (!result)
            return {};
        const auto json = nlohmann::json::parse(result->body, nullptr, false);
        if (!json.is_object())
            return {};
        return {json.value("execution", ""), result->status, result->body};
    }

    httplib::Result post(const std::string &route, const httplib::Headers &headers,
                         const std::string &body)
    {
        const Address &to = m_options.to[m_nextAddress % m_options.to.size()];
        httplib::Client client(to.ip, to.port);
        client.set_connection_timeout(ConnectTimeout);
        client.set_read_timeout(ReadTimeout);
        return client.Post((route + m_options.service).c_str(), headers, body, "application/json");
    }

    /// Turns to the next VM after a pause. Returns false where the patience has ended.
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

/// Reads `A,B,C`; returns false, having said why, where one is no address.
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
