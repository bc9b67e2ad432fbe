#include "mangoshift/retiredshards.h"

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

namespace mangoshift {

DocumentPtr RetiredShards::onDocument(DocumentPtr document, Clock::time_point now)
{
    std::erase_if(m_retired, [&](const Retired &each) {
        return document->find(shardKey(each.service, each.shard)).shard != nullptr;
    });
    if (m_inForce)
        retire(m_inForce->document(), *document, now + GracePeriod);
    m_inForce = std::move(document);
    return onTimer(now);
}

DocumentPtr RetiredShards::onTimer(Clock::time_point now)
{
    std::erase_if(m_retired, [&](const Retired &each) { return each.expiresAt <= now; });
    return m_retired.empty() ? m_inForce : combinedDocument();
}

std::optional<Clock::time_point> RetiredShards::nextExpiry() const
{
    return m_retired.empty() ? std::nullopt : std::optional(m_retired.front().expiresAt);
}

void RetiredShards::retire(const Document &previous, const IndexedDocument &next,
                           Clock::time_point expiresAt)
{
    for (const Service &service : previous.services) {
        for (const Shard &shard : service.shards) {
            if (next.find(shard.key).shard != nullptr)
                continue;
            Retired retired{service.name, shard.name, {}, expiresAt};
            for (const std::size_t index : shard.replicas)
                retired.replicas.emplace_back(previous.targets[index].name,
                                              previous.targets[index].address);
            m_retired.push_back(std::move(retired));
        }
    }
}

DocumentPtr RetiredShards::combinedDocument() const
{
    Document document = m_inForce->document();
    std::map<std::pair<std::string, std::string>, std::size_t> targets;
    for (std::size_t i = 0; i < document.targets.size(); ++i)
        targets.emplace(std::pair(document.targets[i].name, document.targets[i].address), i);
    for (const Retired &retired : m_retired) {
        const auto service =
            std::find_if(document.services.begin(), document.services.end(),
                         [&](const Service &each) { return each.name == retired.service; });
        Shard shard{retired.shard, shardKey(retired.service, retired.shard), {}};
        for (const auto &replica : retired.replicas)
            if (const auto target = targets.find(replica); target != targets.end())
                shard.replicas.push_back(target->second);
        if (service != document.services.end() && !shard.replicas.empty())
            service->shards.push_back(std::move(shard));
    }
    return std::make_shared<const IndexedDocument>(std::move(document));
}

} // namespace mangoshift
