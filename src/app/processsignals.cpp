#include "app/processsignals.h"

#include <csignal>
#include <utility>

namespace mangoshift {

ProcessSignals::ProcessSignals(std::function<void()> onReload)
    : m_stop(m_io, SIGTERM, SIGINT)
    , m_reload(m_io, SIGHUP)
    , m_onReload(std::move(onReload))
{
    // A peer that closes while it is written to shows in the write's error.
    std::signal(SIGPIPE, SIG_IGN);
}

void ProcessSignals::waitForStop()
{
    awaitReload();
    m_stop.async_wait([this](const asio::error_code &, int) { m_reload.cancel(); });
    m_io.run();
}

void ProcessSignals::awaitReload()
{
    m_reload.async_wait([this](const asio::error_code &error, int) {
        if (error)
            return;
        m_onReload();
        awaitReload();
    });
}

} // namespace mangoshift
