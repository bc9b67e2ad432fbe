#include "mangoshift/targetcapacity.h"

#include <algorithm>
#include <cmath>

namespace mangoshift {

namespace {

/// The weight of the assumption that a target is as fast as usual, in pieces of evidence. One piece
/// alone, which may be due to a pause, moves the slowness by the square root of its ratio.
constexpr double PriorWeight = 1.0;
/// Two intervals in a row that deviate by this factor from the mean show that it has changed. Work
/// differs by less from one response to the next, as its kind is taken into account.
constexpr double ChangeFactor = 2.0;
/// Responses of a busy target within `InTimeExcess` times its best latency show that it handles
/// more; those beyond `LateExcess` times show that it does not. Between the two nothing changes, so
/// that the concurrency settles.
constexpr double InTimeExcess = 1.3;
constexpr double LateExcess = 1.6;
/// Late responses reduce the concurrency gradually: one late interval may be due to a pause.
constexpr double LateFactor = 0.85;
/// After a reduction, the former concurrency is not tried again for this long, so that the limit
/// does not alternate while the target handles less.
constexpr std::chrono::milliseconds MinHold{500};
constexpr std::chrono::milliseconds MaxHold{4000};
/// A refusal shows that no slot was free.
constexpr double RefusalFactor = 0.5;
/// A response that is faster than the best by this factor renews the best, as the target has
/// become faster. Smaller differences are noise.
constexpr double FasterFactor = 0.75;
/// What is left of a slot after one late interval still counts as the slot.
constexpr double SlotRounding = 0.4;
/// The gaps between these pairs keep `isSlow` from alternating.
constexpr double SlowSlowness = 2.0;
constexpr double RecoveredSlowness = 1.5;
constexpr double SlowShare = 0.5;
constexpr double RecoveredShare = 0.75;

} // namespace

double DecayedMean::remainingShare(Clock::time_point now) const
{
    const double halfLives =
        static_cast<double>((now - m_updatedAt).count()) / static_cast<double>(m_halfLife.count());
    return std::exp2(-std::max(halfLives, 0.0));
}

void DecayedMean::add(double value, double weight, Clock::time_point now)
{
    const double share = remainingShare(now);
    m_weight = m_weight * share + weight;
    m_sum = m_sum * share + value * weight;
    m_updatedAt = std::max(m_updatedAt, now);
}

void DecayedMean::moveMean(double mean)
{
    m_sum = mean * m_weight;
}

double DecayedMean::weight(Clock::time_point now) const
{
    return m_weight * remainingShare(now);
}

TargetCapacity::TargetCapacity(std::uint32_t slots)
    : m_slots(std::max<std::uint32_t>(slots, 1))
{
}

void TargetCapacity::onAnswered(double ratio, std::uint32_t running, Clock::time_point now)
{
    closeInterval(now);
    if (m_interval.responses == 0)
        m_interval.startedAt = now;
    const double log = std::log(std::clamp(ratio, MinSlowness, MaxSlowness));
    if (renewsBest(log, running)) {
        if (!m_best)
            m_best.emplace(HalfLife);
        m_best->add(log, 1.0, now);
    }
    ++m_interval.responses;
    m_interval.logSum += log;
    // A response that ran beside fewer requests than the limit allows says nothing about the limit.
    if (running >= concurrency()) {
        ++m_interval.busyResponses;
        m_interval.excessSum += log - m_best->mean();
        m_interval.mostRunning = std::max(m_interval.mostRunning, running);
    }
}

bool TargetCapacity::renewsBest(double log, std::uint32_t running) const
{
    // With one request at a time, this VM cannot get a better latency.
    if (!m_best || concurrency() == 1)
        return true;
    const double difference = log - m_best->mean();
    const bool isLightlyLoaded = running <= 1;
    return difference < std::log(FasterFactor)
        || (isLightlyLoaded && difference < std::log(InTimeExcess));
}

void TargetCapacity::onRefused(Clock::time_point now)
{
    reduceConcurrency(RefusalFactor, now);
}

void TargetCapacity::onStatedLoad(const StatedLoad &load, Clock::time_point now)
{
    m_stated = load;
    m_statedAt = now;
    m_concurrency = std::min(m_concurrency, std::max(static_cast<double>(load.slots), 1.0));
    if (load.waiting > 0)
        reduceConcurrency(LateFactor, now);
}

void TargetCapacity::resetConcurrency()
{
    m_concurrency = 1.0;
    m_peakConcurrency = 1.0;
}

void TargetCapacity::closeInterval(Clock::time_point now)
{
    if (m_interval.responses == 0 || now - m_interval.startedAt < EvidenceInterval)
        return;
    const double log = m_interval.logSum / m_interval.responses;
    const double deviation = log - m_logSlowness.mean();
    m_logSlowness.add(log, 1.0, m_interval.startedAt);
    // One interval that deviates much may be due to a pause, two in a row show a change.
    const bool isChange =
        std::min(std::abs(deviation), std::abs(m_lastDeviation)) >= std::log(ChangeFactor)
        && std::signbit(deviation) == std::signbit(m_lastDeviation);
    if (isChange)
        m_logSlowness.moveMean(log);
    m_lastDeviation = isChange ? 0.0 : deviation;
    if (m_interval.busyResponses > 0) {
        const double excess = m_interval.excessSum / m_interval.busyResponses;
        if (excess > std::log(LateExcess) && m_interval.mostRunning > 1)
            reduceConcurrency(LateFactor, now);
        else if (excess <= std::log(InTimeExcess))
            raiseConcurrency(now);
    }
    m_interval = {};
}

void TargetCapacity::raiseConcurrency(Clock::time_point now)
{
    const double step = std::min(m_interval.busyResponses / m_concurrency, 1.0);
    double bound = m_slots;
    if (now < m_heldUntil)
        bound = std::min(bound, std::max(m_reducedFrom - 1.0, m_concurrency));
    m_concurrency = std::min(m_concurrency + step, bound);
    m_peakConcurrency = std::max(m_peakConcurrency, m_concurrency);
}

void TargetCapacity::reduceConcurrency(double factor, Clock::time_point now)
{
    if (now < m_nextReduction)
        return;
    m_nextReduction = now + EvidenceInterval;
    // Doubles if the concurrency was raised in vain.
    const bool isRepeated = now < m_heldUntil + 2 * m_hold;
    m_hold = isRepeated && now >= m_heldUntil ? std::min<Clock::duration>(2 * m_hold, MaxHold)
        : isRepeated                          ? m_hold
                                              : MinHold;
    m_heldUntil = now + m_hold;
    m_reducedFrom = m_concurrency;
    m_concurrency = std::max(m_concurrency * factor, 1.0);
}

TargetCapacity::Evidence TargetCapacity::evidence(Clock::time_point now) const
{
    Evidence found{m_logSlowness.weight(now), m_logSlowness.mean()};
    if (m_interval.responses == 0)
        return found;
    DecayedMean open(HalfLife);
    open.add(m_interval.logSum / m_interval.responses, 1.0, m_interval.startedAt);
    const double weight = open.weight(now);
    found.meanLog = (found.meanLog * found.weight + open.mean() * weight) / (found.weight + weight);
    found.weight += weight;
    return found;
}

const StatedLoad *TargetCapacity::statedLoad(Clock::time_point now) const
{
    return m_stated && now - m_statedAt < StatedLoadLifetime ? &*m_stated : nullptr;
}

double TargetCapacity::slowness(Clock::time_point now) const
{
    const Evidence known = evidence(now);
    const double learned = std::exp(known.meanLog * known.weight / (known.weight + PriorWeight));
    const StatedLoad *stated = statedLoad(now);
    if (stated == nullptr)
        return learned;
    const double work = stated->percent ? *stated->percent / 100.0 : learned;
    // Each full set of waiting requests takes as long as one request.
    const double queue = 1.0 + static_cast<double>(stated->waiting) / std::max(stated->slots, 1U);
    return std::clamp(work * queue, MinSlowness, MaxSlowness);
}

std::uint32_t TargetCapacity::concurrency() const
{
    return std::max(static_cast<std::uint32_t>(m_concurrency + SlotRounding), 1U);
}

double TargetCapacity::confidence(Clock::time_point now) const
{
    const StatedLoad *stated = statedLoad(now);
    if (stated != nullptr && stated->percent)
        return 1.0;
    const double weight = evidence(now).weight;
    return weight / (weight + PriorWeight);
}

bool TargetCapacity::updateSlow(Clock::time_point now)
{
    const double slow = slowness(now);
    const bool isChanging = m_isSlow
        ? slow < RecoveredSlowness && concurrency() >= RecoveredShare * m_peakConcurrency
        : slow >= SlowSlowness || concurrency() <= SlowShare * m_peakConcurrency;
    if (!isChanging) {
        m_changeSince.reset();
        return false;
    }
    if (!m_changeSince)
        m_changeSince = now;
    if (now - *m_changeSince < SlowConfirmTime)
        return false;
    m_changeSince.reset();
    m_isSlow = !m_isSlow;
    return true;
}

} // namespace mangoshift
