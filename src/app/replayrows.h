#pragma once

#include <map>
#include <set>
#include <string>

#include "app/replaymeasures.h"
#include "http/httpexchange.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// Checks that the rows of an answer agree with its coverage and its snapshot, and come from
/// replicas of their shards. A target is accepted as a replica of a shard if any document of the
/// replay lists it for that shard.
class RowChecker
{
public:
    /// Adds the services and replicas of a document. Must be called before an answer that depends
    /// on the document is checked.
    void addDocument(const Document &document);

    /// Returns the number of shards of a service in the newest document that has it, or 0.
    std::size_t shardCount(const std::string &service) const;
    /// Records in `sample` how a query of `service` ended, its coverage and its extra requests, and
    /// sets the flag of each check that fails. A document that has the service must have been
    /// added.
    void check(const std::string &service, const HttpResponse &response, Sample &sample) const;

private:
    std::map<std::string, std::size_t> m_shardCounts;
    /// Names of targets, by service and shard.
    std::map<std::string, std::map<std::string, std::set<std::string>>> m_replicas;
};

} // namespace mangoshift
