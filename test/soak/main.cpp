// Randomized fault test. Runs the real programs as separate processes on one machine, injects
// random faults, and checks the records of callers and targets against the system's invariants.
//
//     soak [--seed N | --seeds FROM-TO | --regressions FILE] [--shape small|rozova|sundarban]
//          [--seconds S] [--calm] [--safety-only] [--keep FOLDER]
//
// The faults of a run depend only on its seed, its shape and its length. The exit status is 0 if
// all invariants held, 1 if one was violated, and 3 if a stand-in failed or the arguments are
// invalid. Logs and records of a run stay in a subfolder of FOLDER. Without --keep, a run that
// fails leaves them in a temporary folder, whose path is printed. `MANGOSHIFT_BIN_DIR` is the
// folder of the programs.

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <vector>

#include <getopt.h>

#include "soak/run.h"

namespace {

using namespace mangoshift::soak;

constexpr int FirstNetwork = 120;

struct Arguments
{
    RunOptions run;
    std::vector<std::uint64_t> seeds{1};
    std::string keepFolder;
};

/// Parses `N` or `FROM-TO`.
std::vector<std::uint64_t> parseSeedRange(const std::string &range)
{
    const std::size_t dash = range.find('-');
    const std::uint64_t from = std::stoull(range);
    const std::uint64_t to = dash == std::string::npos ? from : std::stoull(range.substr(dash + 1));
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t seed = from; seed <= to; ++seed)
        seeds.push_back(seed);
    return seeds;
}

/// Reads a seed from the start of each line; the rest of the line is a comment. Skips lines that
/// start with `#`.
std::vector<std::uint64_t> readSeedFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error(path + ": cannot read the file");
    std::vector<std::uint64_t> seeds;
    for (std::string line; std::getline(file, line);)
        if (!line.empty() && line.front() != '#')
            seeds.push_back(std::stoull(line));
    return seeds;
}

Arguments parseArguments(int argc, char **argv)
{
    static const option known[] = {{"seed", required_argument, nullptr, 's'},
                                   {"seeds", required_argument, nullptr, 's'},
                                   {"regressions", required_argument, nullptr, 'r'},
                                   {"shape", required_argument, nullptr, 'p'},
                                   {"seconds", required_argument, nullptr, 't'},
                                   {"calm", no_argument, nullptr, 'c'},
                                   {"safety-only", no_argument, nullptr, 'o'},
                                   {"keep", required_argument, nullptr, 'k'},
                                   {nullptr, 0, nullptr, 0}};
    Arguments arguments;
    arguments.run.shape = makeShape("small");
    const char *offset = std::getenv("MANGOSHIFT_NET_OFFSET");
    arguments.run.network = FirstNetwork + (offset == nullptr ? 0 : std::atoi(offset));
    for (int c = 0; (c = getopt_long(argc, argv, "", known, nullptr)) != -1;) {
        const std::string value = optarg == nullptr ? "" : optarg;
        switch (c) {
        case 's':
            arguments.seeds = parseSeedRange(value);
            break;
        case 'r':
            arguments.seeds = readSeedFile(value);
            break;
        case 'p':
            arguments.run.shape = makeShape(value);
            break;
        case 't':
            arguments.run.faultTime = std::chrono::seconds(std::stoi(value));
            break;
        case 'c':
            arguments.run.isFaultFree = true;
            break;
        case 'o':
            arguments.run.strictness = Strictness::Safety;
            break;
        case 'k':
            arguments.keepFolder = value;
            break;
        default:
            throw std::runtime_error("unknown option or missing value");
        }
    }
    return arguments;
}

std::string makeFolder(const Arguments &arguments, std::uint64_t seed)
{
    if (!arguments.keepFolder.empty()) {
        std::string folder = arguments.keepFolder + "/seed-" + std::to_string(seed);
        std::filesystem::remove_all(folder);
        std::filesystem::create_directories(folder);
        return folder;
    }
    std::string pattern = std::filesystem::temp_directory_path() / "mangoshift-soak-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    return pattern;
}

constexpr int ExitViolated = 1;
constexpr int ExitNotRun = 3;

void printResult(std::uint64_t seed, const RunResult &result)
{
    std::printf("seed %llu: %zu faults, %zu requests, %zu served (%zu partial), %zu refused, "
                "%zu failed, %.1f s of processor time, %zu MB peak memory, %zu violations\n",
                static_cast<unsigned long long>(seed), result.faults.size(), result.requests,
                result.served, result.partial, result.refused, result.failed, result.vmCpuSeconds,
                result.vmPeakKb / 1024, result.violations.size());
    for (const Violation &violation : result.violations)
        std::printf("  violated: %s: %s\n", violation.invariant.c_str(), violation.detail.c_str());
    std::fflush(stdout);
}

/// Runs one seed and returns the exit status for it.
int runSeed(const Arguments &arguments, std::uint64_t seed)
{
    RunOptions options = arguments.run;
    options.seed = seed;
    options.folder = makeFolder(arguments, seed);
    RunResult result;
    try {
        result = runSoak(options);
    } catch (const std::exception &error) {
        std::printf("seed %llu: not run: %s; logs in %s\n", static_cast<unsigned long long>(seed),
                    error.what(), options.folder.c_str());
        return ExitNotRun;
    }
    printResult(seed, result);
    if (!result.violations.empty())
        std::printf("  logs in %s\n", options.folder.c_str());
    else if (arguments.keepFolder.empty())
        std::filesystem::remove_all(options.folder);
    return result.violations.empty() ? 0 : ExitViolated;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        const Arguments arguments = parseArguments(argc, argv);
        int status = 0;
        for (const std::uint64_t seed : arguments.seeds)
            status = std::max(status, runSeed(arguments, seed));
        return status;
    } catch (const std::exception &error) {
        std::fprintf(stderr, "soak: %s\n", error.what());
        return ExitNotRun;
    }
}
