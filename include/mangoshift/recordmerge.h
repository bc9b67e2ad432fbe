#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mangoshift {

/// The length of one record, in bytes.
constexpr std::size_t RecordBytes = 16;

/// Returns the greatest `count` records of all parts, greatest first, compared byte by byte. Equal
/// records all count; a remainder of a part that is shorter than a record is left out.
std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t count);

} // namespace mangoshift
