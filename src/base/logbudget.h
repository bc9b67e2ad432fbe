#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "mangoshift/clock.h"

namespace mangoshift {

enum class LogLevel { Debug, Info, Warning, Error };

/// What a log line is about: one request or one caller's connection, what the VM believes and does,
/// or a state of the VM as a whole, such as its start and stop. Each explains the ones before it,
/// and must not be crowded out by them.
enum class LogTopic : std::uint8_t { Request, Vm, Lifecycle };

/// Returns what a line with this event is about. A line that names a request is about this request.
LogTopic topicOf(std::string_view event, bool namesRequest);

/// Limits on the volume of log output.
struct LogLimits
{
    std::uint32_t linesPerSecond = 200;
    std::uint32_t bytesPerSecond = 128U << 10U;

    bool operator==(const LogLimits &) const = default;
};

/// Decides which log lines are written, so that a log never exceeds its limits.
///
/// Lines about requests may use three quarters of the limits, lines about the VM all of them, and
/// lines about its lifecycle, warnings and errors twice as much. Rejected lines do not count. Reads
/// no clock. Not thread safe.
class LogBudget
{
public:
    explicit LogBudget(LogLimits limits)
        : m_limits(limits)
    {
    }

    void setLimits(LogLimits limits) { m_limits = limits; }
    /// Returns whether a line of that many bytes may be written, and charges it if so.
    bool tryConsume(LogLevel level, LogTopic topic, std::size_t bytes, Clock::time_point now);

private:
    LogLimits m_limits;
    Clock::time_point m_secondStart{};
    std::uint64_t m_lines = 0;
    std::uint64_t m_bytes = 0;
};

} // namespace mangoshift
