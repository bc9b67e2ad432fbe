#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace mangoshift {

/// The size of a record, in bytes.
constexpr std::size_t RecordBytes = 16;

/// Returns the greatest `count` records of all parts in descending order, compared as unsigned
/// bytes. Duplicates are kept; an incomplete record at the end of a part is ignored.
std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t count);

} // namespace mangoshift
