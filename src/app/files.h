#pragma once

#include <string>

#include <tl/expected.hpp>

namespace mangoshift {

/// Returns the contents of a file. The error names the file and the reason it cannot be read.
tl::expected<std::string, std::string> readFile(const std::string &path);

} // namespace mangoshift
