#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <system_error>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "app/command.h"
#include "app/commandline.h"
#include "app/files.h"
#include "app/node.h"

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

/// Reads the settings again on each SIGHUP and applies what can change in a running process.
class Reloader
{
public:
    Reloader(asio::io_context &io, std::string path, const Settings &inForce)
        : m_signals(io, SIGHUP)
        , m_path(std::move(path))
        , m_inForce(inForce)
    {
    }

    void start()
    {
        m_signals.async_wait([this](asio::error_code error, int) {
            if (error)
                return;
            reload();
            start();
        });
    }

    void stop() { m_signals.cancel(); }

private:
    void reload()
    {
        const auto text = readFile(m_path);
        if (!text) {
            logEvent(LogLevel::Error, "settings_rejected", {{"why", text.error()}});
            return;
        }
        const auto settings = parseSettings(*text);
        if (!settings) {
            for (const Fault &fault : settings.error())
                logEvent(LogLevel::Error, "settings_rejected",
                         {{"field", fault.path}, {"why", fault.message}});
            return;
        }
        m_inForce.logLevel = settings->logLevel;
        setLogLevel(settings->logLevel);
        logEvent(LogLevel::Info, "settings_reloaded", {{"vm", m_inForce.vm}});
        for (const std::string &field : fieldsThatNeedRestart(m_inForce, *settings))
            logEvent(LogLevel::Warning, "settings_need_restart", {{"field", field}});
    }

    asio::signal_set m_signals;
    std::string m_path;
    Settings m_inForce;
};

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
    const auto text = readFile(path);
    if (!text) {
        std::fprintf(stderr, "mangoshift serve: %s\n", text.error().c_str());
        return ExitFailure;
    }
    const auto settings = parseSettings(*text);
    if (!settings) {
        for (const Fault &fault : settings.error())
            std::fprintf(stderr, "%s: %s: %s\n", path.c_str(), fault.path.c_str(),
                         fault.message.c_str());
        return ExitFault;
    }
    startLogging(settings->logLevel);
    asio::io_context io;
    asio::signal_set signals(io, SIGTERM, SIGINT);
    Reloader reloader(io, path, *settings);
    std::signal(SIGPIPE, SIG_IGN);
    const std::unique_ptr<Node> node = makeNode(*settings);
    if (!node || !node->start()) {
        stopLogging();
        return ExitFailure;
    }
    reloader.start();
    signals.async_wait([&](asio::error_code, int) { reloader.stop(); });
    io.run();
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
