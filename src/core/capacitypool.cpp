#include "mangoshift/capacitypool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "mangoshift/capacityrecorder.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// Usual responses that are assumed beside the reported evidence, as VMs do not report them of a
/// target that has no outlook.
constexpr double AssumedWithSlow = 0.5;
constexpr double AssumedWithLost = 2.0;
/// Smaller deviations are usual.
constexpr double MinSlowness = 1.5;
constexpr double MinLossRate = 0.15;
/// Changes that are sent at once, in logarithms of slowness and in loss rate.
constexpr double SlownessStep = 0.35;
constexpr double LossStep = 0.1;
/// An outlook that does not change is sent again at this interval, within its lifetime.
constexpr milliseconds RefreshInterval{500};
/// The least interval between two news, and between two if a target has stopped responding or
/// responds again.
constexpr milliseconds NewsInterval{100};
constexpr milliseconds UrgentInterval{50};
/// How far urgent news may run ahead of `NewsBytesPerSecond`.
constexpr milliseconds MaxAhead{500};
/// How urgent changes are if there are more than fit.
constexpr double ResponseChange = 100.0;
constexpr double Recovery = 2.0;

} // namespace

void CapacityPool::setIsOwner(bool isOwner)
{
    if (!isOwner) {
        m_targets.clear();
        m_reporters.clear();
    }
    m_isOwner = isOwner;
}

bool CapacityPool::onReport(Reporter reporter, const std::vector<TargetObservation> &report,
                            Clock::time_point now)
{
    std::erase_if(m_reporters,
                  [now](const auto &each) { return now - each.second >= ReporterLifetime; });
    if (!m_isOwner || (m_reporters.size() >= MaxReporters && !m_reporters.contains(reporter)))
        return false;
    m_reporters[reporter] = now;
    for (const TargetObservation &observation : report)
        merge(reporter, observation, now);
    return true;
}

void CapacityPool::merge(Reporter reporter, const TargetObservation &observation,
                         Clock::time_point now)
{
    if (!std::isfinite(observation.logSlowness) || observation.age.count() < 0
        || observation.age >= TargetOutlook::Lifetime
        || (observation.answers == 0 && observation.lost == 0 && observation.overdue == 0)
        || (m_targets.size() >= MaxTargets && !m_targets.contains(observation.target)))
        return;
    Target &target = m_targets[observation.target];
    const Clock::time_point at = now - observation.age;
    target.newestAt = std::max(target.newestAt, at);
    const auto [first, last] = std::pair(target.evidence.begin(), target.evidence.end());
    auto evidence = std::find_if(
        first, last, [reporter](const Evidence &each) { return each.reporter == reporter; });
    if (evidence == last)
        evidence = target.evidence.insert(last, Evidence{reporter, 0.0, 0.0, 0.0, now});
    // Earlier evidence of this VM gives way to what is new.
    const double answers = std::min<double>(observation.answers, MaxWeight);
    const double lost = std::min<double>(observation.lost, MaxWeight);
    const double decay = outlookDecay(now - evidence->updatedAt);
    const double keptAnswers = std::min(evidence->answers * decay, MaxWeight - answers);
    if (evidence->answers > 0.0)
        evidence->logSum *= keptAnswers / evidence->answers;
    const double limit = std::log(TargetOutlook::MaxSlowness);
    const double logSlowness = std::clamp(observation.logSlowness, -limit, limit);
    evidence->logSum += answers * logSlowness;
    evidence->answers = keptAnswers + answers;
    evidence->lost = std::min(evidence->lost * decay, MaxWeight - lost) + lost;
    evidence->updatedAt = now;

    const bool wasSilent = isInForce(target.silent, now);
    if (observation.answers > 0) {
        // The responses came before the requests became overdue that are reported with them.
        const Clock::time_point respondedAt =
            observation.overdue > 0 ? at - CapacityRecorder::ReportInterval : at;
        if (respondedAt >= target.silent.firstAt) {
            // The losses were part of the silence, which is over.
            if (wasSilent)
                for (Evidence &each : target.evidence)
                    each.lost = 0.0;
            target.silent = {};
        }
        mergeResponse(target, reporter, logSlowness >= std::log(SlowRatio), at, now);
    }
    if (observation.overdue > 0)
        confirm(target.silent, reporter, MaxPause, at, now);
    if (wasSilent != isInForce(target.silent, now))
        m_hasUrgentNews = true;
}

void CapacityPool::mergeResponse(Target &target, Reporter reporter, bool isSlow,
                                 Clock::time_point at, Clock::time_point now) const
{
    if (isSlow) {
        target.usualBy.reset();
        confirm(target.slow, reporter, MaxBurst, at, now);
        return;
    }
    if (at < target.slow.lastAt)
        return;
    // Two VMs, or the only one, end what two have confirmed.
    const bool isCertain =
        m_reporters.size() == 1 || (target.usualBy && *target.usualBy != reporter);
    if (!target.usualBy)
        target.usualBy = reporter;
    if (target.slow.isConfirmed && !isCertain)
        return;
    target.slow = {};
    target.usualBy.reset();
}

void CapacityPool::confirm(Confirmation &confirmation, Reporter reporter, Clock::duration minTime,
                           Clock::time_point at, Clock::time_point now) const
{
    if (now - confirmation.lastAt >= TargetOutlook::Lifetime) {
        confirmation = {at, at, reporter, m_reporters.size() == 1, false};
        return;
    }
    confirmation.firstAt = std::min(confirmation.firstAt, at);
    confirmation.lastAt = std::max(confirmation.lastAt, at);
    if (reporter != confirmation.firstBy)
        confirmation.isByOthersToo = true;
    if (confirmation.isByOthersToo && confirmation.lastAt - confirmation.firstAt > minTime)
        confirmation.isConfirmed = true;
}

