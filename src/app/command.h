#pragma once

#include <string>
#include <vector>

namespace mangoshift {

/// Exit statuses of every subcommand.
enum ExitStatus : int {
    ExitOk = 0, ///< Done.
    ExitFault = 1, ///< The input, the answer or an outcome is at fault.
    ExitUsage = 2, ///< The command line is wrong.
    ExitFailure = 3, ///< Something outside failed: a file, an address, a connection.
    ExitMayHaveRun = 4, ///< Whether a submission ran is not known.
};

/// One subcommand of the binary; `main` is given the subcommand's name and what follows it.
struct Command
{
    const char *name;
    const char *summary;
    int (*main)(int argc, char **argv);
};

/// Returns every subcommand, in the order in which the help lists them.
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
