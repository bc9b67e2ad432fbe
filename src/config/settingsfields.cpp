#include "config/settingsfields.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace mangoshift {

Address readAddressField(const std::string &text, const std::string &path, Faults &faults)
{
    auto parsed = parseAddress(text);
    if (parsed)
        return std::move(*parsed);
    faults.push_back({path, parsed.error()});
    return {};
}

LogLimits readLogLimits(const nlohmann::json &json)
{
    LogLimits limits;
    limits.linesPerSecond = json.value("log_lines_per_s", limits.linesPerSecond);
    limits.bytesPerSecond = json.value("log_bytes_per_s", limits.bytesPerSecond);
    return limits;
}

LogLevel readLogLevel(const std::string &name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    return name == "error" ? LogLevel::Error : LogLevel::Info;
}

} // namespace mangoshift
