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

/// An entry VM that follows a store: owns the duties and connects them by rings.
class EntryVm
{
public:
    EntryVm(EntrySettings settings, WireAdapter adapter);
    ~EntryVm();
    EntryVm(const EntryVm &) = delete;
    EntryVm &operator=(const EntryVm &) = delete;

    /// Starts all duties. Returns false, after logging the reason, if an address cannot be listened
    /// on.
    bool start();
    /// Applies the settings that can change in a running process; the others are ignored. Must be
    /// called on the thread that calls `stop`.
    void apply(const EntrySettings &wanted);
    /// Stops gracefully: waits until all requests are answered and the connections of callers are
    /// closed, but at most for the `stop_patience_ms` of the settings.
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
    /// Null unless the settings contain a peer address.
    std::unique_ptr<PeerDuty> m_peers;
    std::unique_ptr<ReportDuty> m_report;
    bool m_isStarted = false;
};

} // namespace mangoshift
