#include "fakeservers/records.h"

#include <xxhash.h>

namespace mangoshift {

std::string serverRecords(const std::string &service, const std::string &requestId, bool isById)
{
    std::string body;
    for (std::size_t i = 0; i < RecordsEach; ++i) {
        std::string record = std::to_string(i) + service;
        if (isById) {
            const std::string seed = record + requestId;
            const std::uint64_t hash = XXH64(seed.data(), seed.size(), 0);
            record.assign(reinterpret_cast<const char *>(&hash), sizeof hash);
            record += service;
        }
        record.resize(RecordLength, '.');
        body += record;
    }
    return body;
}

} // namespace mangoshift
