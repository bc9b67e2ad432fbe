#include "entry/entrynode.h"

#include <chrono>
#include <thread>
#include <utility>

#include "base/log.h"

namespace mangoshift {

namespace {

/// How often a stop looks whether the last request is answered.
constexpr std::chrono::milliseconds StopCheck{20};

} // namespace

EntryNode::EntryNode(EntrySettings settings, WireAdapter adapter)
    : m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
{
    m_entry = std::make_unique<EntryDuty>(m_settings, m_adapter, m_metrics);
    m_registry = std::make_unique<RegistryDuty>(
        m_settings, m_adapter,
        RegistrySinks{[this](RoutingTablePtr routing) { m_entry->setRouting(std::move(routing)); },
                      [this](std::vector<RegistryChange> changes) {
                          m_entry->applyTargets(std::move(changes));
                      },
                      [this] { m_entry->setListed(); },
                      [this](const char *outcome, Clock::duration took) {
                          m_metrics.storeReads.Add({{"outcome", outcome}}).Increment();
                          m_metrics.storeSeconds.Observe(
                              std::chrono::duration<double>(took).count());
                      }});
    ReportSources sources;
    sources.isReady = [this] { return m_entry->isReady(); };
    sources.states = {
        {"entry",
         [this](StateRequest request) { return m_entry->requestState(std::move(request)); }},
        {"registry",
         [this](StateRequest request) { return m_registry->requestState(std::move(request)); }}};
    m_report = std::make_unique<ReportDuty>(m_settings.operatorAddress, sources, m_metrics);
}

EntryNode::~EntryNode()
{
    stop();
}

bool EntryNode::start()
{
    if (!m_entry->start())
        return false;
    m_registry->start();
    if (!m_report->start()) {
        logEvent(LogLevel::Error, "listen_failed", {{"field", "operator_address"}});
        return false;
    }
    m_isStarted = true;
    logEvent(LogLevel::Info, "vm_started",
             {{"vm", m_settings.vm}, {"failure_domain", m_settings.failureDomain}});
    return true;
}

void EntryNode::stop()
{
    if (std::exchange(m_isStarted, false)) {
        const Clock::time_point deadline = Clock::now() + m_settings.stopPatience;
        logEvent(LogLevel::Info, "vm_leaving", {{"vm", m_settings.vm}});
        m_entry->startLeaving(deadline);
        while (!m_entry->hasLeft() && Clock::now() < deadline)
            std::this_thread::sleep_for(StopCheck);
        if (!m_entry->hasLeft())
            logEvent(LogLevel::Warning, "stop_cut_off");
    }
    m_registry->stop();
    m_entry->stop();
    m_report->stop();
}

} // namespace mangoshift
