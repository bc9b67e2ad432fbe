#include "config/documentparts.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace mangoshift {

namespace {

using Json = nlohmann::json;

constexpr const char *TargetsKey = "targets";
constexpr const char *ServicesKey = "services";
/// The average number of targets in a run: a run ends at a target if the hash of its name is a
/// multiple of this number.
constexpr std::uint64_t MeanRunLength = 16;
constexpr std::size_t MaxRunLength = 64;

ConfigPart makePart(const char *key, Json content)
{
    std::string text = Json{{key, std::move(content)}}.dump();
    return {partHash(text), std::move(text)};
}

bool isRunComplete(const Json &target, std::size_t size)
{
    const bool hasName = target.is_object() && target.contains("name");
    return size >= MaxRunLength
        || (hasName && partHash(target["name"].dump()) % MeanRunLength == 0);
}

void splitTargets(const Json &targets, std::vector<ConfigPart> &parts)
{
    Json run = Json::array();
    for (const Json &target : targets) {
        run.push_back(target);
        if (isRunComplete(target, run.size()))
            parts.push_back(makePart(TargetsKey, std::exchange(run, Json::array())));
    }
    if (!run.empty())
        parts.push_back(makePart(TargetsKey, std::move(run)));
}

} // namespace

std::optional<std::vector<ConfigPart>> splitDocument(const std::string &text)
{
    Json document = Json::parse(text, nullptr, false);
    if (!document.is_object())
        return {};
    const Json targets = document.value(TargetsKey, Json());
    const Json services = document.value(ServicesKey, Json());
    std::vector<ConfigPart> parts;
    if (!targets.is_array() || !services.is_array()) {
        parts.push_back(makePart("rest", std::move(document)));
        return parts;
    }
    // Both arrays stay in this part as empty arrays, so that joining the parts of a document
    // without targets or services restores them.
    document[TargetsKey] = Json::array();
    document[ServicesKey] = Json::array();
    parts.push_back(makePart("rest", std::move(document)));
    splitTargets(targets, parts);
    for (const Json &service : services)
        parts.push_back(makePart(ServicesKey, Json::array({service})));
    return parts;
}

std::optional<std::string> joinDocument(const std::vector<std::string> &parts)
{
    Json document;
    for (const std::string &text : parts) {
        Json part = Json::parse(text, nullptr, false);
        if (!part.is_object() || part.size() != 1)
            return {};
        if (part.contains("rest")) {
            document = std::move(part["rest"]);
            continue;
        }
        const std::string key = part.begin().key();
        if (!document.is_object() || !document[key].is_array() || !part[key].is_array())
            return {};
        for (Json &item : part[key])
            document[key].push_back(std::move(item));
    }
    if (!document.is_object())
        return {};
    return document.dump();
}

} // namespace mangoshift
