#pragma once

#include <chrono>
#include <cstddef>

#include "mangoshift/clock.h"
#include "mangoshift/targetlimit.h"

namespace mangoshift {

/// Decides when a VM asks for permits to send a limited target its part of the requests that
/// targets without a limit could take as well.
///
/// Such requests do not wait for a permit. The VM asks for the permits of the next interval in
/// advance, as many as the target was owed in the last one, and lends the target no weight beyond
/// its part. A limit that the VM has not heard for a while may have ended, however few requests
/// there are; then the next request asks for a permit itself, and its response renews or ends the
/// limit. Reads no clock. Not thread safe.
class LimitShare
{
public:
    /// How often permits are asked for in advance. Less than `PermitLifetime`, so that a permit is
    /// at hand without a break.
    static constexpr std::chrono::milliseconds AskInterval{200};
    /// How long after it was last heard a limit is in doubt.
    static constexpr std::chrono::milliseconds DoubtTime{2000};
    /// The least time between two requests of a VM that ask for a permit because of a doubt.
    static constexpr std::chrono::milliseconds ProbeInterval{500};
    /// How long a target that is owed requests may be sent none before that is reported: the time
    /// in which a limit that has ended is noticed.
    static constexpr std::chrono::milliseconds ReportTime{8000};

    /// Records a request of which the target is owed `part` (0 to 1), as other targets could take
    /// it too.
    void onChoice(double part, Clock::time_point now);
    /// Records that the target was sent a request.
    void onSent();
    /// Returns for how many permits to ask now. Call it at least once in each `AskInterval`.
    std::size_t permitsToAsk(const TargetLimit &limit, Clock::time_point now);
    /// Returns whether a request should ask for a permit to the target before it is sent to any
    /// other, and records that it does.
    bool startProbe(const TargetLimit &limit, Clock::time_point now);
    /// Returns whether the target should get the next request for which there is a permit.
    bool isDue(const TargetLimit &limit, Clock::time_point now) const;
    /// Returns for how long the target was owed requests and sent none, up to the last one that it
    /// was owed.
    Clock::duration unusedFor() const;
    /// Returns whether the target has been unused for `ReportTime`, once until it is used again.
    bool shouldReport();
    /// Returns whether a limit has not been heard for `DoubtTime`, so that it may have ended.
    static bool isInDoubt(const TargetLimit &limit, Clock::time_point now);

private:
    /// How many requests the target was owed and not sent; below zero if it was sent more.
    double m_owed = 0.0;
    /// How many it was owed since the last ask.
    double m_owedLately = 0.0;
    Clock::time_point m_askAt{};
    Clock::time_point m_probeAt{};
    /// When the target was first owed a request since it was last sent one; the greatest time point
    /// if it was not.
    Clock::time_point m_unusedSince = Clock::time_point::max();
    Clock::time_point m_lastChoiceAt{};
    bool m_isReported = false;
};

} // namespace mangoshift
