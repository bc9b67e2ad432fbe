#include "net/acceptloop.h"

#include <string>
#include <utility>

#include "base/atexit.h"
#include "base/log.h"

namespace mangoshift {

AcceptLoop::AcceptLoop(asio::ip::tcp::acceptor &acceptor, OnAccepted onAccepted)
    : m_acceptor(acceptor)
    , m_onAccepted(std::move(onAccepted))
    , m_timer(acceptor.get_executor())
{
}

void AcceptLoop::start()
{
    m_acceptor.async_accept([this](const asio::error_code &error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (error) {
            onFailed(error);
            return;
        }
        const AtExit next([this] {
            if (m_acceptor.is_open())
                start();
        });
        m_onAccepted(std::move(socket));
    });
}

void AcceptLoop::onFailed(const asio::error_code &error)
{
    if (const auto failures = m_pause.onFailed(Clock::now())) {
        asio::error_code ignored;
        const auto endpoint = m_acceptor.local_endpoint(ignored);
        logEvent(
            LogLevel::Warning, "accept_failed",
            {{"address", endpoint.address().to_string() + ":" + std::to_string(endpoint.port())},
             {"why", error.message()},
             {"failures", std::to_string(*failures)}});
    }
    m_timer.expires_after(AcceptPause::Pause);
    m_timer.async_wait([this](const asio::error_code &cancelled) {
        if (!cancelled && m_acceptor.is_open())
            start();
    });
}

} // namespace mangoshift
