#pragma once

#include <functional>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>

namespace mangoshift {

/// The signals by which operators steer a serving process. Make it before any thread starts.
class ProcessSignals
{
public:
    /// `onReload` is called on each SIGHUP, on the thread that waits for the stop.
    explicit ProcessSignals(std::function<void()> onReload);

    /// Returns once SIGTERM or SIGINT has come.
    void waitForStop();

private:
    void awaitReload();

    asio::io_context m_io;
    asio::signal_set m_stop;
    asio::signal_set m_reload;
    std::function<void()> m_onReload;
};

} // namespace mangoshift
