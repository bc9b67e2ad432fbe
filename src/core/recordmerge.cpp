#include "mangoshift/recordmerge.h"

#include <algorithm>
#include <functional>

namespace mangoshift {

std::string greatestRecords(const std::vector<std::string_view> &parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts)
        for (std::size_t offset = 0; offset + RecordBytes <= part.size(); offset += RecordBytes)
            records.push_back(part.substr(offset, RecordBytes));
    const std::size_t kept = std::min(count, records.size());
    // std::string_view compares its characters as unsigned bytes.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept),
                      records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * RecordBytes);
    for (std::size_t i = 0; i < kept; ++i)
        merged += records[i];
    return merged;
}

} // namespace mangoshift
