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
    VmLimit, ///< The VM runs as many requests as its priority may have.
    ServiceLimit, ///< The service's adaptive limit is reached.
    Infeasible, ///< Its deadline is shorter than answers commonly take at present.
};

/// Returns the name used in metrics, such as `service_limit`.
std::string_view toString(RefusalCause cause);

/// Why a request was refused and when it may come back.
struct AdmissionRefusal
{
    RefusalCause cause = RefusalCause::VmLimit;
    std::chrono::milliseconds retryAfter{0};
};

/// What became of an admitted request.
struct AdmittedOutcome
{
    /// How long it took, not counting the last few shards; nothing where most shards are missing.
    std::optional<Clock::duration> elapsed;
    /// How long it might take.
    Clock::duration timeAllowed{0};
    /// The shards that are missing because they were refused or did not answer in time.
    std::vector<std::string> missedShards;
};

/// Bounds the requests that a VM runs at once, for each service by how they fare.
///
/// A service's limit grows by steps while its requests end well within their deadlines and shrinks
/// by a factor once they come close to them or miss them, so that the queue that builds up at the
/// targets stays shorter than the deadline and what is done is not done in vain. A shard that
/// nearly all requests miss is broken, which says nothing of load, and is left out of this. The
/// limit is a fraction: with many VMs each may have to run fewer than two at once. A service in
/// trouble also shrinks the limits of those with a lower priority. What the VM runs in all is
/// bounded by a capacity, of which the lower priorities may fill a part. Reads no clock. Not
/// thread safe.
///
///     if (const auto refusal = admission.tryAdmit("search", priority, deadline, now))
///         refuse(refusal->retryAfter);
class AdmissionController
{
public:
    /// `capacity` is the greatest number of requests that run at once; `seed` spreads the times
    /// at which refused callers come back.
    AdmissionController(std::size_t capacity, std::uint64_t seed);

    /// Admits a request, which must be followed by `onFinished`, or returns why not. Zero is the
    /// highest priority.
    std::optional<AdmissionRefusal> tryAdmit(const std::string &service, std::uint8_t priority,
                                             Clock::time_point deadline, Clock::time_point now);
    /// Takes in how an admitted request ended.
    void onFinished(const std::string &service, const AdmittedOutcome &outcome,
                    Clock::time_point now);

    /// What is known of one service, for the state dump.
    struct ServiceStatus
    {
        std::string service;
        std::uint8_t priority = 0;
        std::size_t limit = 0;
        std::size_t inFlight = 0;
        std::chrono::microseconds typicalTime{0};
    };
    std::vector<ServiceStatus> status() const;
    std::size_t inFlight() const { return m_inFlight; }
    std::size_t capacity() const { return m_capacity; }

    static constexpr double MinLimit = 0.5;
    static constexpr double InitialLimit = 16;
    /// The share of its deadline that a request should take at most.
    static constexpr double TargetShare = 0.5;

private:
    /// For each shard that was missed lately, the share of requests that missed it.
    using MissRates = std::map<std::string, double>;

    /// What became of the requests that ended in the present window.
    struct Window
    {
        Clock::time_point began;
        std::size_t ended = 0;
        std::size_t late = 0;
        std::size_t overTarget = 0; ///< Took more than `TargetShare` of their deadline.
        std::size_t mostInFlight = 0;
    };
    struct ServiceState
    {
        std::uint8_t priority = 0;
        double limit = InitialLimit;
        std::size_t inFlight = 0;
        Window window;
        /// How many windows on end had no request over its target.
        std::uint32_t calmWindows = 0;
        MissRates missRates;
        LatencyDigest times;
        Clock::time_point nextProbe;
    };

    std::size_t capacityOf(std::uint8_t priority) const;
    static bool isInfeasible(ServiceState &state, Clock::time_point deadline,
                             Clock::time_point now);
    static bool noteMisses(MissRates &rates, const std::vector<std::string> &missedShards);
    bool hasRoom(const ServiceState &state);
    AdmissionRefusal refusal(RefusalCause cause);
    void adapt(ServiceState &state, Clock::time_point now);
    void grow(ServiceState &state) const;
    void shrinkBelow(std::uint8_t priority);

    std::size_t m_capacity;
    std::size_t m_inFlight = 0;
    std::map<std::string, ServiceState> m_services;
    std::minstd_rand m_random;
};

} // namespace mangoshift
