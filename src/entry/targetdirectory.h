#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include "base/metrics.h"
#include "entry/permitrequests.h"
#include "entry/wireadapter.h"
#include "http/targetchannels.h"
#include "mangoshift/capacityrecorder.h"
#include "mangoshift/connectionshare.h"
#include "mangoshift/domainreach.h"
#include "mangoshift/limitshare.h"
#include "mangoshift/routing.h"
#include "mangoshift/targetload.h"
#include "mangoshift/targetpolicies.h"
#include "mangoshift/targetregistry.h"
#include "mangoshift/targetstanding.h"
#include "mangoshift/waitingturns.h"
#include "mangoshift/warmupterms.h"

namespace mangoshift {

/// A target with the connections to it and the load and health observed on them.
struct TargetHandle
{
    RegisteredTarget info;
    TargetLoad load;
    TargetChannels channels;
    std::shared_ptr<TargetStanding> standing;
    /// Names the target in requests for permits.
    LimitKey limitKey;
    LimitShare limitShare;
    /// When this VM was notified that the target is draining.
    Clock::time_point drainingSince{};
    /// Set when another target responded at this target's address, which means that this target no
    /// longer runs there.
    bool isMisdirected = false;
    /// Whether the operators want nothing sent to targets of this failure domain.
    bool isEvacuated = false;
    /// Until when, after an evacuation, the target gets requests only if the service has no other
    /// target.
    Clock::time_point returnsAt{};

    TargetHandle(asio::io_context &io, RegisteredTarget target,
                 const asio::ip::tcp::endpoint &endpoint, const TargetHeaderNames &names,
                 ChannelOptions options, ChannelCounts &counts,
                 std::shared_ptr<TargetStanding> knownStanding)
        : info(std::move(target))
        , load(info.slots)
        , channels(io, endpoint, info.id, names, options, counts)
        , standing(std::move(knownStanding))
        , limitKey(mangoshift::limitKey(info.id, info.startedAt))
    {
    }
};
using TargetHandlePtr = std::shared_ptr<TargetHandle>;

/// Why a call cannot be sent to any target of its service.
struct TargetAbsence
{
    /// In ascending order of what is reported if several apply.
    enum class Cause : std::uint8_t {
        None, ///< No target is known, or each one has been tried.
        Leaving, ///< A target has said that it leaves.
        Evacuated, ///< The failure domain of a target is evacuated.
        Failing, ///< A target fails, and another request is probing it.
        Limited, ///< A target has named a limit, and no request is left within it.
        Paused, ///< A target has asked for a pause that is too long for the call.
        NoTurn, ///< More calls are ahead than can be sent in time.
        NoTime, ///< The call cannot end by its deadline any more.
    };
    Cause cause = Cause::None;
    /// When the first target may get requests again; no value if that is not known.
    std::optional<Clock::time_point> endsAt;
};

/// A permit to send one request to a limited target, with the time from which it is valid.
struct HeldPermit
{
    LimitKey target = 0;
    Clock::time_point validFrom{};

    bool isValid(Clock::time_point now) const
    {
        return now >= validFrom && now < validFrom + PermitLifetime;
    }
    bool isExpired(Clock::time_point now) const { return now >= validFrom + PermitLifetime; }
};

/// A request to be sent to any target of a service.
struct ServiceCall
{
    std::string service;
    ForwardedRequestPtr request;
    /// Targets that must not be picked.
    std::vector<TargetHandlePtr> triedTargets;
    /// Until when an answer is of full use to the caller; see `WaitingTurns`.
    Clock::time_point usefulUntil;
    /// Whether the call may wait for a target with a free slot.
    bool canWait = true;
    /// The rank of the request, 0 for the most urgent.
    std::uint32_t priority = 0;
    /// Whether a permit is requested for the call if no other target has a free slot. Not set for
    /// calls that were denied one together with other parts of their query.
    bool requestsPermit = true;
    /// A permit that was granted for this call.
    std::optional<HeldPermit> permit = std::nullopt;
    /// No permit is requested before this time.
    Clock::time_point permitRetryAt{};
    /// Whether the call ends at `permitLimit` if it still waits and some of its targets are
    /// limited.
    bool endsAtPermitLimit = false;
    /// Until when the call waits for a permit although other targets could take it. Reset once it
    /// waits for its turn instead.
    Clock::time_point probesUntil{};
    /// The latest time at which a permit is of use.
    Clock::time_point permitLimit = Clock::time_point::max();
    /// Whether the call may find out whether a silent failure domain responds again. Another copy
    /// must be possible if it does not.
    bool mayProbeDomain = false;
    /// Whether failing targets that are being probed are left out. A part of a fan-out does not
    /// leave them out: without it the other parts may be too few for an answer.
    bool leavesOutEjected = false;
    /// Until when it is of use to wait for a target that has asked for a pause.
    Clock::time_point waitLimit;
    /// The usual latency of the target's response; zero if it is not known.
    Clock::duration expectedLatency{};
    std::function<void(const TargetHandlePtr &, CallNumber)> onSent;
    /// Called when the first byte of the request is given to the network, which is before `onSent`
    /// if the target has a free connection.
    std::function<void()> onFirstByte;
    std::function<void(const TargetHandlePtr &, TargetCallResult)> onEnded;
    /// Called instead of `onSent` if no target is left for the call while it waits.
    std::function<void(const TargetAbsence &)> onNoTarget;
    /// Called while the call waits, when all of its targets have come to fail and are being probed,
    /// and when that has ended.
    std::function<void(bool isStalled)> onStalled;
    /// What `onStalled` was last called with.
    bool isStalled = false;

