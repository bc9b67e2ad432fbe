#include "app/processsignals.h"

#include <chrono>
#include <csignal>
#include <utility>

#include "app/files.h"

namespace mangoshift {

namespace {

/// How often the settings file is checked for changes. A changed setting must be in force
/// within seconds, and a check only reads about a kilobyte.
constexpr std::chrono::milliseconds FileCheckInterval{1000};

} // namespace

ProcessSignals::ProcessSignals(std::string settingsPath, std::function<void()> onReload)
    : m_path(std::move(settingsPath))
    , m_stopSignals(m_io, SIGTERM, SIGINT)
    , m_reloadSignals(m_io, SIGHUP)
    , m_fileTimer(m_io)
    , m_settingsText(readFile(m_path).value_or(""))
    , m_onReload(std::move(onReload))
{
    // With SIGPIPE ignored, writing to a connection that the peer has closed fails with an error
    // code instead of ending the process.
    std::signal(SIGPIPE, SIG_IGN);
}

void ProcessSignals::waitForStop()
{
    waitForReloadSignal();
    scheduleFileCheck();
    // Stops the loop itself: cancelling the other waits would miss a handler that is queued
    // already, which would then wait again.
    m_stopSignals.async_wait([this](const asio::error_code &, int) { m_io.stop(); });
    m_io.run();
}

void ProcessSignals::waitForReloadSignal()
{
    m_reloadSignals.async_wait([this](const asio::error_code &error, int) {
        if (error)
            return;
        reload();
        waitForReloadSignal();
    });
}

void ProcessSignals::scheduleFileCheck()
{
    m_fileTimer.expires_after(FileCheckInterval);
    m_fileTimer.async_wait([this](const asio::error_code &error) {
        if (error)
            return;
        // A file that cannot be read, for example while it is replaced, is checked again at the
        // next interval.
        const auto text = readFile(m_path);
        if (text && *text != m_settingsText)
            reload();
        scheduleFileCheck();
    });
}

void ProcessSignals::reload()
{
    m_settingsText = readFile(m_path).value_or(m_settingsText);
    m_onReload();
}

} // namespace mangoshift
