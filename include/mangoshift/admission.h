#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/latencydigest.h"

namespace mangoshift {

/// Why a request was not admitted.
enum class RefusalCause {
    VmLimit, ///< The VM runs as many requests as the request's priority may use.
    ServiceLimit, ///< The service's adaptive limit is reached.
    Infeasible, ///< Less time is left until the deadline than recent requests typically took.
};

/// Returns the name used in metrics, such as `service_limit`.
std::string_view toString(RefusalCause cause);

/// Why a request was refused and after how long the caller may retry it.
struct AdmissionRefusal
{
    RefusalCause cause = RefusalCause::VmLimit;
    std::chrono::milliseconds retryAfter{0};
};

/// The outcome of an admitted request.
struct AdmittedOutcome
{
    /// How long the request took, not counting the slowest tenth of the shards; empty if too many
    /// shards are missing.
    std::optional<Clock::duration> elapsed;
    /// How long the request was allowed to take.
    Clock::duration timeAllowed{0};
    /// The shards that are missing because they refused or did not reply in time.
    std::vector<std::string> missedShards;
};

/// Bounds the number of requests that a VM runs at once, with an adaptive limit for each service.
///
/// A service's limit grows in steps while its requests finish well within their deadlines, and
/// shrinks by a factor when they come close to their deadlines or miss them. This keeps the queues
/// at the targets shorter than the deadline, so that targets do not work on requests that time out.
/// A shard that nearly all requests miss is broken rather than overloaded and does not count.
/// Limits are fractional, because with many VMs each VM may have to run fewer than two requests at
/// once. When a service's limit shrinks, so do the limits of all services with a lower priority. A
/// fixed capacity bounds all requests of the VM; lower priorities may use only a part of it. Reads
/// no clock. Not thread safe.
///
///     if (const auto refusal = admission.tryAdmit("search", priority, deadline, now))
///         refuse(refusal->retryAfter);
class AdmissionController
{
public:
    /// `capacity` is the maximum number of requests that run at once; `seed` initialises the
    /// random numbers that spread the retries of refused callers.
    AdmissionController(std::size_t capacity, std::uint64_t seed);

    /// Admits a request and returns no value, or returns why the request is refused. Each admitted
    /// request must be followed by one call of `onFinished`. Priority 0 is the highest.
    std::optional<AdmissionRefusal> tryAdmit(const std::string &service, std::uint8_t priority,
                                             Clock::time_point deadline, Clock::time_point now);
    /// Records how an admitted request ended.
    void onFinished(const std::string &service, const AdmittedOutcome &outcome,
                    Clock::time_point now);

    /// The state of one service, for the state dump.
    struct ServiceStatus
    {
        std::string service;
        std::uint8_t priority = 0;
        std::size_t limit = 0;
        std::size_t inFlight = 0;
        std::chrono::microseconds typicalTime{0};
    };
    /// Returns the state of each service that has had a request.
    std::vector<ServiceStatus> status() const;
    std::size_t inFlight() const { return m_inFlight; }
    std::size_t capacity() const { return m_capacity; }

    /// The bounds of a service's limit at the low end and at the start, in requests.
    static constexpr double MinLimit = 0.5;
    static constexpr double InitialLimit = 16;
    /// The maximum share of its allowed time that a request should take.
    static constexpr double MaxTimeShare = 0.5;

private:
    /// For each shard that was missed recently, the moving average of the share of requests that
    /// missed it.
    using MissRates = std::map<std::string, double>;

    /// Counts the requests that finished in the current window.
    struct Window
    {
        Clock::time_point startedAt;
        std::size_t finished = 0;
        std::size_t late = 0; ///< Missed a shard that is not broken.
        std::size_t slow = 0; ///< Took more than `MaxTimeShare` of their allowed time.
        std::size_t maxInFlight = 0;
    };
    struct ServiceState
    {
        std::uint8_t priority = 0;
        double limit = InitialLimit;
        std::size_t inFlight = 0;
        Window window;
        /// The number of consecutive windows without a request over `MaxTimeShare`.
        std::uint32_t goodWindows = 0;
        MissRates missRates;
        LatencyDigest times;
        /// When the next request that seems infeasible is admitted as a probe.
        Clock::time_point nextProbe;
    };

    std::size_t capacityOf(std::uint8_t priority) const;
    /// Returns true if the request seems infeasible and is not admitted as a probe. The first
    /// request that is not refused here after a probe is due counts as the probe.
    static bool shouldRefuseAsInfeasible(ServiceState &state, Clock::time_point deadline,
                                         Clock::time_point now);
    static bool recordMisses(MissRates &rates, const std::vector<std::string> &missedShards);
    bool isBelowLimit(const ServiceState &state);
    AdmissionRefusal makeRefusal(RefusalCause cause);
    void adapt(ServiceState &state, Clock::time_point now);
    void grow(ServiceState &state) const;
    void shrinkLowerPriorities(std::uint8_t priority);

    std::size_t m_capacity;
    std::size_t m_inFlight = 0;
    std::map<std::string, ServiceState> m_services;
    std::minstd_rand m_random;
};

} // namespace mangoshift
