#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// Tells whether the targets of a failure domain have stopped responding together, as when the
/// links to the domain are cut.
///
/// A domain is silent once responses of `MinOverdueTargets` of its targets are overdue and none of
/// its targets has responded since these requests were sent. So a VM need not find out for each
/// target by itself, which would cost a request of a caller each. Single targets that are slow,
/// paused or down do not make a domain silent, as the others respond. Any response ends the
/// silence. While it lasts, one request at a time is sent there to find out whether the domain
/// responds again. Reads no clock. Not thread safe.
class DomainReach
{
public:
    /// With fewer, targets that pause at the same time by chance would count as a silent domain.
    static constexpr std::size_t MinOverdueTargets = 4;
    /// The least time between two requests that find out whether a domain responds again.
    static constexpr std::chrono::milliseconds ProbeInterval{250};
    /// A silence of which there has been no evidence for this long is forgotten, as there may be no
    /// requests that can find out.
    static constexpr std::chrono::milliseconds EvidenceLifetime{2000};

    /// Records that the response of a target to a request that was sent at `sentAt` is overdue.
    /// Returns whether the domain is silent from now on and was not before.
    bool onOverdue(const std::string &failureDomain, const TargetId &target,
                   Clock::time_point sentAt, Clock::time_point now);
    /// Records a response of any target of a domain. Returns whether this ends a silence.
    bool onResponse(const std::string &failureDomain, Clock::time_point now);
    /// Records that a request is sent to a target of a domain.
    void onSent(const std::string &failureDomain, Clock::time_point now);

    bool isSilent(const std::string &failureDomain, Clock::time_point now) const;
    /// Returns whether a request that finds out if a silent domain responds again is due.
    bool isProbeDue(const std::string &failureDomain, Clock::time_point now) const;
    /// Returns the silent domains.
    std::vector<std::string> silentDomains(Clock::time_point now) const;

private:
    struct Domain
    {
        /// The targets whose responses are overdue, since the last response from the domain.
        std::set<TargetId> overdue;
        Clock::time_point lastEvidenceAt{};
        Clock::time_point lastResponseAt{};
        Clock::time_point lastSentAt{};
    };

    static bool isSilent(const Domain &domain, Clock::time_point now);

    std::map<std::string, Domain> m_domains;
};

} // namespace mangoshift
