#include "mangoshift/targetload.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace mangoshift {

namespace {

/// The weight of the newest response in the moving average of slowness. The last ten or so
/// responses dominate, which is about a second of one VM's requests to one target in the users'
/// deployments.
constexpr double SlownessWeight = 0.2;
constexpr double MaxSlowness = 10.0;
constexpr double MinSlowness = 0.5;
/// How long a target is avoided after a first stall or loss. The users' targets occasionally pause
/// for 200 ms.
constexpr std::chrono::milliseconds FirstAvoidance{200};
/// The maximum avoidance; a target that has recovered gets a request within this time.
constexpr std::chrono::milliseconds MaxAvoidance{1600};
/// How long a target that has refused a request is avoided: about the time it needs for one
/// request.
constexpr std::chrono::milliseconds RefusalAvoidance{20};
/// A target counts as failing, which is logged, after this many consecutive unanswered requests.
constexpr std::uint32_t FailuresUntilFailing = 2;
/// A target that is warming up costs this many times as much.
constexpr double WarmupCost = 1.6;
/// Responses within `InTimeRatio` times the expected latency show that the target has capacity for
/// more requests; responses at or beyond `TooLateRatio` times show that it has not.
constexpr double InTimeRatio = 1.3;
constexpr double TooLateRatio = 2.0;
/// The most by which an outlook multiplies the cost. As weights fall with the square of the cost,
/// a target then gets about a tenth of its usual requests, some one in two seconds from the VMs of
/// a domain, so that they find out that it has recovered.
constexpr double MaxOutlookCost = 5.0;
/// A request that is lost costs as much as this many more, as it delays or fails its caller.
constexpr double LossCost = 8.0;

} // namespace

void TargetLoad::setLearnsCapacity(bool learns)
{
    if (!learns)
        m_capacity.reset();
    else if (!m_capacity)
        m_capacity.emplace(m_slots);
}

void TargetLoad::onStatedLoad(const StatedLoad &load, Clock::time_point now)
{
    if (m_capacity)
        m_capacity->onStatedLoad(load, now);
}

void TargetLoad::resetLimit()
{
    m_limit.reset();
    if (m_capacity)
        m_capacity->resetConcurrency();
}

std::uint32_t TargetLoad::limit() const
{
    if (!m_capacity)
        return m_limit.limit();
    // What was learned outlasts a pause, but one request is enough to find out whether it is over.
    return m_awaitsTimelyResponse ? 1 : m_capacity->concurrency();
}

double TargetLoad::slowness(Clock::time_point now) const
{
    return m_capacity ? m_capacity->slowness(now) : m_slowness;
}

void TargetLoad::onAnswered(Clock::duration latency, Clock::duration expected,
                            Clock::time_point now)
{
    const std::uint32_t running = m_inFlight--;
    m_lastAnswerAt = now;
    m_consecutiveFailures = 0;
    m_avoidUntil = std::min(m_avoidUntil, now);
    m_outlook.isUnresponsive = false;
    if (expected.count() <= 0) {
        m_awaitsTimelyResponse = false;
        return;
    }
    const double ratio =
        static_cast<double>(latency.count()) / static_cast<double>(expected.count());
    if (m_capacity) {
        m_capacity->onAnswered(ratio, running, now);
        if (ratio < TooLateRatio * std::max(1.0, m_capacity->slowness(now)))
            m_awaitsTimelyResponse = false;
    }
    if (ratio <= InTimeRatio)
        m_limit.onSuccess();
    else if (ratio >= TooLateRatio)
        m_limit.onShed(now);
    m_slowness += SlownessWeight * (std::clamp(ratio, MinSlowness, MaxSlowness) - m_slowness);
}

void TargetLoad::onRefused(Clock::time_point now)
{
    --m_inFlight;
    m_limit.onShed(now);
    m_outlook.isUnresponsive = false;
    if (m_capacity)
        m_capacity->onRefused(now);
    m_avoidUntil = std::max(m_avoidUntil, now + RefusalAvoidance);
}

