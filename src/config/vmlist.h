#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "config/fault.h"
#include "mangoshift/members.h"

namespace mangoshift {

/// Parses the platform's list of VMs from JSON text. Skips entries without a name or without a
/// valid peer address. Returns an error only if the text is not a JSON array.
tl::expected<std::vector<Member>, Fault> parseVmList(const std::string &text);

} // namespace mangoshift
