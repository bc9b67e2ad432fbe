#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/targetoutlook.h"

namespace mangoshift {

/// Records what this VM observes of targets, and selects what it reports to its failure domain.
///
/// Of a target that the domain has no outlook for, only unusual observations are reported; of the
/// others all, so that the domain finds out that a target has recovered. Reads no clock. Not thread
/// safe.
class CapacityRecorder
{
public:
    static constexpr std::chrono::milliseconds ReportInterval{200};
    /// A VM with nothing to report asks for the outlooks at this interval.
    static constexpr std::chrono::milliseconds AskInterval{1000};
    static constexpr std::size_t MaxReported = 32;
    /// What reports may take, in bytes a second.
    static constexpr double ReportBytesPerSecond = 2000.0;
    /// Several times the targets of the largest deployment; further ones are not recorded.
    static constexpr std::size_t MaxTargets = 4096;

    /// Records a response. `expected` is the usual latency; zero if it is not known.
    void onAnswered(LimitKey target, Clock::duration latency, Clock::duration expected,
                    Clock::time_point now);
    /// Records a response that says nothing about how long work takes.
    void onResponded(LimitKey target, Clock::time_point now);
    /// Records that a request was lost or failed.
    void onLost(LimitKey target, Clock::time_point now);
    /// Records that a response is overdue.
    void onOverdue(LimitKey target, Clock::time_point now);
    /// Records what the domain knows of a target.
    void onOutlook(const TargetOutlook &outlook, Clock::time_point now);

    /// Returns the report that is due, which is empty if the VM only asks for the outlooks; no
    /// value if nothing is due.
    std::optional<std::vector<TargetObservation>> takeReport(Clock::time_point now);
    /// Returns the outlook of a target, with its present age; no value if there is none.
    std::optional<TargetOutlook> outlook(LimitKey target, Clock::time_point now) const;
    /// Returns how many targets the domain says do not respond.
    std::size_t unresponsiveTargets(Clock::time_point now) const;

private:
    struct Record
    {
        std::uint32_t answers = 0;
        double logSum = 0.0;
        std::uint32_t lost = 0;
        std::uint32_t overdue = 0;
        /// Whether it has been reported that the target does not respond, and it has responded
        /// since.
        bool isContradicted = false;
        Clock::time_point newestAt{};
    };
    struct KnownOutlook
    {
        TargetOutlook outlook;
        Clock::time_point evidenceAt{};
    };

    /// Returns the record to change; null if there are too many.
    Record *record(LimitKey target, Clock::time_point now);
    void addAnswer(LimitKey target, double logSlowness, Clock::time_point now);
    /// Returns how much an observation differs from what the domain knows; zero or less if it need
    /// not be reported.
    double difference(LimitKey target, const Record &record, Clock::time_point now) const;

    std::unordered_map<LimitKey, Record> m_records;
    std::unordered_map<LimitKey, KnownOutlook> m_outlooks;
    /// When it was last reported of a target that responses are overdue, until it responds.
    std::unordered_map<LimitKey, Clock::time_point> m_reportedOverdue;
    Clock::time_point m_reportAt{};
    Clock::time_point m_askAt{};
};

} // namespace mangoshift
