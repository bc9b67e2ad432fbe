#pragma once

#include <string>
#include <vector>

namespace mangoshift {

/// Exit statuses of every subcommand.
enum ExitStatus : int {
    ExitOk = 0, ///< The command succeeded.
    /// Invalid input, an answer that is not complete, a submission that did not run, a request that
    /// is in no log, or an unmet outcome.
    ExitFault = 1,
    ExitUsage = 2, ///< The command line is invalid.
    ExitFailure = 3, ///< A file, an address or a connection failed.
    ExitMayHaveRun = 4, ///< A submission may or may not have run.
};

/// A subcommand of the program. `argv[0]` of its `main` is the name of the subcommand.
struct Command
{
    const char *name;
    const char *summary;
    int (*main)(int argc, char **argv);
};

/// Returns all subcommands, in the order in which the help lists them.
const std::vector<Command> &commands();

int entryMain(int argc, char **argv);
int serveMain(int argc, char **argv);
int checkMain(int argc, char **argv);
int queryMain(int argc, char **argv);
int submitMain(int argc, char **argv);
int stateMain(int argc, char **argv);
int explainMain(int argc, char **argv);
int replayMain(int argc, char **argv);

} // namespace mangoshift
