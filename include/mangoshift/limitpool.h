#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "mangoshift/clock.h"

namespace mangoshift {

/// Identifies one incarnation of a target in requests for permits.
using LimitKey = std::uint64_t;

/// Returns the key of the target `id` that started at `startedAt`.
LimitKey limitKey(const std::string &id, std::uint64_t startedAt);

/// A target's limit as a VM has heard it.
struct HeardLimit
{
    LimitKey target = 0;
    /// In requests a second; no value if the target no longer names a limit.
    std::optional<double> limit;
    /// How long ago the VM heard this from the target.
    std::chrono::milliseconds age{0};

    bool operator==(const HeardLimit &) const = default;
};

/// The priority of asks for permits that no request depends on. Those of requests are less.
constexpr std::uint32_t SparePriority = 255;

/// Asks for permits to send the parts of one request to limited targets.
struct PermitAsk
{
    /// The rank of the request, 0 for the most urgent.
    std::uint32_t priority = 0;
    /// The least number of the first `neededParts` parts that must get a permit; with fewer the
    /// request cannot be answered, and gets none.
    std::size_t required = 0;
    /// How many parts have no other targets than limited ones. The parts after these make use of a
    /// permit but do not depend on it.
    std::size_t neededParts = 0;
    /// How long a part may wait for its turn.
    std::chrono::milliseconds maxWait{0};
    /// The limited targets of each part, any one of which will do.
    std::vector<std::vector<HeardLimit>> parts;

    bool operator==(const PermitAsk &) const = default;
};

/// Allows one request to a limited target.
struct Permit
{
    LimitKey target = 0;
    /// When it is valid, counted from the reply of the pool.
    std::chrono::milliseconds validIn{0};

    bool operator==(const Permit &) const = default;
};

/// The reply to a `PermitAsk`.
struct PermitOutcome
{
    /// Whether the required parts have permits.
    bool isGranted = false;
    std::vector<Permit> permits;
    /// If not granted: when to expect that it would be; no value if that is not known.
    std::optional<std::chrono::milliseconds> opensIn;

    bool operator==(const PermitOutcome &) const = default;
};

/// A part of a limit that one failure domain lends to another for a time.
struct LimitLoan
{
    LimitKey target = 0;
    /// In requests a second.
    double rate = 0.0;

    bool operator==(const LimitLoan &) const = default;
};

/// Divides what limited targets take among the VMs of one failure domain.
///
/// Each failure domain has an equal part of each limit, and one pool owner that grants it, so that
/// the domains need not agree on anything and those that are cut off from each other stay within
/// the limit together. A domain's part of a limit builds up over time from nothing, up to one
/// permit and what is due in `MaxBurst`. A request that can wait is granted a permit for when its
/// turn comes, so that it knows at once whether it will come in time. Limits are as new as the
/// newest report of a VM of the domain.
///
/// A domain whose requests find no room borrows from the others what these do not use. The lender
/// goes without it for `LoanTime` from its reply on, and the borrower uses it for `LoanTime` from
/// its request on, which is earlier: so the sum of all parts never exceeds the limit, whichever
/// messages are late or lost. Reads no clock. Not thread safe.
class LimitPool
{
public:
    /// How much of a limit a pool may hold for later.
    static constexpr std::chrono::milliseconds MaxBurst{800};
    /// How long a VM that becomes the owner grants nothing. Covers the lifetime of what the earlier
    /// owner has granted, and VMs that start together and do not know each other yet.
    static constexpr std::chrono::milliseconds HandoverTime{1000};
    /// For how long after that a new owner grants only `NewOwnerShare` of its domain's part. Until
    /// all VMs agree on who is alive, some may still get permits from the earlier owner.
    static constexpr std::chrono::milliseconds NewOwnerTime{4000};
    static constexpr double NewOwnerShare = 0.5;
    /// How long a loan lasts. No longer than `HandoverTime`, as a new owner does not know what the
    /// earlier one has lent.
    static constexpr std::chrono::milliseconds LoanTime{1000};
    /// A target that names a lower limit, or zero, gets requests at this rate of all VMs together,
    /// in requests a second, as it can end its limit in a response only.
    static constexpr double MinLimit = 0.25;
    /// A limit that no VM of the domain has heard for this long, nor was granted a permit for, may
    /// have ended. One permit is then granted ahead of its time, so that a response renews or ends
    /// the limit. Longer than the four seconds in which limits are counted and the lifetime of a
    /// permit.
    static constexpr std::chrono::milliseconds ProbeTime{4600};
    /// The domains do so one after the other within this time, so that the response to one of them
    /// spares the others theirs.
    static constexpr std::chrono::milliseconds ProbeSpread{2000};

