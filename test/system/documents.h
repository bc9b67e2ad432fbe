#pragma once

#include <algorithm>
#include <string>

#include <nlohmann/json.hpp>

namespace mangoshift::testing {

/// Returns the document without the target, which is also removed from the replicas of all shards.
inline nlohmann::json withoutTarget(nlohmann::json document, const std::string &target)
{
    using Json = nlohmann::json;
    const auto erase = [](Json &array, const auto &condition) {
        array.erase(std::remove_if(array.begin(), array.end(), condition), array.end());
    };
    for (Json &service : document["services"])
        for (Json &shard : service["shards"])
            erase(shard["replicas"],
                  [&](const Json &each) { return each.get<std::string>() == target; });
    erase(document["targets"],
          [&](const Json &each) { return each["name"].get<std::string>() == target; });
    return document;
}

} // namespace mangoshift::testing
