#include <memory>
#include <string>
#include <system_error>

#include "app/command.h"
#include "app/commandline.h"
#include "app/node.h"
#include "app/processsignals.h"
#include "app/settingsfile.h"

namespace mangoshift {

namespace {

constexpr const char *Usage = "Usage: mangoshift serve --settings FILE\n"
                              "\n"
                              "Runs one entry VM until SIGTERM or SIGINT, then stops gracefully.\n"
                              "On SIGHUP it reads the settings again, applies log_level and logs\n"
                              "which other changes need a restart.\n"
                              "\n"
                              "  -s, --settings FILE  the process's settings, in JSON\n"
                              "  -h, --help           print this text\n";

/// Applies what can change in a running process, and logs which other changes need a restart.
void reload(const std::string &path, Settings &inForce)
{
    const auto settings = reloadSettings(path, parseSettings);
    if (!settings)
        return;
    inForce.logLevel = settings->logLevel;
    setLogLevel(settings->logLevel);
    logEvent(LogLevel::Info, "settings_reloaded", {{"vm", inForce.vm}});
    for (const std::string &field : fieldsThatNeedRestart(inForce, *settings))
        logEvent(LogLevel::Warning, "settings_need_restart", {{"field", field}});
}

/// Returns a null pointer, having logged why, where the peer address cannot be listened on.
std::unique_ptr<Node> makeNode(const Settings &settings)
{
    try {
        return std::make_unique<Node>(settings);
    } catch (const std::system_error &error) {
        logEvent(LogLevel::Error, "listen_failed",
                 {{"field", "peer_address"}, {"why", error.code().message()}});
        return nullptr;
    }
}

int run(const std::string &path)
{
    const auto settings = loadSettings("serve", path, parseSettings);
    if (!settings)
        return settings.error();
    startLogging(settings->logLevel);
    Settings inForce = *settings;
    ProcessSignals signals([&path, &inForce] { reload(path, inForce); });
    const std::unique_ptr<Node> node = makeNode(*settings);
    if (!node || !node->start()) {
        stopLogging();
        return ExitFailure;
    }
    signals.waitForStop();
    node->stop();
    logEvent(LogLevel::Info, "vm_stopped", {{"vm", settings->vm}});
    stopLogging();
    return ExitOk;
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
    return run(settings);
}

} // namespace mangoshift