    /// `failureDomains` is the number of failure domains that share each limit.
    explicit LimitPool(std::size_t failureDomains);

    /// Raises the number of failure domains that share each limit; a lower number is ignored.
    void growFailureDomains(std::size_t failureDomains);
    /// Sets the place of this domain among `domains` that reach each other, counted from zero.
    void setPlace(std::size_t place, std::size_t domains);
    /// Sets whether this VM owns the pool; at first it does not.
    void setIsOwner(bool isOwner, Clock::time_point now);
    PermitOutcome grant(const PermitAsk &ask, Clock::time_point now);
    /// Returns the targets for which permits were denied lately, and that may be borrowed for.
    std::vector<HeardLimit> wantedLoans(Clock::time_point now);
    /// Returns what this domain lends to another one of what it has no use for.
    std::vector<LimitLoan> lend(const std::vector<HeardLimit> &wanted, Clock::time_point now);
    /// Records a loan that was requested at `requestedAt`.
    void onLoan(const LimitLoan &loan, Clock::time_point requestedAt, Clock::time_point now);
    std::size_t targetCount() const { return m_accounts.size(); }

private:
    /// A change of an account's rate that ends.
    struct RateChange
    {
        double rate = 0.0;
        Clock::time_point until;
    };

    struct Account
    {
        std::optional<double> limit;
        Clock::time_point heardAt{};
        /// When a limit ends that a VM cannot read any more, unless another VM reads it before.
        Clock::time_point endsAt = Clock::time_point::max();
        /// Below zero if permits have been granted that will be due later.
        double permits = 0.0;
        /// Decaying counts of the permits that were granted and denied, and of those denied to
        /// requests that can do without.
        double granted = 0.0;
        double denied = 0.0;
        double spareDenied = 0.0;
        /// When the last permit became or becomes valid, or a time before which no permit may be
        /// granted ahead of its time.
        Clock::time_point lastPermitAt{};
        /// When the limit was last named anew or lowered. A loan that was requested before was a
        /// part of a higher limit.
        Clock::time_point loweredAt{};
        /// Loans from other domains, with a positive rate, and to them, with a negative one.
        std::vector<RateChange> loans;
        Clock::time_point updatedAt{};
    };

    /// Returns whether this VM may grant and lend, and updates the share of the part that it may.
    bool mayGrant(Clock::time_point now);
    Account &account(const HeardLimit &heard, Clock::time_point now);
    /// The domain's own part of the limit, in requests a second.
    double ownRate(const Account &account) const;
    /// The rate at which permits are due, with loans.
    double rate(const Account &account) const;
    /// Adds the permits that have become due since the last update, and drops loans that have
    /// ended.
    void accrue(Account &account, Clock::time_point now) const;
    double capacity(const Account &account) const;
    /// How many permits an account must hold before one is granted to a request of a priority.
    double level(const Account &account, std::uint32_t priority) const;
    /// Returns when an account will hold enough for a request of a priority, if it grants nothing
    /// else and had `further` permits to grant first.
    std::chrono::milliseconds wait(const Account &account, std::uint32_t priority,
                                   double further) const;
    /// Returns whether an account grants permits to asks of a priority. A limit in doubt is asked
    /// about by requests, which use the permit at once; what is granted in advance may expire.
    static bool isOpenTo(const Account &account, std::uint32_t priority);
    /// Returns the first permit that the targets of a part can be sent.
    Permit firstPermit(const std::vector<HeardLimit> &part, std::uint32_t priority) const;
    /// Returns when the part would be granted a permit if all that were denied got one first.
    std::chrono::milliseconds expectedWait(const std::vector<HeardLimit> &part,
                                           std::uint32_t priority) const;
    /// Counts a permit that a part was denied in one of the counts of an account.
    void countDenied(const std::vector<HeardLimit> &part, double Account::*count);
    /// Takes a granted permit from its account.
    void charge(const Permit &permit, Clock::time_point now);
    /// Returns when `lacking` more of the denied parts would be granted permits; no value if they
    /// are fewer.
    std::optional<std::chrono::milliseconds>
    opensIn(const std::vector<const std::vector<HeardLimit> *> &deniedParts, std::size_t lacking,
            std::uint32_t priority) const;
    void forgetUnused(Clock::time_point now);

    std::size_t m_failureDomains;
    /// How much longer than `ProbeTime` this domain leaves a limit in doubt.
    std::chrono::milliseconds m_probeDelay{0};
    bool m_isOwner = false;
    double m_rateShare = 1.0;
    Clock::time_point m_grantsStartAt = Clock::time_point::max();
    std::unordered_map<LimitKey, Account> m_accounts;
    Clock::time_point m_forgetAt{};
};

} // namespace mangoshift
