#include <memory>
#include <string>

#include "app/command.h"
#include "app/commandline.h"
#include "app/noderun.h"
#include "entry/entrysettings.h"
#include "entry/entryvm.h"
#include "platform/platformadapter.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift entry --settings FILE\n"
    "\n"
    "Runs one entry VM on a platform with a store, until SIGTERM or SIGINT, then stops\n"
    "gracefully. On SIGHUP, and where the file has changed, it reads the settings again, applies\n"
    "log_level, stop_patience_ms, retry_budget, reply_margin_ms and seeds, and logs which other\n"
    "changes need a restart.\n"
    "\n"
    "  -s, --settings FILE  the process's settings, in JSON\n"
    "  -h, --help           print this text\n";

void apply(EntryVm &node, EntrySettings &inForce, const EntrySettings &wanted)
{
    inForce.logLevel = wanted.logLevel;
    inForce.stopTimeout = wanted.stopTimeout;
    inForce.retryBudget = wanted.retryBudget;
    inForce.replyMargin = wanted.replyMargin;
    inForce.seeds = wanted.seeds;
    node.apply(wanted);
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
    return runNode(
        "entry", settings, parseEntrySettings,
        [](const EntrySettings &each) {
            return std::make_unique<EntryVm>(each, platform::adapter());
        },
        apply);
}

} // namespace mangoshift
