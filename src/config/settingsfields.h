#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

#include "base/address.h"
#include "base/log.h"
#include "config/fault.h"

namespace mangoshift {

/// Parses an address. If `text` is not an address, adds a fault at `path` and returns an empty
/// address.
Address readAddressField(const std::string &text, const std::string &path, Faults &faults);

/// Reads `log_lines_per_s` and `log_bytes_per_s`, which have been checked against the schema.
LogLimits readLogLimits(const nlohmann::json &json);

/// Converts `debug`, `info`, `warning` or `error`; the schema rejects other names beforehand.
LogLevel readLogLevel(const std::string &name);

} // namespace mangoshift
