#include "mangoshift/capacityrecorder.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>

namespace mangoshift {

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

/// What has not fitted into the reports for this long is dropped.
constexpr milliseconds MaxRecordAge{1000};
/// How much kinds of observations count when there are more than a report holds: what ends or
/// starts an avoidance first, then losses, then slowness.
constexpr double EndsSilence = 10.0;
constexpr double StartsSilence = 6.0;
constexpr double Loss = 4.0;
constexpr double Refresh = 0.5;
constexpr std::uint32_t MaxCounted = 3;

} // namespace

double outlookDecay(Clock::duration age)
{
    return std::exp2(-std::max(Seconds(age), Seconds(0.0)) / Seconds(TargetOutlook::HalfLife));
}

CapacityRecorder::Record *CapacityRecorder::record(LimitKey target, Clock::time_point now)
{
    if (m_records.size() >= MaxTargets && !m_records.contains(target))
        return nullptr;
    Record &record = m_records[target];
    record.newestAt = now;
    return &record;
}

void CapacityRecorder::addAnswer(LimitKey target, double logSlowness, Clock::time_point now)
{
    Record *record = this->record(target, now);
    if (record == nullptr)
        return;
    ++record->answers;
    record->logSum += logSlowness;
    record->overdue = 0;
    if (m_reportedOverdue.erase(target) > 0)
        record->isContradicted = true;
}

void CapacityRecorder::onAnswered(LimitKey target, Clock::duration latency,
                                  Clock::duration expected, Clock::time_point now)
{
    if (expected.count() <= 0) {
        onResponded(target, now);
        return;
    }
    const double ratio =
        static_cast<double>(latency.count()) / static_cast<double>(expected.count());
    constexpr double most = TargetOutlook::MaxSlowness;
    addAnswer(target, std::log(std::clamp(ratio, 1.0 / most, most)), now);
}

void CapacityRecorder::onResponded(LimitKey target, Clock::time_point now)
{
    const auto known = outlook(target, now);
    addAnswer(target, known ? std::log(known->slowness) : 0.0, now);
}

void CapacityRecorder::onLost(LimitKey target, Clock::time_point now)
{
    if (Record *record = this->record(target, now))
        ++record->lost;
}

void CapacityRecorder::onOverdue(LimitKey target, Clock::time_point now)
{
    if (Record *record = this->record(target, now))
        ++record->overdue;
}

void CapacityRecorder::onOutlook(const TargetOutlook &outlook, Clock::time_point now)
{
    if (!outlook.isUnusual())
        m_outlooks.erase(outlook.target);
    else if (m_outlooks.size() < MaxTargets || m_outlooks.contains(outlook.target))
        m_outlooks[outlook.target] = {outlook, now - outlook.age};
}

double CapacityRecorder::difference(LimitKey target, const Record &record,
                                    Clock::time_point now) const
{
    const auto known = outlook(target, now);
    double difference = known ? Refresh : 0.0;
    if (record.overdue > 0)
        difference += known && known->isUnresponsive ? Refresh : StartsSilence;
    else if (record.isContradicted || (known && known->isUnresponsive && record.answers > 0))
        difference += EndsSilence;
    if (record.lost > 0)
        difference += Loss;
    if (record.answers == 0)
        return difference;
    const double mean = record.logSum / record.answers;
    const double unexpected = std::abs(mean - (known ? std::log(known->slowness) : 0.0));
    if (known || mean >= std::log(SlowRatio))
        difference += unexpected * std::min(record.answers, MaxCounted);
    return difference;
}

std::optional<std::vector<TargetObservation>> CapacityRecorder::takeReport(Clock::time_point now)
{
    if (now < m_reportAt)
        return std::nullopt;
    std::erase_if(m_outlooks, [now](const auto &each) {
        return now - each.second.evidenceAt >= TargetOutlook::Lifetime;
    });
    std::erase_if(m_reportedOverdue,
                  [now](const auto &each) { return now - each.second >= TargetOutlook::Lifetime; });
    std::vector<std::pair<double, LimitKey>> ranked;
    for (const auto &[target, record] : m_records)
        if (const double each = difference(target, record, now); each > 0.0)
            ranked.emplace_back(each, target);
    const std::size_t size = std::min(ranked.size(), MaxReported);
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size),
                      ranked.end(), std::greater<>());
    std::vector<TargetObservation> report;
    for (std::size_t i = 0; i < size; ++i) {
        const LimitKey target = ranked[i].second;
        const Record &record = m_records.at(target);
        report.push_back({target, record.answers,
                          record.answers > 0 ? record.logSum / record.answers : 0.0, record.lost,
                          record.overdue,
                          std::chrono::duration_cast<milliseconds>(now - record.newestAt)});
        if (record.overdue > 0)
            m_reportedOverdue[target] = now;
    }
    // What did not fit is reported next time, if it is recent.
    std::unordered_map<LimitKey, Record> left;
    for (std::size_t i = size; i < ranked.size(); ++i)
        if (const Record &record = m_records.at(ranked[i].second);
            now - record.newestAt < MaxRecordAge)
            left.emplace(ranked[i].second, record);
    m_records = std::move(left);
    if (report.empty() && now < m_askAt)
        return std::nullopt;
    m_askAt = now + AskInterval;
    m_reportAt = now
        + std::max<Clock::duration>(ReportInterval,
                                    std::chrono::duration_cast<Clock::duration>(
                                        Seconds(capacityFrameBytes(size) / ReportBytesPerSecond)));
    return report;
}

std::optional<TargetOutlook> CapacityRecorder::outlook(LimitKey target, Clock::time_point now) const
{
    const auto known = m_outlooks.find(target);
    if (known == m_outlooks.end() || now - known->second.evidenceAt >= TargetOutlook::Lifetime)
        return std::nullopt;
    TargetOutlook outlook = known->second.outlook;
    outlook.age = std::chrono::duration_cast<milliseconds>(now - known->second.evidenceAt);
    return outlook;
}

std::size_t CapacityRecorder::unresponsiveTargets(Clock::time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_outlooks.begin(), m_outlooks.end(), [now](const auto &each) {
            return each.second.outlook.isUnresponsive
                && now - each.second.evidenceAt < TargetOutlook::Lifetime;
        }));
}

} // namespace mangoshift
