#pragma once

#include <functional>
#include <string>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Handles the signals to a running process and watches its settings file for changes. Must be
/// created before the VM, because it also makes the process ignore SIGPIPE.
class ProcessSignals
{
public:
    /// `onReload` is called on each SIGHUP and when the settings file has changed. The calls are
    /// made by `waitForStop`, on its thread.
    ProcessSignals(std::string settingsPath, std::function<void()> onReload);

    /// Handles signals and file changes until SIGTERM or SIGINT arrives.
    void waitForStop();

private:
    void waitForReloadSignal();
    void scheduleFileCheck();
    void reload();

    std::string m_path;
    asio::io_context m_io;
    asio::signal_set m_stopSignals;
    asio::signal_set m_reloadSignals;
    asio::basic_waitable_timer<Clock> m_fileTimer;
    /// The contents of the settings file when it was last read.
    std::string m_settingsText;
    std::function<void()> m_onReload;
};

} // namespace mangoshift
