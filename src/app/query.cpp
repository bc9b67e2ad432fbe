#include <cstdio>
#include <string>

#include <httplib.h>

#include "app/command.h"
#include "app/commandline.h"
#include "base/address.h"

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

struct Options
{
    std::string to;
    std::string service;
    std::string deadline;
    std::string body = "{}";
};

int run(const Options &options)
{
    const auto address = parseAddress(options.to);
    if (!address) {
        std::fprintf(stderr, "mangoshift query: --to: %s\n", address.error().c_str());
        return ExitUsage;
    }
    httplib::Client client(address->ip, address->port);
    httplib::Headers headers;
    if (!options.deadline.empty())
        headers.emplace("Deadline-Ms", options.deadline);
    const auto result = client.Post(("/v1/query/" + options.service).c_str(), headers, options.body,
                                    "application/json");
    if (!result) {
        std::fprintf(stderr, "mangoshift query: no response from %s\n", options.to.c_str());
        return ExitFailure;
    }
    std::fputs(result->body.c_str(), stdout);
    const bool isComplete =
        result->status == 200 && result->body.find("\"complete\":true") != std::string::npos;
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
