#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "app/command.h"
#include "app/commandline.h"
#include "base/address.h"
#include "http/httpclient.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift query --to ADDRESS --service NAME [--deadline-ms N] [JSON]\n"
    "\n"
    "Sends a query to an entry VM and prints the answer. Exits with 0 if the answer is complete,\n"
    "with 1 if it is partial or a problem response, and with 3 if there is no response.\n"
    "\n"
    "  -t, --to ADDRESS     caller address of an entry VM, for example 127.0.1.1:8080\n"
    "  -s, --service NAME   the service to query\n"
    "  -d, --deadline-ms N  the deadline in milliseconds\n"
    "  -h, --help           print this text\n";

constexpr HttpSizeLimits AnswerLimits{64U << 10U, 16U << 20U};
constexpr std::chrono::milliseconds ConnectTimeout{5000};
/// The longest deadline that a VM accepts.
constexpr std::chrono::milliseconds MaxDeadline{60'000};
/// How long past the deadline the answer may take to arrive.
constexpr std::chrono::milliseconds AnswerMargin{5000};

struct Options
{
    std::string to;
    std::string service;
    std::string deadline;
    std::string body = "{}";
};

/// Returns how long to wait for the answer to a query with the deadline `text`, which may be empty.
std::chrono::milliseconds answerTimeout(const std::string &text)
{
    const std::chrono::milliseconds deadline(std::strtol(text.c_str(), nullptr, 10));
    if (text.empty() || deadline > MaxDeadline)
        return MaxDeadline + AnswerMargin;
    return std::max(deadline, std::chrono::milliseconds(0)) + AnswerMargin;
}

int run(const Options &options)
{
    const auto address = parseAddress(options.to);
    if (!address) {
        std::fprintf(stderr, "mangoshift query: --to: %s\n", address.error().c_str());
        return ExitUsage;
    }
    HttpClient client(*address, {AnswerLimits, ConnectTimeout, answerTimeout(options.deadline)});
    HttpHeaders headers;
    if (!options.deadline.empty())
        headers.add("Deadline-Ms", options.deadline);
    const auto result =
        client.sendJson("POST", "/v1/query/" + options.service, options.body, std::move(headers));
    if (result.end != HttpClient::End::Responded) {
        std::fprintf(stderr, "mangoshift query: no response from %s\n", options.to.c_str());
        return ExitFailure;
    }
    const HttpResponse &answer = result.response;
    std::fputs(answer.body.c_str(), stdout);
    const bool isComplete =
        answer.status == 200 && answer.body.find("\"complete\":true") != std::string::npos;
    return isComplete ? ExitOk : ExitFault;
}

} // namespace

int queryMain(int argc, char **argv)
{
    Options options;
    const auto operands = readCommandLine(argc, argv, Usage,
                                          {textOption("to", 't', options.to),
                                           textOption("service", 's', options.service),
                                           textOption("deadline-ms", 'd', options.deadline)});
    if (!operands)
        return operands.error();
    if (options.to.empty() || options.service.empty() || operands->size() > 1)
        return usageError(Usage);
    if (!operands->empty())
        options.body = operands->front();
    return run(options);
}

} // namespace mangoshift
