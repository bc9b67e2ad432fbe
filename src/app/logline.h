#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mangoshift {

/// A line of a VM's log, as `logEvent` writes it.
struct LogLine
{
    /// The timestamp as written. Timestamps of one VM sort chronologically as text.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;

    /// Returns the value of a field, or an empty string if the line has no such field.
    std::string value(const std::string &field) const;
};

/// Parses a log line. Any prefix before `time=`, such as one added by a log collector, is ignored.
/// Returns no value if the line is not an event.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace mangoshift
