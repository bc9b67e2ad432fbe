#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "base/metrics.h"
#include "duties/messages.h"
#include "entry/entrysettings.h"
#include "entry/entrystate.h"
#include "entry/requestexchange.h"
#include "entry/requestfilters.h"
#include "entry/wireadapter.h"
#include "http/callerlistener.h"

namespace mangoshift {

/// Requests from the entry duty to other duties; called on the entry duty's thread.
struct EntrySinks
{
    /// Sends a request for budget to the retry pool. The reply arrives through
    /// `EntryDuty::onBudgetGrants`.
    RetryBudgets::RequestFromPool requestFromPool;
    /// Sends a request for permits to the limit pool. The reply arrives through
    /// `EntryDuty::onPermits`.
    PermitRequests::RequestFromPool requestPermits;
    /// Sends what this VM has observed of targets to the capacity pool. What the pool knows arrives
    /// through `EntryDuty::onOutlooks`.
    TargetDirectory::ReportCapacity reportCapacity;
    /// Pings VMs of other failure domains. Each reply is reported to
    /// `EntryDuty::onOtherDomainContact`.
    std::function<void()> pingOtherDomains;
};

/// The duty that accepts callers' requests and sends them to targets.
///
/// Callers, targets and the balancer's readiness checks share one event loop, so that a request
/// never changes threads.
class EntryDuty
{
public:
    EntryDuty(const EntrySettings &settings, const WireAdapter &adapter, Metrics &metrics,
              const EntrySinks &sinks);
    ~EntryDuty();
    EntryDuty(const EntryDuty &) = delete;
    EntryDuty &operator=(const EntryDuty &) = delete;

    /// Starts to listen. Returns false, after logging the reason, if an address cannot be listened
    /// on.
    bool start();
    /// Ends the thread. Requests that are pending or have arrived get a final response.
    void stop();

    // May be called from any thread.

    /// Sets the configuration in force.
    void setRouting(RoutingTablePtr routing);
    void applyTargets(std::vector<RegistryChange> changes);
    /// Sets the failure domains to whose targets nothing must be sent.
    void setEvacuatedDomains(std::set<std::string> failureDomains);
    /// Reports that all targets have been listed, so that requests can be served.
    void setRegistryListed();
    /// Reports how many VMs there may be; see `EntryState::growFleet`.
    void setFleetSize(std::size_t vms);
    void onBudgetGrants(BudgetGrants grants);
    void onPermits(PermitReply reply);
    void onOutlooks(CapacityOutlooks outlooks);
    /// Reports contact with a VM of another failure domain.
    void onOtherDomainContact();
    /// Applies the settings that can change in a running process.
    void applySettings(ReloadableSettings settings);
    /// Reports not ready from now on. Requests are still served, and all connections are closed by
    /// `deadline`.
    void startLeaving(Clock::time_point deadline) { m_duty.postLatest(Leave{deadline}); }
    /// Returns whether a leaving VM has answered all requests and closed all connections of
    /// callers.
    bool hasLeft() const { return m_hasLeft; }
    bool isReady() const { return m_isReady; }
    bool requestState(StateRequest request) { return m_duty.tryPost(std::move(request)); }

private:
    struct RoutingChanged
    {
        RoutingTablePtr routing;
    };
    struct TargetsChanged
    {
        std::vector<RegistryChange> changes;

        void merge(TargetsChanged later) { mergeChanges(changes, std::move(later.changes)); }
    };
    struct EvacuationsChanged
    {
        std::set<std::string> failureDomains;
    };
    struct RegistryListed
    {
    };
    struct FleetSize
    {
        std::size_t vms;
    };
    struct OtherDomainContact
    {
    };
    struct Leave
    {
        Clock::time_point deadline;
    };
    using Message = std::variant<RoutingChanged, TargetsChanged, EvacuationsChanged, RegistryListed,
                                 FleetSize, BudgetGrants, PermitReply, CapacityOutlooks,
                                 ReloadableSettings, OtherDomainContact, Leave, StateRequest>;

    void handle(Message &message);
    CallerEvents callerEvents();
    CallerEvents readyEvents();
    void onRequest(const CallerConnectionPtr &connection, HttpRequest http);
    void onConnectionEnded(const ConnectionEnd &end);
    void onReadyRequest(const CallerConnectionPtr &connection, const HttpRequest &http);
    /// Returns whether a leaving VM may take a request.
    bool canFinishBeforeLeaving(const IncomingRequest &request);
    void reject(const IncomingRequest &request, const Rejection &rejection);
    void onFinished(const std::shared_ptr<RequestExchange> &exchange);
    void updateReady();
    void updateReachability(Clock::time_point now);
    /// Returns whether the reachable targets suffice for at least one fan-out route. Returns true
    /// if the configuration has no fan-out route.
    bool canServeSomeFanOut() const;
    void armSweep();
    void sweep();
    void updateLogMetrics();
    /// Closes the connections of a leaving VM, and ends pending requests shortly before the
    /// deadline.
    void sweepLeaving(Clock::time_point now);
    /// Refuses requests that have arrived, and sends the final responses to pending ones.
    void endRequests();
    std::string stateJson() const;

    EntrySettings m_settings;
    const WireAdapter &m_adapter;
    Duty<Message> m_duty;
    EntryState m_state;
    std::function<void()> m_pingOtherDomains;
    RequestFilterChain m_filters;
    /// Declared before the listeners so that it outlives the connections: the handler of a
    /// disconnection looks up the exchange here.
    std::unordered_map<CallerConnectionPtr, std::shared_ptr<RequestExchange>> m_exchanges;
    /// Declared before the listeners, whose connections report their end.
    RoutingTablePtr m_routing;
    CallerListener m_callers;
    CallerListener m_balancer;
    bool m_isRegistryListed = false;
    bool m_isLeaving = false;
    Clock::time_point m_leavingSince{};
    Clock::time_point m_leaveDeadline{};
    asio::basic_waitable_timer<Clock> m_sweepTimer;
    std::atomic<bool> m_isReady{false};
    std::atomic<bool> m_hasLeft{false};
};

} // namespace mangoshift
