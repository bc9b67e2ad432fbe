#include "mangoshift/admission.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace mangoshift {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::array<std::string_view, 3> CauseNames{"vm_limit", "service_limit", "infeasible"};

/// A window is judged once it is this old and has this many ends, or once it is four times as old.
constexpr milliseconds WindowLength{40};
constexpr std::size_t WindowEnds = 8;
/// A window is bad when more than this share came late, or over the target share of the deadline.
constexpr double LateShare = 0.05;
constexpr double OverTargetShare = 0.25;
constexpr double ShrinkFactor = 0.85;
/// Where more than `ManyLateShare` came late, the limit is far off.
constexpr double ManyLateShare = 0.3;
constexpr double FastShrinkFactor = 0.6;
constexpr double GrowthFactor = 0.05;
constexpr double MinGrowth = 0.1;
/// After this many calm windows on end a limit under the initial one is regained, each step twice
/// the one before. At a crest so many come on end by chance alone too seldom to matter.
constexpr std::uint32_t CalmWindows = 2;
constexpr std::uint32_t MaxDoublings = 8;
/// A shard that more than this share of requests misses is broken rather than overloaded.
constexpr double BrokenShare = 0.8;
constexpr double MissWeight = 0.05;
constexpr double ForgottenShare = 0.01;
/// The limit grows only where this share of it was in use, else it would grow without bound.
constexpr double UsedShare = 0.75;
/// What each step down in priority may fill of the VM's capacity less than the one above.
constexpr double PriorityStep = 0.2;
constexpr std::uint8_t MaxPriorityStep = 3;
constexpr double TypicalQuantile = 0.5;
constexpr std::uint32_t MinSamples = 32;
/// One request that seems infeasible is let through this often, to see whether it still is.
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
        return refusal(RefusalCause::VmLimit);
    if (isInfeasible(state, deadline, now))
        return refusal(RefusalCause::Infeasible);
    if (!hasRoom(state)) {
        state.window.mostInFlight = state.inFlight;
        return refusal(RefusalCause::ServiceLimit);
    }
    ++m_inFlight;
    ++state.inFlight;
    state.window.mostInFlight = std::max(state.window.mostInFlight, state.inFlight);
    return std::nullopt;
}

void AdmissionController::onFinished(const std::string &service, const AdmittedOutcome &outcome,
                                     Clock::time_point now)
{
    ServiceState &state = m_services[service];
    --m_inFlight;
    --state.inFlight;
    const bool isLate = noteMisses(state.missRates, outcome.missedShards);
    if (!isLate && !outcome.elapsed)
        return;
    const auto target = std::chrono::duration<double>(outcome.timeAllowed) * TargetShare;
    ++state.window.ended;
    state.window.late += isLate ? 1 : 0;
    state.window.overTarget += outcome.elapsed.value_or(outcome.timeAllowed) > target ? 1 : 0;
    if (!isLate)
        state.times.record(std::chrono::duration_cast<microseconds>(*outcome.elapsed));
    adapt(state, now);
}

/// Returns true where a shard was missed that is not broken.
bool AdmissionController::noteMisses(MissRates &rates, const std::vector<std::string> &missedShards)
{
    const bool isLate =
        std::any_of(missedShards.begin(), missedShards.end(),
                    [&](const std::string &shard) { return rates[shard] < BrokenShare; });
    for (auto &[shard, rate] : rates)
        rate *= 1 - MissWeight;
    for (const std::string &shard : missedShards)
        rates[shard] += MissWeight;
    std::erase_if(rates, [](const auto &each) { return each.second < ForgottenShare; });
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
    const double share = 1 - PriorityStep * std::min(priority, MaxPriorityStep);
    return std::max<std::size_t>(static_cast<std::size_t>(share * static_cast<double>(m_capacity)),
                                 1);
}

bool AdmissionController::isInfeasible(ServiceState &state, Clock::time_point deadline,
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

bool AdmissionController::hasRoom(const ServiceState &state)
{
    // A fraction of a place is given to that fraction of the requests that ask for it.
    std::uniform_real_distribution<double> spread(0, 1);
    return static_cast<double>(state.inFlight) + spread(m_random) < state.limit;
}

AdmissionRefusal AdmissionController::refusal(RefusalCause cause)
{
    // Spread, so that those who were refused together do not come back together.
    std::uniform_int_distribution<std::uint32_t> spread(MinRetryAfterMs, MaxRetryAfterMs);
    return {cause, milliseconds(spread(m_random))};
}

void AdmissionController::adapt(ServiceState &state, Clock::time_point now)
{
    Window &window = state.window;
    const Clock::duration age = now - window.began;
    const bool isDue = age >= WindowLength && window.ended >= WindowEnds;
    if (!isDue && age < 4 * WindowLength)
        return;
    const auto ended = static_cast<double>(window.ended);
    const bool isBad = static_cast<double>(window.late) > LateShare * ended
        || static_cast<double>(window.overTarget) > OverTargetShare * ended;
    if (isBad) {
        state.calmWindows = 0;
        const bool isFarOff = static_cast<double>(window.late) > ManyLateShare * ended;
        state.limit =
            std::max(MinLimit, state.limit * (isFarOff ? FastShrinkFactor : ShrinkFactor));
        shrinkBelow(state.priority);
    } else {
        grow(state);
    }
    window = {now, 0, 0, 0, state.inFlight};
}

void AdmissionController::grow(ServiceState &state) const
{
    const Window &window = state.window;
    state.calmWindows = window.overTarget == 0 ? state.calmWindows + 1 : 0;
    const bool isRegained = state.limit < InitialLimit && state.calmWindows > CalmWindows;
    const bool isUsed =
        static_cast<double>(window.mostInFlight) >= std::floor(UsedShare * state.limit);
    if (!isRegained && !isUsed)
        return;
    double step = std::max(MinGrowth, state.limit * GrowthFactor);
    if (isRegained)
        step *= 1U << std::min(state.calmWindows - CalmWindows, MaxDoublings);
    const double bound = isRegained ? InitialLimit : static_cast<double>(m_capacity);
    state.limit = std::min({state.limit + step, bound, static_cast<double>(m_capacity)});
}

void AdmissionController::shrinkBelow(std::uint8_t priority)
{
    for (auto &[name, state] : m_services)
        if (state.priority > priority) {
            state.limit = std::max(MinLimit, state.limit * ShrinkFactor);
            state.calmWindows = 0;
        }
}

} // namespace mangoshift
