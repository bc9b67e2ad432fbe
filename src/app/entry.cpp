#include <string>

#include "app/command.h"
#include "app/commandline.h"
#include "app/processsignals.h"
#include "app/settingsfile.h"
#include "base/log.h"
#include "entry/entrynode.h"
#include "entry/entrysettings.h"
#include "platform/platformadapter.h"

namespace mangoshift {

namespace {

constexpr const char *Usage =
    "Usage: mangoshift entry --settings FILE\n"
    "\n"
    "Runs one entry VM on a platform with a store, until SIGTERM or SIGINT, then stops\n"
    "gracefully. On SIGHUP it reads the settings again and applies log_level.\n"
    "\n"
    "  -s, --settings FILE  the process's settings, in JSON\n"
    "  -h, --help           print this text\n";

void reload(const std::string &path)
{
    const auto settings = reloadSettings(path, parseEntrySettings);
    if (!settings)
        return;
    setLogLevel(settings->logLevel);
    logEvent(LogLevel::Info, "settings_reloaded", {{"vm", settings->vm}});
}

int run(const std::string &path)
{
    const auto settings = loadSettings("entry", path, parseEntrySettings);
    if (!settings)
        return settings.error();
    startLogging(settings->logLevel);
    ProcessSignals signals([&path] { reload(path); });
    EntryNode node(*settings, platform::adapter());
    if (!node.start()) {
        stopLogging();
        return ExitFailure;
    }
    signals.waitForStop();
    node.stop();
    logEvent(LogLevel::Info, "vm_stopped", {{"vm", settings->vm}});
    stopLogging();
    return ExitOk;
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
    return run(settings);
}

} // namespace mangoshift
