#include "mangoshift/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mangoshift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::array<std::string_view, 3> CauseNames{"vm_limit", "service_limit", "infeasible"};

/// A window is evaluated once it is this old and this many requests have finished, or once it is
/// four times as old.
constexpr milliseconds WindowLength{40};
constexpr std::size_t MinWindowRequests = 8;
/// A window is bad if more than these shares of its requests were late, or over `MaxTimeShare`.
constexpr double LateShare = 0.05;
constexpr double SlowShare = 0.25;
constexpr double ShrinkFactor = 0.85;
/// If more than this share of requests was late, the limit is much too high and is cut faster.
constexpr double SevereLateShare = 0.3;
constexpr double FastShrinkFactor = 0.6;
constexpr double GrowthFactor = 0.05;
constexpr double MinGrowth = 0.1;
/// After this many consecutive good windows, a limit below the initial one recovers in steps that
/// double each time. Under overload, so many good windows in a row are too rare to matter.
constexpr std::uint32_t GoodWindowsToRecover = 2;
constexpr std::uint32_t MaxDoublings = 8;
/// A shard that more than this share of requests misses counts as broken, not overloaded.
constexpr double BrokenMissRate = 0.8;
constexpr double MissRateWeight = 0.05;
constexpr double NegligibleMissRate = 0.01;
/// The limit grows only if at least this share of it was in use; an unused limit would otherwise
/// grow without bound.
constexpr double MinUsedShare = 0.75;
/// Each priority may use this share of the VM's capacity less than the priority above it, down to
/// the priority that is `MaxPrioritySteps` steps below the highest.
constexpr double PriorityStep = 0.2;
constexpr std::uint8_t MaxPrioritySteps = 3;
constexpr double TypicalQuantile = 0.5;
constexpr std::uint32_t MinSamples = 32;
/// At most one request that seems infeasible is admitted in this time, as a probe.
constexpr milliseconds ProbeInterval{100};
constexpr std::uint32_t MinRetryAfterMs = 500;
constexpr std::uint32_t MaxRetryAfterMs = 2000;

} // namespace

std::string_view toString(RefusalCause cause)
{
    return CauseNames.at(static_cast<std::size_t>(cause));
}

AdmissionController::AdmissionController(std::size_t capacity, std::uint64_t seed)
    : m_capacity(std::max<std::size_t>(capacity, 1))
    , m_random(static_cast<std::minstd_rand::result_type>(seed))
{
}

std::optional<AdmissionRefusal> AdmissionController::tryAdmit(const std::string &service,
                                                              std::uint8_t priority,
                                                              Clock::time_point deadline,
                                                              Clock::time_point now)
{
    ServiceState &state = m_services[service];
    state.priority = priority;
    if (m_inFlight >= capacityOf(priority))
        return makeRefusal(RefusalCause::VmLimit);
    if (shouldRefuseAsInfeasible(state, deadline, now))
        return makeRefusal(RefusalCause::Infeasible);
    if (!isBelowLimit(state)) {
        state.window.maxInFlight = state.inFlight;
        return makeRefusal(RefusalCause::ServiceLimit);
    }
    ++m_inFlight;
    ++state.inFlight;
    state.window.maxInFlight = std::max(state.window.maxInFlight, state.inFlight);
    return std::nullopt;
}

void AdmissionController::onFinished(const std::string &service, const AdmittedOutcome &outcome,
                                     Clock::time_point now)
{
    ServiceState &state = m_services[service];
    --m_inFlight;
    --state.inFlight;
    const bool isLate = recordMisses(state.missRates, outcome.missedShards);
    if (!isLate && !outcome.elapsed)
        return;
    const auto maxTime = std::chrono::duration<double>(outcome.timeAllowed) * MaxTimeShare;
    ++state.window.finished;
    state.window.late += isLate ? 1 : 0;
    state.window.slow += outcome.elapsed.value_or(outcome.timeAllowed) > maxTime ? 1 : 0;
    if (!isLate)
        state.times.record(std::chrono::duration_cast<microseconds>(*outcome.elapsed));
    adapt(state, now);
}

