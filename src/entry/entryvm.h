#pragma once

#include <memory>

#include "base/metrics.h"
#include "duties/peerduty.h"
#include "duties/reportduty.h"
#include "entry/entryduty.h"
#include "entry/entrysettings.h"
#include "entry/registryduty.h"
#include "entry/wireadapter.h"

namespace mangoshift {

/// One entry VM that follows a store: its duties, joined by rings.
class EntryVm
{
public:
    EntryVm(EntrySettings settings, WireAdapter adapter);
    ~EntryVm();
    EntryVm(const EntryVm &) = delete;
    EntryVm &operator=(const EntryVm &) = delete;

    /// Returns false, having logged why, where an address cannot be listened on.
    bool start();
    /// Takes over those settings that can change in a running process. Called on the thread that
    /// calls `stop`.
    void apply(const EntrySettings &wanted);
    /// Stops gracefully: answers what is under way, within the patience of the settings.
    void stop();

private:
    RegistrySinks registrySinks();
    PeerSinks peerSinks();

    EntrySettings m_settings;
    WireAdapter m_adapter;
    Metrics m_metrics;
    Member m_self;
    std::unique_ptr<EntryDuty> m_entry;
    std::unique_ptr<RegistryDuty> m_registry;
    /// Only where the settings name a peer address.
    std::unique_ptr<PeerDuty> m_peers;
    std::unique_ptr<ReportDuty> m_report;
    bool m_isStarted = false;
};

} // namespace mangoshift
