#include "answers.h"

#include <set>

#include <nlohmann/json.hpp>

namespace mangoshift::testing {

using Json = nlohmann::json;

std::string findInconsistency(const std::string &body)
{
    const Json answer = Json::parse(body, nullptr, false);
    if (!answer.is_object() || !answer.contains("rows"))
        return "has no rows: " + body;
    std::set<std::string> shards;
    for (const Json &row : answer["rows"]) {
        if (row["snapshot"] != answer["snapshot"])
            return "mixes snapshots: " + body;
        if (row["request"] != answer["request_id"])
            return "contains a row of another request: " + body;
        if (!shards.insert(row["shard"]).second)
            return "has two rows of a shard: " + body;
    }
    for (const Json &each : answer["missing"])
        if (!shards.insert(each["shard"]).second)
            return "lists a shard as missing that has a row or is listed already: " + body;
    const std::size_t asked = answer["shards"]["asked"];
    const std::size_t answered = answer["shards"]["answered"];
    if (shards.size() != asked || answer["rows"].size() != answered)
        return "states numbers of shards that differ from its rows and missing shards: " + body;
    if (answer["complete"] != (answered == asked))
        return "has a wrong complete flag: " + body;
    return {};
}

bool isComplete(const std::string &body)
{
    const Json answer = Json::parse(body, nullptr, false);
    return answer.is_object() && answer.value("complete", false);
}

} // namespace mangoshift::testing
