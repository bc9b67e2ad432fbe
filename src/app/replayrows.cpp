#include "app/replayrows.h"

#include <nlohmann/json.hpp>

namespace mangoshift {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;

/// Returns a string field, or an empty string if there is no such field.
std::string textOf(const Json &json, const char *key)
{
    return json.is_object() && json.contains(key) && json[key].is_string()
        ? json[key].get<std::string>()
        : std::string();
}

} // namespace

void RowChecker::addDocument(const Document &document)
{
    for (const Service &service : document.services) {
        m_shardCounts[service.name] = service.shards.size();
        auto &shards = m_replicas[service.name];
        for (const Shard &shard : service.shards)
            for (const std::size_t replica : shard.replicas)
                shards[shard.name].insert(document.targets[replica].name);
    }
}

std::size_t RowChecker::shardCount(const std::string &service) const
{
    const auto it = m_shardCounts.find(service);
    return it == m_shardCounts.end() ? 0 : it->second;
}

void RowChecker::check(const std::string &service, const HttpResponse &response,
                       Sample &sample) const
{
    sample.shardsRequested = shardCount(service);
    const Json answer = Json::parse(response.body, nullptr, false);
    if (response.status != StatusOk || !answer.is_object() || !answer.contains("rows")) {
        const bool isNotRun = textOf(answer, "execution") == "not_run";
        sample.end = isNotRun ? SampleEnd::Refused : SampleEnd::Failed;
        return;
    }
    sample.end = SampleEnd::Answered;
    sample.shardsRequested = answer["shards"].value("asked", std::uint64_t(0));
    sample.shardsAnswered = answer["shards"].value("answered", std::uint64_t(0));
    sample.extraRequests = answer.value("extra_requests", std::uint64_t(0));
    const std::string requestId = textOf(answer, "request_id");
    const auto &replicas = m_replicas.at(service);
    std::set<std::string> shards;
    for (const Json &row : answer["rows"]) {
        const std::string shard = textOf(row, "shard");
        const auto shardReplicas = replicas.find(shard);
        if (!shards.insert(shard).second)
            sample.misstatesCoverage = true;
        if (row.value("snapshot", Json()) != answer["snapshot"])
            sample.mixesSnapshots = true;
        if (textOf(row, "request") != requestId || shardReplicas == replicas.end()
            || shardReplicas->second.count(textOf(row, "target")) == 0)
            sample.hasForeignRows = true;
    }
    const bool isComplete = sample.shardsAnswered == sample.shardsRequested;
    if (shards.size() != sample.shardsAnswered || answer.value("complete", false) != isComplete
        || answer["missing"].size() != sample.shardsRequested - sample.shardsAnswered)
        sample.misstatesCoverage = true;
}

} // namespace mangoshift
