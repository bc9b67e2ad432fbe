// Stands in for targets: one process serves the selected targets of a document, each on its own
// address, with slots, connection limits, connection cost, snapshots, slowdowns, drains, deadlines
// and cancellation. Each target keeps a record of what it ran, for tests. A control address, which
// real targets do not have, injects faults and returns the records.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <set>
#include <string>

#include <asio/io_context.hpp>
#include <getopt.h>

#include "app/files.h"
#include "config/documentjson.h"
#include "faketarget/controlport.h"
#include "faketarget/target.h"

namespace {

using namespace mangoshift;
using std::chrono::microseconds;

int usage()
{
    std::fputs("Usage: faketarget --document FILE --control ADDRESS [--domain NAME]\n"
               "                  [--target NAME] [--except NAME]... [--service-time-us N] "
               "[--connect-cost-us N]\n",
               stderr);
    return 2;
}

struct Options
{
    std::string document;
    std::string control;
    std::string domain;
    std::string target;
    std::set<std::string> excluded; ///< Targets that other processes stand in for.
    Behaviour behaviour;
};

int run(const Options &options)
{
    const auto text = readFile(options.document);
    const auto control = parseAddress(options.control);
    if (!text || !control)
        return usage();
    const auto document = parseDocument(*text, 1);
    if (!document) {
        std::fprintf(stderr, "faketarget: %s: %s\n", document.error().front().path.c_str(),
                     document.error().front().message.c_str());
        return 1;
    }
    asio::io_context io(1);
    ControlPort::Targets targets;
    for (const Target &target : document->targets) {
        if (!options.domain.empty() && target.failureDomain != options.domain)
            continue;
        if (!options.target.empty() && target.name != options.target)
            continue;
        if (options.excluded.count(target.name) != 0)
            continue;
        targets[target.name] = std::make_shared<FakeTarget>(io, target, options.behaviour);
        targets[target.name]->start();
    }
    ControlPort controlPort(io, *control, targets);
    controlPort.start();
    io.run();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    static const option longOptions[] = {{"document", required_argument, nullptr, 'f'},
                                         {"control", required_argument, nullptr, 'c'},
                                         {"domain", required_argument, nullptr, 'd'},
                                         {"target", required_argument, nullptr, 't'},
                                         {"except", required_argument, nullptr, 'x'},
                                         {"service-time-us", required_argument, nullptr, 's'},
                                         {"connect-cost-us", required_argument, nullptr, 'k'},
                                         {nullptr, 0, nullptr, 0}};
    Options options;
    for (int c = 0; (c = getopt_long(argc, argv, "", longOptions, nullptr)) != -1;) {
        switch (c) {
        case 'f':
            options.document = optarg;
            break;
        case 'c':
            options.control = optarg;
            break;
        case 'd':
            options.domain = optarg;
            break;
        case 't':
            options.target = optarg;
            break;
        case 'x':
            options.excluded.insert(optarg);
            break;
        case 's':
            options.behaviour.serviceTime = microseconds(std::strtol(optarg, nullptr, 10));
            break;
        case 'k':
            options.behaviour.connectCost = microseconds(std::strtol(optarg, nullptr, 10));
            break;
        default:
            return usage();
        }
    }
    return run(options);
}
