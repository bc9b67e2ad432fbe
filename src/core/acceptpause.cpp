#include "mangoshift/acceptpause.h"

#include <utility>

namespace mangoshift {

std::optional<std::uint64_t> AcceptPause::onFailed(Clock::time_point now)
{
    ++m_failures;
    if (m_loggedAt && now - *m_loggedAt < LogInterval)
        return std::nullopt;
    m_loggedAt = now;
    return m_failures - std::exchange(m_loggedFailures, m_failures);
}

} // namespace mangoshift
