#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include <unistd.h>

#include "app/command.h"
#include "app/commandline.h"
#include "app/files.h"
#include "app/replayreport.h"
#include "app/replayrun.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift replay --run FOLDER --trace FILE... [--json FILE]\n"
    "\n"
    "Replays traces against a running deployment. Prints the measures of each segment and whether\n"
    "each stated outcome is met. deploy/run.py starts a deployment and writes FOLDER.\n"
    "Exits with 0 if every outcome is met, with 1 if one is not or a trace is invalid.\n"
    "\n"
    "  -r, --run FOLDER   the folder of the running deployment, with run.json\n"
    "  -t, --trace FILE   a trace, in JSON lines; may be repeated\n"
    "  -j, --json FILE    also write the measures and outcomes to FILE\n"
    "  -h, --help         print this text\n";

struct Options
{
    std::string run;
    std::vector<std::string> traces;
    std::string json;
};

/// Reads a trace. If it is unreadable or invalid, prints the reasons and returns the exit status as
/// the error.
tl::expected<Trace, int> readTrace(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        std::fprintf(stderr, "mangoshift replay: %s\n", text.error().c_str());
        return tl::make_unexpected<int>(ExitFailure);
    }
    auto trace = parseTrace(*text);
    if (trace)
        return std::move(*trace);
    for (const Fault &fault : trace.error())
        std::fprintf(stderr, "%s:%s: %s\n", path.c_str(), fault.path.c_str(),
                     fault.message.c_str());
    return tl::make_unexpected<int>(ExitFault);
}

void showProgress(const Trace &trace, std::chrono::milliseconds elapsed)
{
    std::fprintf(stderr, "\r%s: %lld of %lld s ", trace.name.c_str(),
                 static_cast<long long>(elapsed.count() / 1000),
                 static_cast<long long>(trace.duration().count() / 1000));
}

/// Replays the trace in a file. On failure, prints the reason and returns the exit status as the
/// error.
tl::expected<TraceReport, int> replayFile(const std::string &path,
                                          const RunningDeployment &deployment)
{
    const auto trace = readTrace(path);
    if (!trace)
        return tl::make_unexpected(trace.error());
    if (trace->deployment != deployment.name) {
        std::fprintf(stderr, "%s: the trace is for deployment '%s' but '%s' is running\n",
                     path.c_str(), trace->deployment.c_str(), deployment.name.c_str());
        return tl::make_unexpected<int>(ExitFault);
    }
    const bool isTerminal = isatty(STDERR_FILENO) != 0;
    const auto result = replayTrace(*trace, deployment, [&](std::chrono::milliseconds elapsed) {
        if (isTerminal)
            showProgress(*trace, elapsed);
    });
    if (isTerminal)
        std::fputs("\r\033[K", stderr);
    if (!result) {
        std::fprintf(stderr, "%s: %s\n", path.c_str(), result.error().c_str());
        return tl::make_unexpected<int>(ExitFailure);
    }
    return makeReport(*trace, *result);
}

int run(const Options &options)
{
    const auto deployment = readRunningDeployment(options.run);
    if (!deployment) {
        std::fprintf(stderr, "mangoshift replay: %s\n", deployment.error().c_str());
        return ExitFailure;
    }
    nlohmann::ordered_json reports = nlohmann::ordered_json::array();
    bool areAllMet = true;
    for (const std::string &path : options.traces) {
        const auto report = replayFile(path, *deployment);
        if (!report)
            return report.error();
        std::fputs(reportText(*report).c_str(), stdout);
        std::fflush(stdout);
        reports.push_back(reportJson(*report));
        areAllMet = areAllMet && report->areOutcomesMet();
    }
    if (!options.json.empty() && !(std::ofstream(options.json) << reports.dump(1) << "\n")) {
        std::fprintf(stderr, "mangoshift replay: cannot write %s\n", options.json.c_str());
        return ExitFailure;
    }
    return areAllMet ? ExitOk : ExitFault;
}

} // namespace

int replayMain(int argc, char **argv)
{
    Options options;
    const auto addTrace = [&](const char *path) {
        options.traces.emplace_back(path);
        return true;
    };
    const auto operands = readCommandLine(argc, argv, Usage,
                                          {textOption("run", 'r', options.run),
                                           {"trace", 't', addTrace},
                                           textOption("json", 'j', options.json)});
    if (!operands)
        return operands.error();
    options.traces.insert(options.traces.end(), operands->begin(), operands->end());
    if (options.run.empty() || options.traces.empty())
        return usageError(Usage);
    return run(options);
}

} // namespace mangoshift
