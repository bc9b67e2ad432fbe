#include "base/logbudget.h"

#include <algorithm>

namespace mangoshift {

namespace {

constexpr std::chrono::seconds Period{1};

/// Returns the part of a limit that a line may use.
std::uint64_t shareOf(std::uint32_t limit, LogLevel level, LogTopic topic)
{
    const std::uint64_t whole = limit;
    if (level >= LogLevel::Warning || topic == LogTopic::Lifecycle)
        return 2 * whole;
    return topic == LogTopic::Request ? std::max<std::uint64_t>(whole * 3 / 4, 1) : whole;
}

/// Returns whether an event is the start, stop or reload of the VM, its readiness, or the loss or
/// return of the store.
bool isAboutLifecycle(std::string_view event)
{
    return event.starts_with("vm_") || event.starts_with("settings_") || event == "store_lost"
        || event == "store_regained";
}

/// Malformed requests and connections have no id, but a caller may cause any number of them.
bool isAboutCaller(std::string_view event)
{
    return event.starts_with("request_") || event.starts_with("caller_");
}

} // namespace

LogTopic topicOf(std::string_view event, bool namesRequest)
{
    if (namesRequest || isAboutCaller(event))
        return LogTopic::Request;
    return isAboutLifecycle(event) ? LogTopic::Lifecycle : LogTopic::Vm;
}

bool LogBudget::tryConsume(LogLevel level, LogTopic topic, std::size_t bytes, Clock::time_point now)
{
    if (now - m_secondStart >= Period) {
        m_secondStart = now;
        m_lines = 0;
        m_bytes = 0;
    }
    if (m_lines >= shareOf(m_limits.linesPerSecond, level, topic)
        || m_bytes + bytes > shareOf(m_limits.bytesPerSecond, level, topic))
        return false;
    ++m_lines;
    m_bytes += bytes;
    return true;
}

} // namespace mangoshift
