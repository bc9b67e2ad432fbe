#include "config/documentjson.h"

#include <algorithm>
#include <cctype>
#include <unordered_map>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/address.h"
#include "config/schema.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;

bool isPlainName(const std::string &name)
{
    return std::all_of(name.begin(), name.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
    });
}

/// Converts JSON that conforms to the schema into a `Document` and collects all semantic faults.
class DocumentReader
{
public:
    tl::expected<Document, Faults> read(const Json &json, ConfigVersion version)
    {
        m_document.version = version;
        m_document.baseVersion = json.value("base_version", ConfigVersion(0));
        m_document.allowMassRemoval = json.value("allow_mass_removal", false);
        readEach(json, "", "request_kinds", &DocumentReader::readKind);
        readEach(json, "", "targets", &DocumentReader::readTarget);
        readEach(json, "", "services", &DocumentReader::readService);
        if (!m_faults.empty())
            return tl::make_unexpected(std::move(m_faults));
        return std::move(m_document);
    }

private:
    using Reader = void (DocumentReader::*)(const Json &, const std::string &);

    void addFault(const std::string &path, std::string message)
    {
        m_faults.push_back({path, std::move(message)});
    }

    void readEach(const Json &json, const std::string &path, const char *key, Reader reader)
    {
        const std::string arrayPath = path + "/" + key + "/";
        std::size_t index = 0;
        for (const Json &item : json.at(key))
            (this->*reader)(item, arrayPath + std::to_string(index++));
    }

    /// Reads `name` and reports a fault if it is not safe to use in URL paths and log lines.
    std::string readName(const Json &json, const std::string &path)
    {
        auto name = json.at("name").get<std::string>();
        if (!isPlainName(name))
            addFault(path + "/name", "may contain only letters, digits, '.', '_' and '-'");
        return name;
    }

    /// Adds `name` to `seen`, or reports a fault if `seen` already contains it.
    template <typename Map>
    void checkUnique(Map &seen, const std::string &name, std::size_t index, const std::string &path)
    {
        if (!seen.emplace(name, index).second)
            addFault(path + "/name", "'" + name + "' is used twice");
    }

    void readKind(const Json &json, const std::string &path)
    {
        RequestKind kind;
        kind.name = readName(json, path);
        kind.priority = json.value("priority", std::uint8_t(0));
        kind.isIdempotent = json.value("idempotent", true);
        checkUnique(m_kinds, kind.name, m_document.kinds.size(), path);
        m_document.kinds.push_back(std::move(kind));
    }

    void readTarget(const Json &json, const std::string &path)
    {
        Target target;
        target.name = readName(json, path);
        target.address = json.at("address");
        target.failureDomain = json.at("failure_domain");
        target.slots = json.value("slots", std::uint32_t(1));
        target.connections = json.value("connections", std::uint32_t(1));
        if (const auto address = parseAddress(target.address); !address)
            addFault(path + "/address", address.error());
        if (target.slots > target.connections)
            addFault(path + "/slots", "must not exceed connections");
        checkUnique(m_targets, target.name, m_document.targets.size(), path);
        m_document.targets.push_back(std::move(target));
    }

    void readService(const Json &json, const std::string &path)
    {
        Service service;
        service.name = readName(json, path);
        const std::string kind = json.at("kind");
        if (const auto it = m_kinds.find(kind); it != m_kinds.end())
            service.kind = it->second;
        else
            addFault(path + "/kind", "'" + kind + "' is not among request_kinds");
        service.deadline = std::chrono::milliseconds(json.value("deadline_ms", 100));
        service.partialAnswers = json.value("partial_answers", true);
        checkUnique(m_services, service.name, m_document.services.size(), path);
        m_currentService = &service;
        readEach(json, path, "shards", &DocumentReader::readShard);
        m_document.services.push_back(std::move(service));
    }

    void readShard(const Json &json, const std::string &path)
    {
        Shard shard;
        shard.name = readName(json, path);
        shard.key = shardKey(m_currentService->name, shard.name);
        const std::string qualifiedName = m_currentService->name + "/" + shard.name;
        const auto [it, isNew] = m_shardNamesByKey.emplace(shard.key.value, qualifiedName);
        if (!isNew && it->second == qualifiedName)
            addFault(path + "/name", "'" + shard.name + "' is used twice");
        else if (!isNew)
            addFault(path + "/name",
                     "has the same key as '" + it->second + "'; one of the two needs another name");
        std::size_t index = 0;
        for (const Json &replica : json.at("replicas"))
            readReplica(replica, path + "/replicas/" + std::to_string(index++), shard);
        m_currentService->shards.push_back(std::move(shard));
    }

    void readReplica(const Json &json, const std::string &path, Shard &shard)
    {
        const auto name = json.get<std::string>();
        const auto it = m_targets.find(name);
        if (it == m_targets.end()) {
            addFault(path, "'" + name + "' is not among targets");
            return;
        }
        const auto &replicas = shard.replicas;
        if (std::find(replicas.begin(), replicas.end(), it->second) != replicas.end())
            addFault(path, "'" + name + "' is listed twice");
        shard.replicas.push_back(it->second);
    }

    using IndexByName = std::unordered_map<std::string, std::size_t>;

    Document m_document;
    Service *m_currentService = nullptr;
    IndexByName m_kinds;
    IndexByName m_targets;
    IndexByName m_services;
    std::unordered_map<std::uint64_t, std::string> m_shardNamesByKey;
    Faults m_faults;
};

} // namespace

tl::expected<Document, Faults> parseDocument(const std::string &text, ConfigVersion version)
{
    if (text.size() > MaxDocumentBytes)
        return tl::make_unexpected(
            Faults{{"", "is longer than " + std::to_string(MaxDocumentBytes) + " bytes"}});
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return tl::make_unexpected(Faults{{"", "must be a JSON object"}});
    Faults faults = documentSchema().check(json);
    if (!faults.empty())
        return tl::make_unexpected(std::move(faults));
    return DocumentReader().read(json, version);
}

} // namespace mangoshift
