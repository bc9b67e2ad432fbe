#pragma once

#include <map>
#include <set>
#include <string>

#include "app/replaymeasures.h"
#include "http/httpexchange.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// Checks the rows of answers against the replicas of each shard. A target that is a replica in any
/// document of the trace counts as one.
class RowChecker
{
public:
    /// Adds the services and replicas of a document that is about to be published.
    void addDocument(const Document &document);

    /// Returns the number of shards of a service in the newest document that has it, or 0.
    std::size_t shardCount(const std::string &service) const;
    /// Sets the members of `sample` that follow from a response to a query of `service`.
    void check(const std::string &service, const HttpResponse &response, Sample &sample) const;

private:
    std::map<std::string, std::size_t> m_shardCounts;
    std::map<std::string, std::map<std::string, std::set<std::string>>> m_replicas;
};

} // namespace mangoshift
