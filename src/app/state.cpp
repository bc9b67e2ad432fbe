#include <chrono>
#include <cstdio>
#include <string>

#include "app/command.h"
#include "app/commandline.h"
#include "base/address.h"
#include "http/httpclient.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift state --of ADDRESS\n"
    "\n"
    "Prints the state dump of a running entry VM, as JSON. Exits with 3 if it does not respond.\n"
    "\n"
    "  -o, --of ADDRESS  operator address of the VM, for example 127.0.1.1:7101\n"
    "  -h, --help        print this text\n";

/// A dump lists every target and VM that a VM knows: some MB in a fleet of the design size.
constexpr HttpClientLimits Limits{
    {64U << 10U, 32U << 20U}, std::chrono::seconds(5), std::chrono::seconds(30)};

int run(const std::string &of)
{
    const auto address = parseAddress(of);
    if (!address) {
        std::fprintf(stderr, "mangoshift state: --of: %s\n", address.error().c_str());
        return ExitUsage;
    }
    HttpClient client(*address, Limits);
    const auto result = client.get("/state");
    if (!result.hasStatus(200)) {
        std::fprintf(stderr, "mangoshift state: cannot fetch the state dump from %s\n", of.c_str());
        return ExitFailure;
    }
    std::fputs(result.response.body.c_str(), stdout);
    return ExitOk;
}

} // namespace

int stateMain(int argc, char **argv)
{
    std::string of;
    const auto operands = readCommandLine(argc, argv, Usage, {textOption("of", 'o', of)});
    if (!operands)
        return operands.error();
    if (of.empty() || !operands->empty())
        return usageError(Usage);
    return run(of);
}

} // namespace mangoshift
