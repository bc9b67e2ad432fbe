#pragma once

#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace mangoshift {

/// An option of a subcommand, which has an argument.
struct CommandOption
{
    const char *name;
    char letter; ///< Its short form.
    /// Takes the argument, each time that the option is given. Returns false where it is wrong.
    std::function<bool(const char *argument)> setArgument;
};

/// Makes an option that stores its argument; the last one counts.
CommandOption textOption(const char *name, char letter, std::string &text);

/// Prints the usage as an error. Returns the exit status of a wrong command line.
int usageError(const char *usage);

/// Reads the options of a subcommand, `argv[0]` being its name, and `--help`, which prints the
/// usage. Returns the operands, or else the exit status with which the subcommand ends, all being
/// printed.
tl::expected<std::vector<std::string>, int>
readCommandLine(int argc, char **argv, const char *usage,
                const std::vector<CommandOption> &options);

} // namespace mangoshift
