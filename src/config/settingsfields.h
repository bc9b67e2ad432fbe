#pragma once

#include <string>

#include "base/address.h"
#include "base/log.h"
#include "config/fault.h"

namespace mangoshift {

/// Reads an address; where it is none, adds a fault at `path` and returns an empty one.
Address readAddressField(const std::string &text, const std::string &path, Faults &faults);

/// Reads `debug`, `info`, `warning` or `error`, which the schema has checked.
LogLevel readLogLevel(const std::string &name);

} // namespace mangoshift
