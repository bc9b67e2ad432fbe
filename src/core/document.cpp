#include "mangoshift/document.h"

#include <algorithm>
#include <utility>

#include <xxhash.h>

namespace mangoshift {

ShardKey shardKey(std::string_view service, std::string_view shard)
{
    const XXH64_hash_t seed = XXH64(service.data(), service.size(), 0);
    return ShardKey{XXH64(shard.data(), shard.size(), seed)};
}

const Service *Document::service(std::string_view name) const
{
    const auto it = std::find_if(services.begin(), services.end(),
                                 [&](const Service &each) { return each.name == name; });
    return it == services.end() ? nullptr : &*it;
}

IndexedDocument::IndexedDocument(Document document)
    : m_document(std::move(document))
{
    for (const Service &service : m_document.services)
        for (const Shard &shard : service.shards)
            m_byKey.emplace(shard.key.value, ShardRef{&service, &shard});
}

ShardRef IndexedDocument::find(ShardKey key) const
{
    const auto it = m_byKey.find(key.value);
    return it == m_byKey.end() ? ShardRef{} : it->second;
}

} // namespace mangoshift
