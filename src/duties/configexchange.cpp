#include "duties/configexchange.h"

#include <iterator>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/duty.h"
#include "base/log.h"
#include "config/documentjson.h"
#include "config/documentparts.h"

namespace mangoshift {

ConfigExchange::ConfigExchange(ConfigSinks sinks, Metrics &metrics)
    : m_sinks(std::move(sinks))
    , m_metrics(metrics)
{
}

void ConfigExchange::onVersionReceived(const VmId &vm, ConfigVersion version, bool mayFetch)
{
    perform(m_store.onPeerHeartbeat(vm, version, mayFetch, Clock::now()));
}

void ConfigExchange::onPull(LinkId link, const wire::ConfigPullT &pull)
{
    ConfigPullReply pullReply = m_store.pullReply(pull.version, pull.hashes);
    wire::ConfigReplyT reply;
    reply.version = pullReply.version;
    reply.part_hashes = std::move(pullReply.partHashes);
    for (ConfigPart &part : pullReply.parts) {
        auto wirePart = std::make_unique<wire::ConfigPartT>();
        wirePart->hash = part.hash;
        wirePart->text = std::move(part.text);
        reply.parts.push_back(std::move(wirePart));
    }
    m_sinks.sendOnLink(link, makeFrame(std::move(reply)));
}

void ConfigExchange::onReply(wire::ConfigReplyT &reply)
{
    ConfigPullReply pullReply;
    pullReply.version = reply.version;
    pullReply.partHashes = std::move(reply.part_hashes);
    for (const auto &part : reply.parts)
        if (part)
            pullReply.parts.push_back({part->hash, std::move(part->text)});
    perform(m_store.onPullReply(pullReply, Clock::now()));
}

void ConfigExchange::onPlatformDocument(const PlatformDocument &message)
{
    if (message.version <= m_store.newestCheckedVersion())
        return;
    auto parts = splitDocument(message.text);
    if (!parts)
        parts = {{partHash(message.text), message.text}};
    perform(m_store.onPlatformDocument(message.version, std::move(*parts), Clock::now()));
}

void ConfigExchange::onTick()
{
    perform(m_store.onTick(Clock::now()));
}

void ConfigExchange::perform(ConfigActions actions)
{
    for (ConfigAction &action : actions)
        std::visit(
            Overloaded{
                [this](PullConfig &each) { pull(each); },
                [this](CheckDocument &each) { check(each); },
                [this](PutInForce &each) { putInForce(each.version); },
                [this](AnnounceConfig &each) { m_sinks.announce(each.vm, m_store.heldVersion()); },
            },
            action);
}

void ConfigExchange::pull(PullConfig &action)
{
    wire::ConfigPullT frame;
    frame.version = action.version;
    frame.hashes = std::move(action.hashes);
    m_sinks.sendToVm(action.vm, makeFrame(std::move(frame)));
}

void ConfigExchange::check(const CheckDocument &action)
{
    const auto text = joinDocument(action.parts);
    if (!text) {
        reject(action.version, {"", "must be a JSON object"});
        return;
    }
    auto document = parseDocument(*text, action.version);
    if (!document) {
        reject(action.version, document.error().front());
        return;
    }
    if (m_document && !document->allowMassRemoval
        && removesMostTargets(m_document->document(), *document)) {
        reject(action.version,
               {"/targets",
                "lacks more than half of the targets in force; set "
                "allow_mass_removal to true if that is meant"});
        return;
    }
    m_checkedDocuments[action.version] = std::move(*document);
    perform(m_store.onDocumentChecked(action.version, true, m_sinks.hasPeers(), Clock::now()));
}

void ConfigExchange::putInForce(ConfigVersion version)
{
    const auto it = m_checkedDocuments.find(version);
    if (it == m_checkedDocuments.end())
        return;
    Document document = std::move(it->second);
    m_checkedDocuments.erase(m_checkedDocuments.begin(), std::next(it));
    if (m_document && hasStaleBase(m_document->document(), document)) {
        m_lastEditedFromOlder = version;
        m_metrics.documentsFromStaleBase.Increment();
        logEvent(LogLevel::Warning, "config_edited_from_older",
                 {{"config_version", std::to_string(version)},
                  {"base_version", std::to_string(document.baseVersion)},
                  {"replaced_version", std::to_string(m_document->document().version)}});
    }
    m_document = std::make_shared<const IndexedDocument>(std::move(document));
    m_metrics.configVersion.Set(static_cast<double>(version));
    logEvent(LogLevel::Info, "config_in_force", {{"config_version", std::to_string(version)}});
    m_sinks.onInForce(m_document);
}

void ConfigExchange::reject(ConfigVersion version, const Fault &fault)
{
    m_store.onDocumentChecked(version, false, true, Clock::now());
    m_metrics.documentsRejected.Increment();
    m_lastRejection = {version, fault};
    logEvent(LogLevel::Error, "document_rejected",
             {{"config_version", std::to_string(version)},
              {"field", fault.path},
              {"why", fault.message}});
}

nlohmann::json ConfigExchange::stateJson() const
{
    return {{"version", m_store.version()},
            {"held", m_store.heldVersion()},
            {"newest_heard", m_store.newestKnownVersion()},
            {"last_rejected",
             {{"version", m_lastRejection.version},
              {"field", m_lastRejection.fault.path},
              {"why", m_lastRejection.fault.message}}},
            {"last_edited_from_older", m_lastEditedFromOlder}};
}

} // namespace mangoshift
