#pragma once

#include <functional>
#include <map>
#include <string>

#include <nlohmann/json_fwd.hpp>

#include "base/metrics.h"
#include "config/fault.h"
#include "duties/messages.h"
#include "mangoshift/configstore.h"

namespace mangoshift {

/// What the exchange asks of its duty.
struct ConfigSinks
{
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
    std::function<void(DocumentPtr)> onInForce;
    /// Says that another version is held, which is to be announced; see `AnnounceConfig`.
    std::function<void(const VmId &, ConfigVersion)> announce;
    /// Whether there is another live VM.
    std::function<bool()> hasPeers;
};

/// Runs the `ConfigStore`: carries parts between VMs as frames, checks documents, logs and counts
/// what came in force and what was refused. Belongs to the control duty's thread.
class ConfigExchange
{
public:
    ConfigExchange(ConfigSinks sinks, Metrics &metrics);

    void onPeerHeartbeat(const VmId &vm, ConfigVersion version, bool mayFetch);
    void onPull(LinkId link, const wire::ConfigPullT &pull);
    void onReply(wire::ConfigReplyT &reply);
    void onPlatformDocument(const PlatformDocument &message);
    void onTick();

    const ConfigStore &store() const { return m_store; }
    nlohmann::json stateJson() const;

private:
    /// The last document that was refused.
    struct Refusal
    {
        ConfigVersion version = 0;
        Fault fault;
    };

    void perform(ConfigActions actions);
    void pull(PullConfig &action);
    void check(const CheckDocument &action);
    void putInForce(ConfigVersion version);
    void refuse(ConfigVersion version, const Fault &fault);

    ConfigSinks m_sinks;
    Metrics &m_metrics;
    ConfigStore m_store;
    DocumentPtr m_document;
    /// Documents that were checked and are not in force yet.
    std::map<ConfigVersion, Document> m_checked;
    Refusal m_lastRefusal;
    ConfigVersion m_lastRaced = 0;
};

} // namespace mangoshift
