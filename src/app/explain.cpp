#include <cstdio>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "app/command.h"
#include "app/commandline.h"
#include "app/explanation.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift explain [--format FORMAT] REQUEST_ID LOG...\n"
    "\n"
    "Explains from the logs of entry VMs how a request ended, and why. A LOG is a file with "
    "one\n"
    "VM's standard output; - reads standard input. Exits with 1 if no log names the request.\n"
    "\n"
    "  -f, --format FORMAT  text, or json for one object per line (default: text)\n"
    "  -h, --help           print this text\n";

int run(const std::string &request, const std::vector<std::string> &logs, bool isJson)
{
    RequestSearch search(request);
    for (const std::string &path : logs) {
        if (path == "-") {
            search.read("standard input", std::cin);
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            std::fprintf(stderr, "mangoshift explain: cannot open %s\n", path.c_str());
            return ExitFailure;
        }
        search.read(path, file);
    }
    const auto explanations = search.explanations();
    for (const Explanation &each : explanations)
        std::printf("%s\n", (isJson ? toJson(each) : toText(each)).c_str());
    if (!explanations.empty())
        return ExitOk;
    std::fprintf(
        stderr,
        "mangoshift explain: no log names request %s. Successful requests are only sampled, and"
        " the VMs dropped %llu log lines. The request may also have reached another VM, or none.\n",
        request.c_str(), static_cast<unsigned long long>(search.droppedLines()));
    return ExitFault;
}

} // namespace

int explainMain(int argc, char **argv)
{
    std::string format = "text";
    const auto operands = readCommandLine(argc, argv, Usage, {textOption("format", 'f', format)});
    if (!operands)
        return operands.error();
    if (operands->size() < 2 || (format != "text" && format != "json"))
        return usageError(Usage);
    return run(operands->front(), {operands->begin() + 1, operands->end()}, format == "json");
}

} // namespace mangoshift