    bool isProbing() const { return probesUntil != Clock::time_point(); }
    WaitingTerms waitingTerms() const
    {
        return {usefulUntil, request->deadline, expectedLatency, !isProbing()};
    }
};

/// Returns whether a response cannot be the target's own: it is encoded, or succeeds without a
/// receipt.
bool isSpoilt(const HttpResponse &response, const EntryHeaderNames &names);

/// The state of a call after `TargetDirectory::call`.
enum class CallState : std::uint8_t {
    Sent,
    Waiting, ///< All targets are busy; the call is sent when one has a free slot.
    NoTarget, ///< The service has no target that may be picked; see `TargetAbsence`.
    NoFreeSlot, ///< All targets are busy and the call may not wait.
};

struct CallOutcome
{
    CallState state;
    /// Valid with `CallState::NoTarget`.
    TargetAbsence absence;
    /// Whether a waiting call waits only for targets that fail and are being probed.
    bool isStalled = false;
};

/// The targets of each service as this VM sees them, and the calls that wait for them. Belongs to
/// one thread.
class TargetDirectory
{
public:
    /// Sends what this VM has observed of targets to the capacity pool.
    using ReportCapacity = std::function<void(CapacityObservations)>;

    /// `fleetSize` is the number of VMs that share a target's connections.
    TargetDirectory(asio::io_context &io, const WireAdapter &adapter, Metrics &metrics,
                    std::size_t fleetSize, PermitRequests::RequestFromPool requestFromPool);

    void apply(const std::vector<RegistryChange> &changes, Clock::time_point now);
    /// Applies the connection limits of a new configuration.
    void setRouting(RoutingTablePtr routing);
    /// Sets the failure domains to whose targets nothing is sent. Calls that wait for a connection
    /// there are taken back, requests in flight go on. After an evacuation, targets return at
    /// random times and with one request at a time, so that the VMs do not all return at once to
    /// targets that may be cold.
    void setEvacuatedDomains(std::set<std::string> failureDomains, Clock::time_point now);
    /// Sets the number of VMs that share a target's connections.
    void setFleetSize(std::size_t vms);
    /// Sets this VM's name and failure domain. Targets in the same domain are preferred.
    void setVm(const VmId &vm, const std::string &failureDomain);

    /// Sets which sources of knowledge about targets are used.
    void setPolicies(const TargetPolicies &policies);
    /// Sets the receiver of reports for the capacity pool. Without it none are made.
    void setReportCapacity(ReportCapacity reportCapacity)
    {
        m_reportCapacity = std::move(reportCapacity);
    }
    /// Takes what the VMs of the failure domain know of targets. Unknown targets are ignored.
    void onOutlooks(const CapacityOutlooks &outlooks, Clock::time_point now);
    /// Returns what the failure domain knows of a target; no value if there is no outlook.
    std::optional<TargetOutlook> outlook(const TargetHandle &target, Clock::time_point now) const
    {
        return m_recorder.outlook(target.limitKey, now);
    }

    /// Sets how the requests to cold targets are limited, and how often a target writes its entry.
    void setWarmup(const WarmupTerms &terms, Clock::duration targetReportInterval);

