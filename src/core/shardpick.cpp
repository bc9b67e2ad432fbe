#include "mangoshift/shardpick.h"

#include <algorithm>

#include <xxhash.h>

#include "mangoshift/placement.h"

namespace mangoshift {

const Shard *pickShard(const Service &service, std::string_view key)
{
    if (service.shards.size() == 1)
        return &service.shards.front();
    if (key.empty() || service.shards.empty())
        return nullptr;
    const ShardKey hash{XXH64(key.data(), key.size(), 0)};
    const auto weight = [&](const Shard &shard) { return rendezvousWeight(hash, shard.name); };
    return &*std::max_element(
        service.shards.begin(), service.shards.end(),
        [&](const Shard &a, const Shard &b) { return weight(a) < weight(b); });
}

} // namespace mangoshift
