#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace mangoshift {

/// The size of one record of a response body.
inline constexpr std::size_t ServerRecordBytes = 16;
/// The number of records in a response body.
inline constexpr std::size_t RecordsPerResponse = 4;

/// Returns the response body of a server of `service`. If `isPerRequest` is true, the body also
/// depends on `requestId`, so that a response to a different request can be detected.
std::string serverRecords(const std::string &service, const std::string &requestId,
                          bool isPerRequest);

} // namespace mangoshift