bool CapacityPool::isInForce(const Confirmation &confirmation, Clock::time_point now)
{
    return confirmation.isConfirmed && now - confirmation.lastAt < TargetOutlook::Lifetime;
}

TargetOutlook CapacityPool::outlook(LimitKey target, Clock::time_point now) const
{
    const auto found = m_targets.find(target);
    return found == m_targets.end() ? TargetOutlook{target} : outlook(target, found->second, now);
}

TargetOutlook CapacityPool::outlook(LimitKey key, const Target &target, Clock::time_point now)
{
    TargetOutlook outlook{key};
    double answers = 0.0;
    double logSum = 0.0;
    double lost = 0.0;
    std::size_t vmsWithLosses = 0;
    for (const Evidence &each : target.evidence) {
        const double decay = outlookDecay(now - each.updatedAt);
        answers += each.answers * decay;
        logSum += each.logSum * decay;
        lost += each.lost * decay;
        vmsWithLosses += each.lost > 0.0 ? 1 : 0;
    }
    // The losses of one VM may be its own fault.
    if (vmsWithLosses == 1)
        lost = std::min(lost, 1.0);
    outlook.weight = answers + lost;
    outlook.isUnresponsive = isInForce(target.silent, now);
    const Clock::time_point newestAt =
        outlook.isUnresponsive ? target.silent.lastAt : target.newestAt;
    outlook.age = std::chrono::duration_cast<milliseconds>(now - newestAt);
    if (outlook.age >= TargetOutlook::Lifetime)
        return {key};
    const double slowness = std::exp(logSum / (answers + AssumedWithSlow));
    if (isInForce(target.slow, now) && slowness >= MinSlowness)
        outlook.slowness = slowness;
    const double lossRate = lost / (lost + answers + AssumedWithLost);
    if (lossRate >= MinLossRate)
        outlook.lossRate = lossRate;
    return outlook;
}

double CapacityPool::urgency(const Target &target, const TargetOutlook &outlook,
                             Clock::time_point now)
{
    const TargetOutlook &known =
        now - target.announcedAt < TargetOutlook::Lifetime ? target.announced : TargetOutlook{};
    if (outlook.isUnresponsive != known.isUnresponsive)
        return ResponseChange;
    if (known.isUnusual() && !outlook.isUnusual())
        return Recovery;
    const double change = std::abs(std::log(outlook.slowness / known.slowness)) / SlownessStep
        + std::abs(outlook.lossRate - known.lossRate) / LossStep;
    if (change >= 1.0)
        return change;
    const Clock::duration age = now - target.announcedAt;
    return outlook.isUnusual() && age >= RefreshInterval ? Seconds(age).count() : 0.0;
}

std::vector<TargetOutlook> CapacityPool::takeNews(Clock::time_point now)
{
    std::vector<TargetOutlook> news;
    const bool mayBeUrgent =
        m_hasUrgentNews && now - m_lastNewsAt >= UrgentInterval && now >= m_nextNewsAt - MaxAhead;
    if (!m_isOwner || (!mayBeUrgent && (now < m_nextNewsAt || now - m_lastNewsAt < NewsInterval)))
        return news;
    m_lastNewsAt = now;
    m_hasUrgentNews = false;
    forgetOld(now);
    struct Candidate
    {
        double urgency;
        TargetOutlook outlook;
        Target *target;
    };
    std::vector<Candidate> candidates;
    for (auto &[key, target] : m_targets) {
        const TargetOutlook outlook = CapacityPool::outlook(key, target, now);
        if (const double each = urgency(target, outlook, now); each > 0.0)
            candidates.push_back({each, outlook, &target});
    }
    const std::size_t size = std::min(candidates.size(), MaxNews);
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(size),
                      candidates.end(), [](const Candidate &a, const Candidate &b) {
                          return std::pair(-a.urgency, a.outlook.target)
                              < std::pair(-b.urgency, b.outlook.target);
                      });
    for (std::size_t i = 0; i < size; ++i) {
        news.push_back(candidates[i].outlook);
        candidates[i].target->announced = candidates[i].outlook;
        candidates[i].target->announcedAt = now;
    }
    if (!news.empty())
        m_nextNewsAt = std::max(m_nextNewsAt, now)
            + std::chrono::duration_cast<Clock::duration>(
                           Seconds(capacityFrameBytes(size) / NewsBytesPerSecond));
    return news;
}

std::vector<CapacityPool::Reporter> CapacityPool::reporters(Clock::time_point now) const
{
    std::vector<Reporter> result;
    for (const auto &[reporter, lastAt] : m_reporters)
        if (now - lastAt < ReporterLifetime)
            result.push_back(reporter);
    return result;
}

void CapacityPool::forgetOld(Clock::time_point now)
{
    // A target is kept until the outlook that was last sent has expired everywhere.
    std::erase_if(m_targets, [now](const auto &each) {
        const Target &target = each.second;
        return now - std::max(target.newestAt, target.announcedAt) >= TargetOutlook::Lifetime;
    });
    for (auto &[key, target] : m_targets)
        std::erase_if(target.evidence, [now](const Evidence &each) {
            return now - each.updatedAt >= 2 * TargetOutlook::Lifetime;
        });
}

} // namespace mangoshift