void TargetLoad::onLost(Clock::time_point now)
{
    --m_inFlight;
    m_limit.reset();
    startAvoidance(now);
}

void TargetLoad::onOverdue(Clock::duration usualTime, Clock::time_point now)
{
    // A target that answers others does not stall: this request takes long.
    if (now - m_lastAnswerAt >= usualTime)
        m_limit.reset();
    if (!isAvoided(now))
        startAvoidance(now);
}

void TargetLoad::startAvoidance(Clock::time_point now)
{
    const auto avoidance = FirstAvoidance * (1U << std::min(m_consecutiveFailures, 3U));
    ++m_consecutiveFailures;
    m_awaitsTimelyResponse = true;
    // A longer outage is no pause: the target may be cold afterwards.
    if (m_capacity && isFailing())
        m_capacity->resetConcurrency();
    m_avoidUntil = std::max(m_avoidUntil, now + std::min<Clock::duration>(avoidance, MaxAvoidance));
}

void TargetLoad::onOutlook(const TargetOutlook &outlook, Clock::time_point now)
{
    const bool isValid = std::isfinite(outlook.slowness) && outlook.slowness > 0.0
        && outlook.lossRate >= 0.0 && outlook.lossRate <= 1.0 && outlook.weight >= 0.0
        && std::isfinite(outlook.weight) && outlook.age.count() >= 0;
    if (!isValid || outlook.age >= TargetOutlook::Lifetime)
        return;
    m_outlook = outlook;
    m_outlookUntil = now - outlook.age + TargetOutlook::Lifetime;
    if (m_lastAnswerAt != Clock::time_point() && m_lastAnswerAt >= now - outlook.age)
        m_outlook.isUnresponsive = false;
}

double TargetLoad::slownessWithOutlook(Clock::time_point now) const
{
    const double own = slowness(now);
    if (now >= m_outlookUntil)
        return own;
    const double ownWeight =
        m_lastAnswerAt == Clock::time_point() ? 0.0 : outlookDecay(now - m_lastAnswerAt);
    const double weight =
        m_outlook.weight * outlookDecay(now - (m_outlookUntil - TargetOutlook::Lifetime));
    const double share = weight <= 0.0 ? 0.0 : weight / (weight + ownWeight);
    const double slowness =
        std::exp((1.0 - share) * std::log(own) + share * std::log(m_outlook.slowness));
    return std::clamp(slowness * (1.0 + LossCost * m_outlook.lossRate), MinSlowness,
                      own * MaxOutlookCost);
}

bool TargetLoad::isFailing() const
{
    return m_consecutiveFailures >= FailuresUntilFailing;
}

double TargetLoad::cost(Clock::time_point now) const
{
    return (m_inFlight + 1.0) * slownessWithOutlook(now) * m_relativeCost
        * (now < m_warmupEnd ? WarmupCost : 1.0);
}

std::optional<std::size_t> pickTarget(std::span<const TargetLoad *const> targets,
                                      Clock::time_point now, double draw)
{
    if (targets.empty())
        return std::nullopt;
    const bool hasUnavoided = std::any_of(
        targets.begin(), targets.end(), [now](const auto *load) { return !load->isAvoided(now); });
    std::vector<double> weights(targets.size(), 0.0);
    double total = 0.0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (hasUnavoided && targets[i]->isAvoidedAfterStall(now))
            continue;
        const double cost =
            targets[i]->cost(now) * (targets[i]->isAvoidedByOutlook(now) ? MaxOutlookCost : 1.0);
        weights[i] = 1.0 / (cost * cost);
        total += weights[i];
    }
    double remaining = draw * total;
    std::size_t picked = 0;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (weights[i] <= 0.0)
            continue;
        picked = i;
        remaining -= weights[i];
        if (remaining < 0.0)
            break;
    }
    return picked;
}

} // namespace mangoshift