    /// Sends a request to a target with a free slot, and prefers targets with a low cost. A
    /// draining target is picked only if the service has no other target and it has been draining
    /// for no longer than a second. `onSent` is called when the request has been given to a target,
    /// possibly from within `call`. `onEnded` is then called once with the result, never from
    /// within `call`.
    CallOutcome call(ServiceCall call, Clock::time_point now);
    /// Returns why a request to a service would find no target, waiting until `waitLimit` at most
    /// and leaving out targets that fail and are being probed; no value if it would find one.
    /// Limits of targets do not count.
    std::optional<TargetAbsence> absence(const std::string &service, Clock::time_point waitLimit,
                                         Clock::time_point now) const;
    /// Returns the permits that a request with one part for each service needs, of which `minParts`
    /// must be sent; no value if it needs none.
    std::optional<PermitAsk> neededPermits(const std::vector<std::string> &services,
                                           std::size_t minParts, std::uint32_t priority,
                                           Clock::time_point now) const;
    /// Returns whether only limited targets without permits are left for requests to a service.
    bool isClosedByLimits(const std::string &service, Clock::time_point now) const;
    using OnPermits =
        std::function<void(const PermitOutcome &, const std::vector<HeldPermit> &permits)>;
    /// Requests permits. `onPermits` is called later.
    void requestPermits(PermitAsk ask, OnPermits onPermits, Clock::time_point now);
    /// Leaves a permit to any call that needs one.
    void addSparePermit(const HeldPermit &permit);
    /// Returns the service of the target that a permit is for; empty if it is not listed any more.
    std::string serviceOf(const HeldPermit &permit) const;
    void onPermits(const PermitReply &reply) { m_permits.onReply(reply); }
    /// Records that the response to a call that was sent at `sentAt` is overdue; most come within
    /// `usualTime`. The responses
    /// that have arrived must have been read.
    void onOverdue(const TargetHandlePtr &target, Clock::duration usualTime,
                   Clock::time_point sentAt, Clock::time_point now);
    /// Returns how long another call to a service would wait for a free slot if each call takes
    /// `callLatency`; zero if no call waits for its turn. Calls that will be late in any case do
    /// not count, as they get few turns.
    Clock::duration expectedWait(const std::string &service, Clock::duration callLatency,
                                 Clock::time_point now) const;
    /// Returns whether another call to a service would get its turn in time if it had to wait.
    bool canGetTurn(const std::string &service, const WaitingTerms &call,
                    Clock::time_point now) const;
    /// Returns whether a target of a service can be sent a call now.
    bool hasFreeSlot(const std::string &service, Clock::time_point now) const;
    /// Returns how many times as long as usual the fastest target of a service takes, 1 at least.
    double leastSlowness(const std::string &service, Clock::time_point now) const;
    /// Drops a waiting call, identified by its service and request.
    void dropWaiting(const std::string &service, const ForwardedRequestPtr &request);
    /// Closes overdue connections, sends waiting calls, and forgets removed targets that have no
    /// call in flight.
    void sweep(Clock::time_point now);

    /// Returns how many of the services have a target that can be reached.
    std::size_t countReachableServices(const std::vector<std::string> &services) const;
    std::size_t targetCount() const { return m_byId.size(); }
    std::size_t openConnections() const;
    const ChannelCounts &counts() const { return m_counts; }
    const std::unordered_map<TargetId, TargetHandlePtr> &targets() const { return m_byId; }

private:
    void list(const RegisteredTarget &target, Clock::time_point now);
    void delist(const TargetId &id);
    /// Starts or ends the evacuation of a target if its failure domain demands it. Returns whether
    /// it did.
    bool applyEvacuation(TargetHandle &target, Clock::time_point now);
    /// Returns whether nothing that is known of a target, other than its load, keeps requests from
    /// it.
    static bool isOpen(const TargetHandle &target, Clock::time_point now);
    /// Leaves out the targets of silent failure domains if there are others that respond.
    void leaveOutSilent(std::vector<TargetHandlePtr> &handles, bool mayProbe,
                        Clock::time_point now) const;
    /// Records a response of a target, which shows that its failure domain can be reached.
    void onDomainResponse(const TargetHandle &target, Clock::time_point now);
    /// Applies this VM's share of the connections to the targets of all services, or of one.
    void updateConnections();
    void updateConnections(const std::string &service);
    /// The targets that may get a call, and why the others may not.
    struct Candidates
    {
        std::vector<TargetHandlePtr> handles;
        /// Targets that a call may get with a permit only.
        std::vector<TargetHandlePtr> limited;
        TargetAbsence absence;

