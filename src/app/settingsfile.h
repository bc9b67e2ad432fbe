#pragma once

#include <cstdio>
#include <string>
#include <utility>

#include <tl/expected.hpp>

#include "app/command.h"
#include "app/files.h"
#include "base/log.h"
#include "config/fault.h"

namespace mangoshift {

/// Reads the file at `path` and parses the settings in it with `parse`. If the file is unreadable
/// or the settings are invalid, prints the reasons on standard error and returns the exit status as
/// the error. `command` is the name of the subcommand.
template <typename Parse>
auto loadSettings(const char *command, const std::string &path, Parse parse)
    -> tl::expected<typename decltype(parse(path))::value_type, int>
{
    const auto text = readFile(path);
    if (!text) {
        std::fprintf(stderr, "mangoshift %s: %s\n", command, text.error().c_str());
        return tl::make_unexpected(static_cast<int>(ExitFailure));
    }
    auto settings = parse(*text);
    if (settings)
        return std::move(*settings);
    for (const Fault &fault : settings.error())
        std::fprintf(stderr, "%s: %s: %s\n", path.c_str(), fault.path.c_str(),
                     fault.message.c_str());
    return tl::make_unexpected(static_cast<int>(ExitFault));
}

/// Reloads the settings of a running process. If they are unreadable or invalid, logs the reasons
/// and returns them as the error.
template <typename Parse>
auto reloadSettings(const std::string &path, Parse parse)
    -> tl::expected<typename decltype(parse(path))::value_type, Faults>
{
    const auto text = readFile(path);
    auto settings = text ? parse(*text) : tl::make_unexpected(Faults{{"", text.error()}});
    if (!settings)
        for (const Fault &fault : settings.error())
            logEvent(LogLevel::Error, "settings_rejected",
                     {{"field", fault.path}, {"why", fault.message}});
    return settings;
}

} // namespace mangoshift
