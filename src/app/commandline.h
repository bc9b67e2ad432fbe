#pragma once

#include <functional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace mangoshift {

/// An option of a subcommand.
struct CommandOption
{
    const char *name;
    char letter; ///< The short form of the option.
    /// Called with the argument each time the option is given. Returns false if the argument is
    /// invalid.
    std::function<bool(const char *argument)> setArgument;
    /// Whether the option requires an argument. If not, `setArgument` is called with a null
    /// pointer.
    bool hasArgument = true;
};

/// Returns an option that stores its argument in `text`, which must outlive the option. If the
/// option is repeated, the last argument is kept.
CommandOption textOption(const char *name, char letter, std::string &text);

/// Returns an option without an argument that sets `flag`, which must outlive the option.
CommandOption flagOption(const char *name, char letter, bool &flag);

/// Prints the usage text on standard error and returns `ExitUsage`.
int usageError(const char *usage);

/// Parses the command line of a subcommand, whose name is `argv[0]`. `--help` prints the usage
/// text. Returns the operands. The error is the exit status with which the subcommand must end,
/// after the help or the usage error has been printed.
tl::expected<std::vector<std::string>, int>
readCommandLine(int argc, char **argv, const char *usage,
                const std::vector<CommandOption> &options);

} // namespace mangoshift