        /// Returns whether there are targets, and all of them fail and are being probed.
        bool areAllEjected() const;
    };
    Candidates candidates(const ServiceCall &call, Clock::time_point now) const;
    /// Returns whether a service has a target that may get any request and is neither limited nor
    /// failing, so that its candidates need not be collected to tell that there are some.
    bool hasOpenTarget(const std::string &service, Clock::time_point now) const;
    /// Records what a call owes to the limited targets of its service if others could take it.
    /// Returns the targets for which the call should ask for a permit first.
    std::vector<TargetHandlePtr> recordChoice(const Candidates &found, const ServiceCall &call,
                                              Clock::time_point now);
    /// Asks for a permit for a waiting call that other targets could take.
    void probeLimits(const std::vector<TargetHandlePtr> &targets, const std::string &service,
                     const ForwardedRequestPtr &request, std::uint32_t priority,
                     Clock::time_point now);
    /// Asks for the permits of the next interval.
    void requestSharesOfLimits(Clock::time_point now);
    /// Returns the limited target that the next request is due to; none if there is no target
    /// without a limit.
    static TargetHandlePtr dueLimitedTarget(const std::vector<TargetHandlePtr> &handles,
                                            Clock::time_point now);
    /// Requests permits for the waiting calls to a service that could be sent to limited targets.
    void requestPermitsForWaiting(const std::string &service, Clock::time_point now);
    /// Gives a waiting call its permit, or ends it if it was denied one and has no other target.
    void onPermitOutcome(const std::string &service, const ForwardedRequestPtr &request,
                         const PermitOutcome &outcome, const std::vector<HeldPermit> &permits);
    /// Reports a limit that has changed or ended, or is in doubt no longer, to the pool.
    void reportLimit(const TargetHandle &target, Clock::time_point now);
    /// Requests permits that no request depends on.
    void requestSparePermits(std::vector<std::vector<HeardLimit>> parts, Clock::time_point now);
    /// Handles the limit that a response names, or that it names none.
    void onLimitNotice(TargetHandle &target, const TargetNotice &notice,
                       std::optional<Clock::time_point> sentAt, Clock::time_point now);
    /// Changes what is known of a target's warm-up, and applies the limit that is then in force.
    void changeWarmup(TargetHandle &target, const std::function<void(TargetLimit &)> &change);
    /// Handles what a target's entry says of its warm-up.
    void onWarmupEntry(TargetHandle &target, Clock::time_point now);
    /// Handles what a response says of the target's warm-up.
    void onWarmupNotice(TargetHandle &target, const TargetNotice &notice,
                        std::optional<Clock::time_point> sentAt, Clock::time_point now);
    /// Treats a target as cold, as it may have had no requests during an evacuation.
    void presumeCold(TargetHandle &target, Clock::time_point now);
    /// Applies the rates of a new configuration to the targets.
    void updateWarmupLimits();
    /// Ends the warm-ups whose time is over, and updates the metric of cold targets.
    void endWarmups(Clock::time_point now);
    /// Handles the end of a target's warm-up.
    void onWarm(TargetHandle &target);
    /// Returns a time for which a target is cold, within what its service allows.
    Clock::duration boundedWarmup(const TargetHandle &target, Clock::duration time) const;
    /// How long at least a target that returns is treated as cold until it has said otherwise, and
    /// how old its entry may be.
    Clock::duration entryAge() const { return m_targetReportInterval * 5 / 2; }
    /// Arranges that waiting calls are sent when their permits are valid.
    void armPermitTimer(Clock::time_point now);
    /// Updates the metrics of limited targets.
    void updateLimitMetrics(Clock::time_point now);
    /// Logs that a target has come to fail or answers again; `wasFailing` is its earlier state.
    void onFailingMayHaveChanged(const TargetHandle &target, bool wasFailing);
    /// Logs which targets have come to handle much less load, or do so no longer, and counts them.
    void reviewCapacities(Clock::time_point now);
    /// Handles what a target says about itself in a response.
    void onNotice(const std::weak_ptr<TargetHandle> &target, const HttpResponse &response,
                  std::optional<Clock::time_point> sentAt);
    /// Returns whether a call may wait for the end of the pauses of its targets.
    static bool mayWaitFor(const TargetAbsence &absence, const ServiceCall &call);
    TargetHandlePtr pick(const std::vector<TargetHandlePtr> &handles, Clock::time_point now);
    bool send(const TargetHandlePtr &target, ServiceCall &call);
    void onCallEnded(const TargetHandlePtr &target, Clock::duration expected,
                     const TargetCallResult &reply);
    /// Records how a call ended.
    void recordOutcome(TargetHandle &target, Clock::duration expected,
                       const TargetCallResult &reply, Clock::time_point now);
    /// Records what a call has shown of a target for the capacity pool, if that is used.
    void recordForPool(const TargetHandle &target, Clock::duration expected,
                       const TargetCallResult &reply, Clock::time_point now);
    void reportCapacity(Clock::time_point now);
    /// Marks a target whose address now belongs to another target.
    static void onMisdirected(TargetHandle &target, Clock::time_point now);
    /// Starts to wait with a call. Returns why it cannot get its turn in time instead.
    std::optional<TargetAbsence> enqueue(ServiceCall call, bool needsSlotOnly,
                                         Clock::time_point now);
    /// Returns how many of the waiting calls take a turn.
    static std::size_t countTurns(const std::vector<ServiceCall> &waiting);
    /// Makes the calls that have waited long enough to probe wait for their turns.
    static void queueProbed(std::vector<ServiceCall> &waiting, WaitingTurns &turns,
                            Clock::time_point now);
    /// Returns why a call ends that is refused, and when the `waiting` calls have been sent.
    static TargetAbsence refusalOf(WaitingTurns::Refusal why, const WaitingTurns &turns,
                                   std::size_t waiting, Clock::time_point now);
    /// Tells the owners of calls, which no longer wait, why they were not sent.
    void endWaiting(const std::vector<std::pair<ServiceCall, TargetAbsence>> &ended);
    /// Ends the waiting calls that cannot end by their deadlines any more, and arranges that this
    /// is done again when the next one comes to that.
    void refuseLate(Clock::time_point now);
    void armLateTimer(Clock::time_point at);
    /// Sends waiting calls to a service while its targets have free slots.
    void sendWaiting(const std::string &service, Clock::time_point now);
    /// Does the same, ends the waiting calls for which no target is left, and reports those that
    /// have stalled. Looks at every waiting call, so it is not done each time that a call ends.
    void reviewWaiting(const std::string &service, Clock::time_point now);

