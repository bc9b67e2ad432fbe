#include "entry/entrysettings.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "config/schema.h"
#include "config/settingsfields.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

void readAddresses(const Json &json, EntrySettings &settings, Faults &faults)
{
    const auto read = [&](const char *key) {
        return readAddressField(json.at(key), std::string("/") + key, faults);
    };
    settings.callerAddress = read("caller_address");
    settings.readyAddress = read("ready_address");
    settings.operatorAddress = read("operator_address");
    settings.storeAddress = read("store_address");
    if (json.contains("peer_address"))
        settings.peerAddress = read("peer_address");
    if (!json.contains("seeds"))
        return;
    for (std::size_t i = 0; i < json.at("seeds").size(); ++i) {
        readAddressField(json.at("seeds").at(i), "/seeds/" + std::to_string(i), faults);
        settings.seeds.push_back(json.at("seeds").at(i));
    }
}

RetryBudgetTerms readBudget(const Json &json)
{
    RetryBudgetTerms terms;
    terms.ratio = json.at("ratio");
    terms.slack = json.at("slack");
    terms.window = std::chrono::seconds(json.at("window_s").get<int>());
    return terms;
}

TargetPolicies readTargetPolicies(const Json &json)
{
    TargetPolicies policies;
    policies.learnsCapacity = json.value("learn_capacity", policies.learnsCapacity);
    policies.sharesCapacity = json.value("share_capacity", policies.sharesCapacity);
    policies.avoidsSilentDomains = json.value("avoid_silent_domains", policies.avoidsSilentDomains);
    return policies;
}

WarmupBound readWarmupBound(const Json &json)
{
    WarmupBound bound;
    if (!json.contains("warmup"))
        return bound;
    bound.overshoot = json.at("warmup").at("overshoot");
    bound.slack = json.at("warmup").at("slack");
    return bound;
}

} // namespace

tl::expected<EntrySettings, Faults> parseEntrySettings(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return tl::make_unexpected(Faults{{"", "must be a JSON object"}});
    Faults faults = entrySchema().check(json);
    if (!faults.empty())
        return tl::make_unexpected(std::move(faults));
    EntrySettings settings;
    settings.vm = json.at("vm");
    settings.failureDomain = json.at("failure_domain");
    settings.region = json.at("region");
    settings.failureDomains =
        json.value("failure_domains", std::vector<std::string>{settings.failureDomain});
    readAddresses(json, settings, faults);
    settings.retryBudget = readBudget(json.at("retry_budget"));
    settings.assumedVms = json.value("assumed_vms", settings.assumedVms);
    settings.stopTimeout =
        milliseconds(json.value("stop_patience_ms", settings.stopTimeout.count()));
    settings.maxCallerConnections =
        json.value("max_caller_connections", settings.maxCallerConnections);
    settings.replyMargin =
        milliseconds(json.value("reply_margin_ms", settings.replyMargin.count()));
    settings.watchWait = milliseconds(json.value("watch_wait_ms", settings.watchWait.count()));
    settings.targetReportInterval =
        milliseconds(json.value("target_report_ms", settings.targetReportInterval.count()));
    settings.targetPolicies = readTargetPolicies(json);
    settings.warmupBound = readWarmupBound(json);
    settings.logLevel = readLogLevel(json.value("log_level", "info"));
    settings.logLimits = readLogLimits(json);
    if (!faults.empty())
        return tl::make_unexpected(std::move(faults));
    return settings;
}

std::vector<std::string> fieldsThatNeedRestart(const EntrySettings &inForce,
                                               const EntrySettings &wanted)
{
    std::vector<std::string> fields;
    const auto compare = [&](const char *name, const auto &a, const auto &b) {
        if (a != b)
            fields.emplace_back(name);
    };
    const auto peerAddress = [](const EntrySettings &settings) {
        return settings.peerAddress ? settings.peerAddress->toString() : std::string();
    };
    compare("vm", inForce.vm, wanted.vm);
    compare("failure_domain", inForce.failureDomain, wanted.failureDomain);
    compare("region", inForce.region, wanted.region);
    compare("failure_domains", inForce.failureDomains, wanted.failureDomains);
    compare("caller_address", inForce.callerAddress.toString(), wanted.callerAddress.toString());
    compare("ready_address", inForce.readyAddress.toString(), wanted.readyAddress.toString());
    compare("operator_address", inForce.operatorAddress.toString(),
            wanted.operatorAddress.toString());
    compare("store_address", inForce.storeAddress.toString(), wanted.storeAddress.toString());
    compare("peer_address", peerAddress(inForce), peerAddress(wanted));
    compare("assumed_vms", inForce.assumedVms, wanted.assumedVms);
    compare("max_caller_connections", inForce.maxCallerConnections, wanted.maxCallerConnections);
    compare("watch_wait_ms", inForce.watchWait, wanted.watchWait);
    compare("target_report_ms", inForce.targetReportInterval, wanted.targetReportInterval);
    compare("learn_capacity", inForce.targetPolicies.learnsCapacity,
            wanted.targetPolicies.learnsCapacity);
    compare("share_capacity", inForce.targetPolicies.sharesCapacity,
            wanted.targetPolicies.sharesCapacity);
    compare("avoid_silent_domains", inForce.targetPolicies.avoidsSilentDomains,
            wanted.targetPolicies.avoidsSilentDomains);
    compare("warmup", inForce.warmupBound, wanted.warmupBound);
    return fields;
}

} // namespace mangoshift
