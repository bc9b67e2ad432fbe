#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace mangoshift {

/// One line of a VM's log, as `logEvent` writes it.
struct LogLine
{
    /// As it stands in the line; lines of one VM order by it as text.
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;

    /// Returns a field's value, empty where the line has no such field.
    std::string value(const std::string &field) const;
};

/// Reads a line. What stands before `time=`, as a collector of logs may put there, is passed over.
/// Returns no value where the line is no event.
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace mangoshift
