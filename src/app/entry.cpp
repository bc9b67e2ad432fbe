#include <memory>
#include <string>

#include "app/command.h"
#include "app/commandline.h"
#include "app/vmrun.h"
#include "entry/entrysettings.h"
#include "entry/entryvm.h"
#include "platform/platformadapter.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift entry --settings FILE\n"
    "\n"
    "Runs an entry VM on a platform with a store until SIGTERM or SIGINT, then stops gracefully.\n"
    "On SIGHUP, or when the settings file changes, it reloads the settings, applies changes to\n"
    "log_level, log_lines_per_s, log_bytes_per_s, stop_patience_ms, retry_budget, reply_margin_ms\n"
    "and seeds, and logs which other changes need a restart.\n"
    "\n"
    "  -s, --settings FILE  settings of the process, in JSON\n"
    "  -h, --help           print this text\n";

/// Applies the settings that need no restart.
void apply(EntryVm &vm, EntrySettings &inForce, const EntrySettings &updated)
{
    inForce.logLevel = updated.logLevel;
    inForce.logLimits = updated.logLimits;
    inForce.stopTimeout = updated.stopTimeout;
    inForce.retryBudget = updated.retryBudget;
    inForce.replyMargin = updated.replyMargin;
    inForce.seeds = updated.seeds;
    vm.apply(updated);
}

} // namespace

int entryMain(int argc, char **argv)
{
    std::string settings;
    const auto operands =
        readCommandLine(argc, argv, Usage, {textOption("settings", 's', settings)});
    if (!operands)
        return operands.error();
    if (settings.empty() || !operands->empty())
        return usageError(Usage);
    return runVm(
        "entry", settings, parseEntrySettings,
        [](const EntrySettings &each) {
            return std::make_unique<EntryVm>(each, platform::adapter());
        },
        apply);
}

} // namespace mangoshift
