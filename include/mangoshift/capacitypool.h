#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/targetoutlook.h"

namespace mangoshift {

/// Merges what the VMs of one failure domain observe of targets, at the owner of the pool.
///
/// All targets pause now and then, which several VMs notice at once. So a target counts as
/// unresponsive, or as slow, only if two VMs (or the only one) say so and their evidence covers
/// more than `MaxPause`, or `MaxBurst`. A VM that reports falsely has little weight. Reads no
/// clock. Not thread safe.
class CapacityPool
{
public:
    /// Identifies a VM that reports.
    using Reporter = std::uint64_t;

    /// The longest pause of a target that is ordinary.
    static constexpr std::chrono::milliseconds MaxPause{250};
    /// How far apart the responses may be that a pause has delayed together.
    static constexpr std::chrono::milliseconds MaxBurst{150};
    /// The most weight of one VM's evidence of a target, in responses.
    static constexpr double MaxWeight = 3.0;
    static constexpr std::size_t MaxTargets = 4096;
    static constexpr std::size_t MaxReporters = 256;
    static constexpr std::size_t MaxNews = 64;
    /// A VM that has not reported or asked for this long gets no news.
    static constexpr std::chrono::milliseconds ReporterLifetime{2000};
    /// What news may take for each VM, in bytes a second.
    static constexpr double NewsBytesPerSecond = 2500.0;

    /// Sets whether this VM owns the pool; at first it does not. An owner starts empty.
    void setIsOwner(bool isOwner);
    /// Merges the report of a VM. Returns whether it was taken: false if this VM is not the owner
    /// or too many VMs report.
    bool onReport(Reporter reporter, const std::vector<TargetObservation> &report,
                  Clock::time_point now);
    /// Returns the news that is due for all reporters; empty if none is.
    std::vector<TargetOutlook> takeNews(Clock::time_point now);
    /// Returns the VMs to send news to.
    std::vector<Reporter> reporters(Clock::time_point now) const;
    /// Returns what is known of a target.
    TargetOutlook outlook(LimitKey target, Clock::time_point now) const;
    std::size_t targetCount() const { return m_targets.size(); }

private:
    /// What one VM has observed of a target, with weights as of `updatedAt`.
    struct Evidence
    {
        Reporter reporter = 0;
        double answers = 0.0;
        double logSum = 0.0;
        double lost = 0.0;
        Clock::time_point updatedAt{};
    };
    /// Evidence that counts once two VMs have given it over a long enough time.
    struct Confirmation
    {
        Clock::time_point firstAt{};
        Clock::time_point lastAt{};
        Reporter firstBy = 0;
        bool isByOthersToo = false;
        bool isConfirmed = false;
    };
    struct Target
    {
        std::vector<Evidence> evidence;
        Confirmation slow;
        /// The VM that has reported a usual response since the last slow one.
        std::optional<Reporter> usualBy;
        Confirmation silent;
        Clock::time_point newestAt{};
        /// What was last sent, and when.
        TargetOutlook announced;
        Clock::time_point announcedAt{};
    };

    void merge(Reporter reporter, const TargetObservation &observation, Clock::time_point now);
    void confirm(Confirmation &confirmation, Reporter reporter, Clock::duration minTime,
                 Clock::time_point at, Clock::time_point now) const;
    void mergeResponse(Target &target, Reporter reporter, bool isSlow, Clock::time_point at,
                       Clock::time_point now) const;
    static bool isInForce(const Confirmation &confirmation, Clock::time_point now);
    static TargetOutlook outlook(LimitKey key, const Target &target, Clock::time_point now);
    /// Returns how urgent it is to send an outlook; zero if it need not be sent.
    static double urgency(const Target &target, const TargetOutlook &outlook,
                          Clock::time_point now);
    void forgetOld(Clock::time_point now);

    bool m_isOwner = false;
    std::unordered_map<LimitKey, Target> m_targets;
    std::map<Reporter, Clock::time_point> m_reporters;
    /// Whether a target has become unresponsive or responds again since the last news.
    bool m_hasUrgentNews = false;
    Clock::time_point m_lastNewsAt{};
    Clock::time_point m_nextNewsAt{};
};

} // namespace mangoshift
