#include <cstdio>
#include <string>

#include <httplib.h>

#include "app/command.h"
#include "app/commandline.h"
#include "base/address.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift state --of ADDRESS\n"
    "\n"
    "Prints the state dump of a running entry VM, as JSON. Exits with 3 if it does not respond.\n"
    "\n"
    "  -o, --of ADDRESS  operator address of the VM, for example 127.0.1.1:7101\n"
    "  -h, --help        print this text\n";

int run(const std::string &of)
{
    const auto address = parseAddress(of);
    if (!address) {
        std::fprintf(stderr, "mangoshift state: --of: %s\n", address.error().c_str());
        return ExitUsage;
    }
    httplib::Client client(address->ip, address->port);
    const auto result = client.Get("/state");
    if (!result || result->status != 200) {
        std::fprintf(stderr, "mangoshift state: cannot fetch the state dump from %s\n", of.c_str());
        return ExitFailure;
    }
    std::fputs(result->body.c_str(), stdout);
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
