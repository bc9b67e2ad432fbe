#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace mangoshift {

/// The bytes of one record of an answer.
inline constexpr std::size_t ServerRecordBytes = 16;
/// How many records a server's answer holds.
inline constexpr std::size_t RecordsPerResponse = 4;

/// Returns the body that a server of `service` answers a request with. Where `isPerRequest` is set
/// it also follows from the request, so that an answer to another request shows.
std::string serverRecords(const std::string &service, const std::string &requestId,
                          bool isPerRequest);

} // namespace mangoshift
