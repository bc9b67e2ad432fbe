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

/// The functions through which the exchange sends frames and reports changes to its duty.
struct ConfigSinks
{
    std::function<void(const VmId &, FramePtr)> sendToVm;
    std::function<void(LinkId, FramePtr)> sendOnLink;
    std::function<void(DocumentPtr)> onInForce;
    /// Announces the version that this VM now holds; see `AnnounceConfig`.
    std::function<void(const VmId &, ConfigVersion)> announce;
    /// Returns true if there is another live VM.
    std::function<bool()> hasPeers;
};

/// Runs the `ConfigStore`: exchanges document parts with other VMs as frames, checks documents, and
/// logs and counts those put in force and those rejected. Runs on the control duty's thread.
class ConfigExchange
{
public:
    ConfigExchange(ConfigSinks sinks, Metrics &metrics);

    /// Handles the version that a VM announced in a heartbeat; `mayFetch` allows a pull from it.
    void onVersionReceived(const VmId &vm, ConfigVersion version, bool mayFetch);
    /// Replies on the link with the requested parts, or with the list of parts.
    void onPull(LinkId link, const wire::ConfigPullT &pull);
    void onReply(wire::ConfigReplyT &reply);
    void onPlatformDocument(const PlatformDocument &message);
    void onTick();

    const ConfigStore &store() const { return m_store; }
    nlohmann::json stateJson() const;

private:
    /// The last document that was rejected, and why.
    struct Rejection
    {
        ConfigVersion version = 0;
        Fault fault;
    };

    void perform(ConfigActions actions);
    void pull(PullConfig &action);
    void check(const CheckDocument &action);
    void putInForce(ConfigVersion version);
    void reject(ConfigVersion version, const Fault &fault);

    ConfigSinks m_sinks;
    Metrics &m_metrics;
    ConfigStore m_store;
    DocumentPtr m_document;
    /// Documents that passed the check and are not in force yet.
    std::map<ConfigVersion, Document> m_checkedDocuments;
    Rejection m_lastRejection;
    ConfigVersion m_lastEditedFromOlder = 0;
};

} // namespace mangoshift
