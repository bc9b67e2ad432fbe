#include "config/settings.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "config/schema.h"
#include "config/settingsfields.h"

namespace mangoshift {

namespace {

using Json = nlohmann::json;

Address readAddress(const Json &json, const char *key, Faults &faults)
{
    return readAddressField(json.at(key), std::string("/") + key, faults);
}

/// Returns `peer_listen_address`, or an empty text if it equals `peer_address`.
std::string separateListenAddress(const Settings &settings)
{
    const std::string listen = settings.peerListenAddress.toString();
    return listen == settings.peerAddress.toString() ? std::string() : listen;
}

Mechanisms readMechanisms(const Json &json)
{
    Mechanisms mechanisms;
    mechanisms.targetHedges = json.value("target_hedges", mechanisms.targetHedges);
    mechanisms.targetEjection = json.value("target_ejection", mechanisms.targetEjection);
    mechanisms.homeHedges = json.value("home_hedges", mechanisms.homeHedges);
    return mechanisms;
}

PlacementPolicy readPlacement(const std::string &name)
{
    if (name == "domain")
        return RendezvousHomes{};
    if (name == "local")
        return LocalHomes{};
    return RegionHomes{};
}

} // namespace

tl::expected<Settings, Faults> parseSettings(const std::string &text)
{
    const Json json = Json::parse(text, nullptr, false);
    if (!json.is_object())
        return tl::make_unexpected(Faults{{"", "must be a JSON object"}});
    Faults faults = settingsSchema().check(json);
    if (!faults.empty())
        return tl::make_unexpected(std::move(faults));
    Settings settings;
    settings.vm = json.at("vm");
    settings.failureDomain = json.at("failure_domain");
    settings.region = json.at("region");
    settings.callerAddress = readAddress(json, "caller_address", faults);
    settings.operatorAddress = readAddress(json, "operator_address", faults);
    settings.peerAddress = readAddress(json, "peer_address", faults);
    settings.peerListenAddress = json.contains("peer_listen_address")
        ? readAddress(json, "peer_listen_address", faults)
        : settings.peerAddress;
    settings.platformAddress = readAddress(json, "platform_address", faults);
    settings.callerThreads = json.value("caller_threads", settings.callerThreads);
    settings.stopTimeout =
        std::chrono::milliseconds(json.value("stop_patience_ms", settings.stopTimeout.count()));
    settings.isAdmissionEnabled = json.value("admission", settings.isAdmissionEnabled);
    if (json.contains("mechanisms"))
        settings.mechanisms = readMechanisms(json.at("mechanisms"));
    if (json.contains("placement"))
        settings.placement = readPlacement(json.at("placement"));
    settings.logLevel = readLogLevel(json.value("log_level", "info"));
    settings.logLimits = readLogLimits(json);
    if (!faults.empty())
        return tl::make_unexpected(std::move(faults));
    return settings;
}

std::vector<std::string> fieldsThatNeedRestart(const Settings &inForce, const Settings &wanted)
{
    std::vector<std::string> fields;
    const auto compare = [&](const char *name, const auto &a, const auto &b) {
        if (a != b)
            fields.emplace_back(name);
    };
    compare("vm", inForce.vm, wanted.vm);
    compare("failure_domain", inForce.failureDomain, wanted.failureDomain);
    compare("region", inForce.region, wanted.region);
    compare("caller_address", inForce.callerAddress.toString(), wanted.callerAddress.toString());
    compare("operator_address", inForce.operatorAddress.toString(),
            wanted.operatorAddress.toString());
    compare("peer_address", inForce.peerAddress.toString(), wanted.peerAddress.toString());
    compare("peer_listen_address", separateListenAddress(inForce), separateListenAddress(wanted));
    compare("platform_address", inForce.platformAddress.toString(),
            wanted.platformAddress.toString());
    compare("caller_threads", inForce.callerThreads, wanted.callerThreads);
    compare("stop_patience_ms", inForce.stopTimeout, wanted.stopTimeout);
    compare("admission", inForce.isAdmissionEnabled, wanted.isAdmissionEnabled);
    compare("mechanisms", inForce.mechanisms, wanted.mechanisms);
    compare("placement", inForce.placement.index(), wanted.placement.index());
    return fields;
}

} // namespace mangoshift
