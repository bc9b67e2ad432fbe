#include "app/replayrows.h"

#include <cstdint>
#include <optional>

#include <nlohmann/json.hpp>

namespace mangoshift {

namespace {

using Json = nlohmann::json;

constexpr int StatusOk = 200;

/// Returns a field, or null if there is no such field.
Json fieldOf(const Json &json, const char *key)
{
    return json.is_object() && json.contains(key) ? json[key] : Json();
}

/// Returns a string field, or an empty string if there is no such field.
std::string textOf(const Json &json, const char *key)
{
    const Json field = fieldOf(json, key);
    return field.is_string() ? field.get<std::string>() : std::string();
}

/// Returns a field that holds a count, or nothing if there is no such field.
std::optional<std::uint64_t> countOf(const Json &json, const char *key)
{
    const Json field = fieldOf(json, key);
    return field.is_number_unsigned() ? std::optional(field.get<std::uint64_t>()) : std::nullopt;
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
    const Json shardCounts = fieldOf(answer, "shards");
    const auto requested = countOf(shardCounts, "asked");
    const auto answered = countOf(shardCounts, "answered");
    const Json missing = fieldOf(answer, "missing");
    const Json complete = fieldOf(answer, "complete");
    const bool isWellFormed = requested && answered && missing.is_array() && complete.is_boolean()
        && answer["rows"].is_array();
    // An answer that does not say what it covers counts as one that covers nothing.
    sample.shardsRequested = requested.value_or(sample.shardsRequested);
    sample.shardsAnswered = answered.value_or(0);
    sample.extraRequests = countOf(answer, "extra_requests").value_or(0);
    if (!isWellFormed) {
        sample.misstatesCoverage = true;
        return;
    }
    const std::string requestId = textOf(answer, "request_id");
    const auto &replicas = m_replicas.at(service);
    std::set<std::string> shards;
    for (const Json &row : answer["rows"]) {
        const std::string shard = textOf(row, "shard");
        const auto shardReplicas = replicas.find(shard);
        if (!shards.insert(shard).second)
            sample.misstatesCoverage = true;
        if (fieldOf(row, "snapshot") != fieldOf(answer, "snapshot"))
            sample.mixesSnapshots = true;
        if (textOf(row, "request") != requestId || shardReplicas == replicas.end()
            || shardReplicas->second.count(textOf(row, "target")) == 0)
            sample.hasForeignRows = true;
    }
    const bool isComplete = sample.shardsAnswered == sample.shardsRequested;
    if (shards.size() != sample.shardsAnswered || complete.get<bool>() != isComplete
        || missing.size() + sample.shardsAnswered != sample.shardsRequested)
        sample.misstatesCoverage = true;
}

} // namespace mangoshift
