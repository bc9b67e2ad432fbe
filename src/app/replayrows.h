#pragma once

#include <map>
#include <set>
#include <string>

#include "app/replaymeasures.h"
#include "http/httpexchange.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// What answers are checked against: which targets hold each shard in any document of a trace.
class RowChecker
{
public:
    void addDocument(const Document &document);

    /// Returns how many shards a service has in the newest document.
    std::size_t shardCount(const std::string &service) const;
    /// Fills in what a response says, and where its rows contradict it.
    void check(const std::string &service, const HttpResponse &response, Sample &sample) const;

private:
    std::map<std::string, std::size_t> m_shardCounts;
    std::map<std::string, std::map<std::string, std::set<std::string>>> m_replicas;
};

} // namespace mangoshift
