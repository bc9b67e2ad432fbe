#include <memory>
#include <string>

#include "app/command.h"
#include "app/commandline.h"
#include "app/servevm.h"
#include "app/vmrun.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift serve --settings FILE\n"
    "\n"
    "Runs an entry VM until SIGTERM or SIGINT, then stops gracefully.\n"
    "On SIGHUP, or when the settings file changes, it reloads the settings,\n"
    "applies log_level, log_lines_per_s and log_bytes_per_s, and logs which other\n"
    "changes need a restart.\n"
    "\n"
    "  -s, --settings FILE  settings of the process, in JSON\n"
    "  -h, --help           print this text\n";

/// Records the settings that need no restart; `runVm` has already applied those of the log.
void apply(ServeVm & /*vm*/, Settings &inForce, const Settings &updated)
{
    inForce.logLevel = updated.logLevel;
    inForce.logLimits = updated.logLimits;
}

} // namespace

int serveMain(int argc, char **argv)
{
    std::string settings;
    const auto operands =
        readCommandLine(argc, argv, Usage, {textOption("settings", 's', settings)});
    if (!operands)
        return operands.error();
    if (settings.empty() || !operands->empty())
        return usageError(Usage);
    return runVm(
        "serve", settings, parseSettings,
        [](const Settings &each) { return std::make_unique<ServeVm>(each); }, apply);
}

} // namespace mangoshift
