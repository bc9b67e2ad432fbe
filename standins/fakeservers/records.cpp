#include "fakeservers/records.h"

#include <xxhash.h>

namespace mangoshift {

std::string serverRecords(const std::string &service, const std::string &requestId,
                          bool isPerRequest)
{
    std::string body;
    for (std::size_t i = 0; i < RecordsPerResponse; ++i) {
        std::string record = std::to_string(i) + service;
        if (isPerRequest) {
            const std::string seed = record + requestId;
            const std::uint64_t hash = XXH64(seed.data(), seed.size(), 0);
            record.assign(reinterpret_cast<const char *>(&hash), sizeof hash);
            record += service;
        }
        record.resize(ServerRecordBytes, '.');
        body += record;
    }
    return body;
}

} // namespace mangoshift
