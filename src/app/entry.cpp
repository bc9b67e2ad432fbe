#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "app/command.h"
#include "app/commandline.h"
#include "app/files.h"
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

/// Reads the settings again on each SIGHUP and applies what can change in a running process.
class EntryReloader
{
public:
    EntryReloader(asio::io_context &io, std::string path)
        : m_signals(io, SIGHUP)
        , m_path(std::move(path))
    {
    }

    void start()
    {
        m_signals.async_wait([this](const asio::error_code &error, int) {
            if (error)
                return;
            reload();
            start();
        });
    }

    void stop() { m_signals.cancel(); }

private:
    void reload() const
    {
        const auto text = readFile(m_path);
        if (!text) {
            logEvent(LogLevel::Error, "settings_rejected", {{"why", text.error()}});
            return;
        }
        const auto settings = parseEntrySettings(*text);
        if (!settings) {
            for (const Fault &fault : settings.error())
                logEvent(LogLevel::Error, "settings_rejected",
                         {{"field", fault.path}, {"why", fault.message}});
            return;
        }
        setLogLevel(settings->logLevel);
        logEvent(LogLevel::Info, "settings_reloaded", {{"vm", settings->vm}});
    }

    asio::signal_set m_signals;
    std::string m_path;
};

int run(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        std::fprintf(stderr, "mangoshift entry: %s\n", text.error().c_str());
        return ExitFailure;
    }
    const auto settings = parseEntrySettings(*text);
    if (!settings) {
        for (const Fault &fault : settings.error())
            std::fprintf(stderr, "%s: %s: %s\n", path.c_str(), fault.path.c_str(),
                         fault.message.c_str());
        return ExitFault;
    }
    startLogging(settings->logLevel);
    asio::io_context io;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    EntryReloader reloader(io, path);
    std::signal(SIGPIPE, SIG_IGN);
    EntryNode node(*settings, platform::adapter());
    if (!node.start()) {
        stopLogging();
        return ExitFailure;
    }
    reloader.start();
    signals.async_wait([&reloader](const asio::error_code &, int) { reloader.stop(); });
    io.run();
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
