#include "config/settingsfields.h"

#include <utility>

namespace mangoshift {

Address readAddressField(const std::string &text, const std::string &path, Faults &faults)
{
    auto parsed = parseAddress(text);
    if (parsed)
        return std::move(*parsed);
    faults.push_back({path, parsed.error()});
    return {};
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