/// Updates the miss rates. Returns true if any missed shard is not broken.
bool AdmissionController::recordMisses(MissRates &rates,
                                       const std::vector<std::string> &missedShards)
{
    const bool isLate =
        std::any_of(missedShards.begin(), missedShards.end(),
                    [&](const std::string &shard) { return rates[shard] < BrokenMissRate; });
    for (auto &[shard, rate] : rates)
        rate *= 1 - MissRateWeight;
    for (const std::string &shard : missedShards)
        rates[shard] += MissRateWeight;
    std::erase_if(rates, [](const auto &each) { return each.second < NegligibleMissRate; });
    return isLate;
}

std::vector<AdmissionController::ServiceStatus> AdmissionController::status() const
{
    std::vector<ServiceStatus> all;
    for (const auto &[name, state] : m_services)
        all.push_back({name, state.priority, static_cast<std::size_t>(state.limit), state.inFlight,
                       state.times.quantile(TypicalQuantile)});
    return all;
}

std::size_t AdmissionController::capacityOf(std::uint8_t priority) const
{
    const double share = 1 - PriorityStep * std::min(priority, MaxPrioritySteps);
    return std::max<std::size_t>(static_cast<std::size_t>(share * static_cast<double>(m_capacity)),
                                 1);
}

bool AdmissionController::shouldRefuseAsInfeasible(ServiceState &state, Clock::time_point deadline,
                                                   Clock::time_point now)
{
    if (now >= deadline)
        return true;
    const bool isFeasible = state.times.samples() < MinSamples
        || deadline - now >= state.times.quantile(TypicalQuantile);
    if (!isFeasible && now < state.nextProbe)
        return true;
    if (now >= state.nextProbe)
        state.nextProbe = now + ProbeInterval;
    return false;
}

bool AdmissionController::isBelowLimit(const ServiceState &state)
{
    // The fractional part of the limit admits that fraction of the requests.
    std::uniform_real_distribution<double> spread(0, 1);
    return static_cast<double>(state.inFlight) + spread(m_random) < state.limit;
}

AdmissionRefusal AdmissionController::makeRefusal(RefusalCause cause)
{
    // Adds jitter, so that callers that were refused together do not retry together.
    std::uniform_int_distribution<std::uint32_t> spread(MinRetryAfterMs, MaxRetryAfterMs);
    return {cause, milliseconds(spread(m_random))};
}

void AdmissionController::adapt(ServiceState &state, Clock::time_point now)
{
    Window &window = state.window;
    const Clock::duration age = now - window.startedAt;
    const bool isDue = age >= WindowLength && window.finished >= MinWindowRequests;
    if (!isDue && age < 4 * WindowLength)
        return;
    const auto finished = static_cast<double>(window.finished);
    const bool isBad = static_cast<double>(window.late) > LateShare * finished
        || static_cast<double>(window.slow) > SlowShare * finished;
    if (isBad) {
        state.goodWindows = 0;
        const bool isSevere = static_cast<double>(window.late) > SevereLateShare * finished;
        state.limit =
            std::max(MinLimit, state.limit * (isSevere ? FastShrinkFactor : ShrinkFactor));
        shrinkLowerPriorities(state.priority);
    } else {
        grow(state);
    }
    window = {now, 0, 0, 0, state.inFlight};
}

void AdmissionController::grow(ServiceState &state) const
{
    const Window &window = state.window;
    state.goodWindows = window.slow == 0 ? state.goodWindows + 1 : 0;
    const bool isRecovering =
        state.limit < InitialLimit && state.goodWindows > GoodWindowsToRecover;
    const bool isLimitUsed =
        static_cast<double>(window.maxInFlight) >= std::floor(MinUsedShare * state.limit);
    if (!isRecovering && !isLimitUsed)
        return;
    double step = std::max(MinGrowth, state.limit * GrowthFactor);
    if (isRecovering)
        step *= 1U << std::min(state.goodWindows - GoodWindowsToRecover, MaxDoublings);
    const double bound = isRecovering ? InitialLimit : static_cast<double>(m_capacity);
    state.limit = std::min({state.limit + step, bound, static_cast<double>(m_capacity)});
}

void AdmissionController::shrinkLowerPriorities(std::uint8_t priority)
{
    for (auto &[name, state] : m_services)
        if (state.priority > priority) {
            state.limit = std::max(MinLimit, state.limit * ShrinkFactor);
            state.goodWindows = 0;
        }
}

} // namespace mangoshift
