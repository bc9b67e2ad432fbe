#pragma once

#include <functional>
#include <string>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "mangoshift/clock.h"

namespace mangoshift {

/// What operators steer a serving process by: signals, and the file with its settings. Make it
/// before any thread starts.
class ProcessSignals
{
public:
    /// `onReload` is called on each SIGHUP, and where the settings file has changed without one, on
    /// the thread that waits for the stop.
    ProcessSignals(std::string settingsPath, std::function<void()> onReload);

    /// Returns once SIGTERM or SIGINT has come.
    void waitForStop();

private:
    void waitForReloadSignal();
    void scheduleFileCheck();
    void reload();

    std::string m_path;
    asio::io_context m_io;
    asio::signal_set m_stop;
    asio::signal_set m_reload;
    asio::basic_waitable_timer<Clock> m_fileTimer;
    /// What the settings file held when it was last read.
    std::string m_settingsText;
    std::function<void()> m_onReload;
};

} // namespace mangoshift