    asio::io_context &m_io;
    const WireAdapter &m_adapter;
    Metrics &m_metrics;
    ConnectionSharers m_sharers;
    RoutingTablePtr m_routing;
    std::set<std::string> m_evacuatedDomains;
    TargetPolicies m_policies;
    DomainReach m_domainReach;
    CapacityRecorder m_recorder;
    ReportCapacity m_reportCapacity;
    WarmupTerms m_warmupTerms;
    Clock::duration m_targetReportInterval = std::chrono::milliseconds(1200);
    Clock::time_point m_capacitiesReviewedAt{};
    ChannelCounts m_counts;
    std::unordered_map<TargetId, TargetHandlePtr> m_byId;
    std::unordered_map<std::string, std::vector<TargetHandlePtr>> m_byService;
    std::unordered_map<LimitKey, TargetHandlePtr> m_byLimitKey;
    TargetStandings m_standings;
    PermitRequests m_permits;
    /// Services for whose waiting calls permits have been requested.
    std::unordered_set<std::string> m_servicesAwaitingPermits;
    asio::basic_waitable_timer<Clock> m_permitTimer;
    /// The sends to each limited target when its use was last reported.
    std::unordered_map<TargetId, std::uint64_t> m_reportedSends;
    Clock::time_point m_limitsReportedAt{};
    /// Calls that wait for a free slot, or for the end of a pause, by service.
    std::unordered_map<std::string, std::vector<ServiceCall>> m_waiting;
    std::unordered_map<std::string, WaitingTurns> m_turns;
    asio::basic_waitable_timer<Clock> m_lateTimer;
    /// When `m_lateTimer` expires.
    Clock::time_point m_lateTimerAt = Clock::time_point::max();
    /// Targets that were removed from the registry and still have calls in flight.
    std::vector<TargetHandlePtr> m_retired;
    std::minstd_rand m_random;
};

} // namespace mangoshift
