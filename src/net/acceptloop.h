#pragma once

#include <cstdint>
#include <functional>

#include <asio/basic_waitable_timer.hpp>
#include <asio/ip/tcp.hpp>

#include "mangoshift/acceptpause.h"
#include "mangoshift/clock.h"

namespace mangoshift {

/// Takes the connections of an acceptor one after another until the acceptor is
/// closed, and pauses after a failure. Must be used on the thread of the
/// acceptor's event loop.
class AcceptLoop
{
public:
    using OnAccepted = std::function<void(asio::ip::tcp::socket)>;

    /// The acceptor must outlive the loop.
    AcceptLoop(asio::ip::tcp::acceptor &acceptor, OnAccepted onAccepted);

    void start();
    /// Returns how often a connection could not be taken.
    std::uint64_t failures() const { return m_pause.failures(); }

private:
    void onFailed(const asio::error_code &error);

    asio::ip::tcp::acceptor &m_acceptor;
    OnAccepted m_onAccepted;
    AcceptPause m_pause;
    asio::basic_waitable_timer<Clock> m_timer;
};

} // namespace mangoshift
