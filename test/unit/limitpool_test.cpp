#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/limitpool.h"
#include "mangoshift/limitshare.h"
#include "mangoshift/targetlimit.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1000s};
const Clock::time_point Ready = Start + LimitPool::HandoverTime + LimitPool::NewOwnerTime;

HeardLimit limitOf(LimitKey target, std::optional<double> limit,
                   std::chrono::milliseconds age = 0ms)
{
    return {target, limit, age};
}

PermitAsk askFor(std::vector<HeardLimit> part, std::uint32_t priority = 0,
                 std::chrono::milliseconds maxWait = 0ms)
{
    return {priority, 1, 1, maxWait, {std::move(part)}};
}

/// Returns how many of `count` asks for a permit are granted.
std::size_t countGranted(LimitPool &pool, const PermitAsk &ask, std::size_t count,
                         Clock::time_point now)
{
    std::size_t granted = 0;
    for (std::size_t i = 0; i < count; ++i)
        granted += pool.grant(ask, now).isGranted ? 1 : 0;
    return granted;
}

/// What the rule of the users allows a target to get in some span of four seconds.
double allowedIn4s(double limit)
{
    return 1.5 * 4.0 * limit + 5.0;
}

/// Records when a target got requests.
class Arrivals
{
public:
    void add(Clock::time_point at)
    {
        m_times.push_back(at);
        while (at - m_times.front() >= 4s)
            m_times.pop_front();
        m_most = std::max(m_most, m_times.size());
        ++m_total;
    }
    /// The most requests in any span of four seconds.
    std::size_t mostIn4s() const { return m_most; }
    std::size_t total() const { return m_total; }

private:
    std::deque<Clock::time_point> m_times;
    std::size_t m_most = 0;
    std::size_t m_total = 0;
};

} // namespace

TEST_CASE("A limit pool")
{
    LimitPool pool(2);

    SECTION("grants nothing if another VM owns it")
    {
        CHECK_FALSE(pool.grant(askFor({limitOf(1, 10.0)}), Ready).isGranted);
    }
    SECTION("grants nothing until the permits of an earlier owner have expired")
    {
        pool.setIsOwner(true, Start);
        pool.grant(askFor({limitOf(1, 10.0)}), Start);
        const Clock::time_point grantsStart = Start + LimitPool::HandoverTime;
        CHECK_FALSE(pool.grant(askFor({limitOf(1, 1000.0)}), grantsStart - 1ms).isGranted);
        pool.grant(askFor({limitOf(1, 1000.0)}), grantsStart);
        CHECK(pool.grant(askFor({limitOf(1, 1000.0)}), grantsStart + 100ms).isGranted);
        CHECK(LimitPool::HandoverTime >= PermitLifetime);
    }
    SECTION("grants half of its part at first, as some VMs may still know an earlier owner")
    {
        pool.setIsOwner(true, Start);
        const Clock::time_point grantsStart = Start + LimitPool::HandoverTime;
        pool.grant(askFor({limitOf(1, 40.0)}), grantsStart);
        CHECK(countGranted(pool, askFor({limitOf(1, 40.0)}), 50, grantsStart + 500ms) == 5);
    }
    SECTION("starts each limit without permits and grants its domain's part of it")
    {
        pool.setIsOwner(true, Start);
        CHECK(countGranted(pool, askFor({limitOf(1, 10.0)}), 50, Ready) == 0);
        CHECK(countGranted(pool, askFor({limitOf(1, 10.0)}), 50, Ready + 200ms) == 1);
        CHECK(countGranted(pool, askFor({limitOf(1, 10.0)}), 50, Ready + 10s) == 5);
    }
    SECTION("says when a permit is due if all that were denied came first")
    {
        pool.setIsOwner(true, Start);
        const auto first = pool.grant(askFor({limitOf(1, 10.0)}), Ready);
        REQUIRE(first.opensIn);
        CHECK(*first.opensIn == 200ms);
        CHECK(pool.grant(askFor({limitOf(1, 10.0)}), Ready).opensIn == 400ms);
    }
    SECTION("grants a request that can wait a permit for when its turn comes")
    {
        pool.setIsOwner(true, Start);
        const auto ask = askFor({limitOf(1, 10.0)}, 0, 500ms);
        CHECK(pool.grant(ask, Ready).permits == std::vector<Permit>{{1, 200ms}});
        CHECK(pool.grant(ask, Ready).permits == std::vector<Permit>{{1, 400ms}});
        CHECK_FALSE(pool.grant(ask, Ready).isGranted);
        CHECK(pool.grant(ask, Ready + 150ms).permits == std::vector<Permit>{{1, 450ms}});
        SECTION("and requests that cannot wait come after it")
        {
            CHECK_FALSE(pool.grant(askFor({limitOf(1, 10.0)}), Ready + 600ms).isGranted);
            CHECK(pool.grant(askFor({limitOf(1, 10.0)}), Ready + 800ms).isGranted);
        }
    }
    SECTION("chooses the target with more permits left")
    {
        pool.setIsOwner(true, Start);
        pool.grant(askFor({limitOf(1, 10.0), limitOf(2, 20.0)}), Ready);
        const auto outcome =
            pool.grant(askFor({limitOf(1, 10.0), limitOf(2, 20.0)}), Ready + 300ms);
        CHECK(outcome.permits == std::vector<Permit>{{2, 0ms}});
    }
    SECTION("grants any request for a target that is known to have ended its limit")
    {
        pool.setIsOwner(true, Start);
        pool.grant(askFor({limitOf(1, 10.0)}), Ready);
        pool.grant({0, 0, 0, 0ms, {{limitOf(1, std::nullopt, 5ms)}}}, Ready + 10ms);
        CHECK(countGranted(pool, askFor({limitOf(1, 10.0, 8ms)}), 20, Ready + 10ms) == 20);
        SECTION("unless a VM has heard a limit since")
        {
            CHECK(countGranted(pool, askFor({limitOf(1, 10.0, 1ms)}), 20, Ready + 10ms) == 0);
        }
    }
    SECTION("goes by the newest report of a limit")
    {
        pool.setIsOwner(true, Start);
        pool.grant(askFor({limitOf(1, 2.0)}), Ready);
        CHECK(countGranted(pool, askFor({limitOf(1, 100.0, 500ms)}), 50, Ready + 500ms) == 0);
        CHECK(countGranted(pool, askFor({limitOf(1, 2.0, 200ms)}), 50, Ready + 1000ms) == 1);
    }
    SECTION("grants a query all that it requires or nothing")
    {
        pool.setIsOwner(true, Start);
        const PermitAsk query{0, 2, 2, 0ms, {{limitOf(1, 10.0)}, {limitOf(2, 2.0)}}};
        pool.grant(query, Ready);
        const auto denied = pool.grant(query, Ready + 300ms);
        CHECK_FALSE(denied.isGranted);
        CHECK(denied.permits.empty());
        CHECK(pool.grant(askFor({limitOf(1, 10.0)}), Ready + 300ms).isGranted);
        CHECK(pool.grant(query, Ready + 2s).permits == std::vector<Permit>{{1, 0ms}, {2, 0ms}});
    }
    SECTION("grants a query without the parts that it does not require")
    {
        pool.setIsOwner(true, Start);
        const PermitAsk query{0, 1, 2, 0ms, {{limitOf(1, 10.0)}, {limitOf(2, 2.0)}}};
        pool.grant(query, Ready);
        const auto outcome = pool.grant(query, Ready + 300ms);
        CHECK(outcome.isGranted);
        CHECK(outcome.permits == std::vector<Permit>{{1, 0ms}});
    }
    SECTION("keeps some permits for the most urgent requests")
    {
        pool.setIsOwner(true, Start);
        pool.grant(askFor({limitOf(1, 20.0)}), Ready);
        const std::size_t less = countGranted(pool, askFor({limitOf(1, 20.0)}, 2), 50, Ready + 5s);
        const std::size_t most = countGranted(pool, askFor({limitOf(1, 20.0)}, 0), 50, Ready + 5s);
        CHECK(less == 6);
        CHECK(most == 3);
    }
    SECTION("still lets a target be probed that takes nothing")
    {
        pool.setIsOwner(true, Start);
        pool.grant(askFor({limitOf(1, 0.0)}), Ready);
        CHECK(countGranted(pool, askFor({limitOf(1, 0.0)}), 50, Ready + 7s) == 0);
        CHECK(countGranted(pool, askFor({limitOf(1, 0.0)}), 50, Ready + 8s) == 1);
    }
    SECTION("keeps a part of what built up under a higher limit when a target names a lower one")
    {
        pool.setIsOwner(true, Start);
        CHECK(countGranted(pool, askFor({limitOf(1, 10.0)}), 1, Ready) == 0);
        // As much as a pool may hold for later: one permit and what is due in 800 ms.
        const Clock::time_point loweredAt = Ready + 10s;
        CHECK(countGranted(pool, askFor({limitOf(1, 10.0, 10s)}), 1, loweredAt) == 1);
        SECTION("as large as the new limit is of the old one")
        {
            CHECK(countGranted(pool, askFor({limitOf(1, 5.0)}), 50, loweredAt) == 2);
        }
        SECTION("which is less than a permit for one that takes nothing")
        {
            const auto ask = askFor({limitOf(1, 0.0)}, 0, 3000ms);
            CHECK(countGranted(pool, ask, 50, loweredAt) == 0);
        }
    }
    SECTION("does not use a loan that was requested while the limit was higher")
    {
        pool.setIsOwner(true, Start);
        LimitPool other(3);
        other.setIsOwner(true, Start);
        const auto ask = askFor({limitOf(1, 30.0)});
        countGranted(pool, ask, 2, Ready);
        const auto loans = other.lend(pool.wantedLoans(Ready), Ready);
        REQUIRE(loans.size() == 1);
        const auto lower = askFor({limitOf(1, 0.0)});
        countGranted(pool, lower, 1, Ready + 50ms);
        pool.onLoan(loans.front(), Ready, Ready + 100ms);
        CHECK(countGranted(pool, lower, 5, Ready + 900ms) == 0);
    }
    SECTION("grants permits in advance only while the limit is in no doubt")
    {
        pool.setIsOwner(true, Start);
        const auto grantAfter = [&pool](std::chrono::milliseconds age, std::uint32_t priority) {
            const PermitAsk ask{priority, 0, 0, 0ms, {{limitOf(1, 2.0, age)}}};
            return pool.grant(ask, Ready + age).permits.size();
        };
        grantAfter(0ms, SparePriority);
        CHECK(grantAfter(LimitShare::DoubtTime - 1ms, SparePriority) == 1);
        CHECK(grantAfter(LimitShare::DoubtTime + 2s, SparePriority) == 0);
        CHECK(grantAfter(LimitShare::DoubtTime + 2s, 0) == 1);
    }
    SECTION("lends another domain what its own has no use for")
    {
        LimitPool other(2);
        pool.setIsOwner(true, Start);
        other.setIsOwner(true, Start);
        const auto ask = askFor({limitOf(1, 10.0)});
        CHECK(pool.wantedLoans(Ready).empty());
        CHECK(countGranted(pool, ask, 2, Ready) == 0);
        const auto wanted = pool.wantedLoans(Ready);
        REQUIRE(wanted.size() == 1);
        const auto loans = other.lend(wanted, Ready + 10ms);
        CHECK(loans == std::vector<LimitLoan>{{1, 3.5}});
        pool.onLoan(loans.front(), Ready, Ready + 20ms);

        SECTION("which the other uses")
        {
            // 5 a second of its own and 3.5 from the loan.
            CHECK(countGranted(pool, ask, 50, Ready + 420ms) == 3);
        }
        SECTION("and which the lender goes without")
        {
            // 1.5 a second are left.
            CHECK(other.grant(ask, Ready + 610ms).opensIn == 67ms);
            CHECK(other.grant(ask, Ready + 680ms).isGranted);
        }
        SECTION("until it ends, by the clock of the one that uses it since its request")
        {
            CHECK(countGranted(pool, ask, 50, Ready + LimitPool::LoanTime - 1ms) == 7);
            pool.grant(ask, Ready + 10s);
            CHECK(countGranted(pool, ask, 50, Ready + 10s + 1000ms) == 5);
        }
        SECTION("but not twice")
        {
            const auto more = other.lend(wanted, Ready + 20ms);
            REQUIRE(more.size() == 1);
            CHECK(more.front().rate == Approx(1.05));
        }
        SECTION("but not a loan that arrives when it has ended")
        {
            LimitPool late(2);
            late.setIsOwner(true, Start);
            late.grant(ask, Ready);
            late.onLoan(loans.front(), Ready, Ready + LimitPool::LoanTime);
            CHECK(late.grant(ask, Ready + LimitPool::LoanTime).permits.size() == 1);
            CHECK(countGranted(late, ask, 50, Ready + 5s) == 5);
        }
    }
    SECTION("lends of the half only that a new owner grants")
    {
        LimitPool other(2);
        pool.setIsOwner(true, Start);
        other.setIsOwner(true, Ready);
        const auto ask = askFor({limitOf(1, 10.0)});
        countGranted(pool, ask, 2, Ready);
        const Clock::time_point now = Ready + LimitPool::HandoverTime;
        CHECK(other.lend({limitOf(1, 10.0)}, now) == std::vector<LimitLoan>{{1, 1.75}});
        CHECK(other.lend({limitOf(1, 10.0)}, now - 1ms).empty());
    }
    SECTION("lends nothing while its own requests find no room")
    {
        LimitPool other(2);
        pool.setIsOwner(true, Start);
        other.setIsOwner(true, Start);
        const auto ask = askFor({limitOf(1, 10.0)});
        countGranted(pool, ask, 2, Ready);
        countGranted(other, ask, 2, Ready);
        CHECK(other.lend(pool.wantedLoans(Ready), Ready).empty());
        CHECK(LimitPool::LoanTime <= LimitPool::HandoverTime);
    }
    SECTION("forgets targets that no one asks for")
    {
        pool.setIsOwner(true, Start);
        pool.grant(askFor({limitOf(1, 1.0)}), Ready);
        pool.grant(askFor({limitOf(2, 1.0)}), Ready + 2min);
        CHECK(pool.targetCount() == 1);
    }
}

TEST_CASE("Whatever VMs of whatever domains ask for, a target gets no more than its limit allows")
{
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        const auto below = [&random](std::uint64_t bound) { return random() % bound; };
        const std::size_t domains = 1 + below(5);
        const std::size_t vmsEach = 1 + below(26);
        const double limit = below(4) == 0 ? static_cast<double>(below(5))
                                           : 2.0 + static_cast<double>(below(400)) / 10.0;
        const std::chrono::milliseconds maxWait(below(2) * below(1000));
        // How many requests a second callers want sent, several times the limit at most.
        const double wanted = (0.3 + static_cast<double>(below(60)) / 10.0) * (limit + 1.0);
        std::vector<LimitPool> pools(domains, LimitPool(domains));
        // In some runs half of the domains have two owners for a while, as VMs do not agree on who
        // is alive.
        std::vector<LimitPool> rivals(domains, LimitPool(domains));
        const Clock::time_point rivalsFrom = Ready + std::chrono::milliseconds(below(8000));
        // The owners of the only domain may grant too much of a high limit.
        const bool hasRivals = (domains > 1 || limit <= 2.0) && below(3) == 0;
        for (std::size_t i = 0; i < domains; ++i) {
            pools[i].setIsOwner(true, Start);
            if (hasRivals && i < std::max<std::size_t>(domains / 2, 1))
                rivals[i].setIsOwner(true, rivalsFrom);
        }
        std::vector<TargetLimit> vms(domains * vmsEach);
        std::vector<std::size_t> hearing;
        Arrivals arrivals;
        Clock::time_point now = Ready;
        const auto gap = std::chrono::microseconds(static_cast<int>(1e6 / wanted));
        // Most callers reach a part of the domains only, so that these borrow.
        const std::size_t busyVms = 1 + below(vms.size());
        Clock::time_point borrowAt = Ready;
        std::multimap<Clock::time_point, std::function<void(Clock::time_point)>> messages;
        const auto borrow = [&](Clock::time_point at) {
            for (std::size_t from = 0; from < domains; ++from)
                for (std::size_t to = 0; to < domains; ++to) {
                    const auto request = pools[from].wantedLoans(at);
                    if (from == to || request.empty() || below(10) == 0)
                        continue;
                    const auto delay = std::chrono::milliseconds(below(4) == 0 ? below(900) : 2);
                    const auto replyDelay =
                        std::chrono::milliseconds(below(4) == 0 ? below(900) : 2);
                    const bool isLost = below(10) == 0;
                    messages.emplace(
                        at + delay, [=, &pools, &messages](Clock::time_point received) {
                            const auto loans = pools[to].lend(request, received);
                            if (isLost)
                                return;
                            messages.emplace(received + replyDelay,
                                             [=, &pools](Clock::time_point replied) {
                                                 for (const LimitLoan &loan : loans)
                                                     pools[from].onLoan(loan, at, replied);
                                             });
                        });
                }
        };
        while (now < Ready + 24s) {
            now += gap * (50 + below(100)) / 100;
            while (!messages.empty() && messages.begin()->first <= now) {
                const auto message = messages.extract(messages.begin());
                message.mapped()(message.key());
            }
            if (now >= borrowAt) {
                borrowAt = now + 250ms;
                borrow(now);
            }
            const std::size_t vm = below(8) == 0 ? below(vms.size()) : below(busyVms);
            TargetLimit &known = vms[vm];
            if (!known.isLimited()) {
                // A VM hears of the limit in its first response; the rule counts it later.
                known.onResponse(limit, now, now);
                continue;
            }
            const std::size_t domain = vm / vmsEach;
            if (!known.allowsRequest(now)) {
                const bool asksRival = vm % 2 == 0 && now >= rivalsFrom && now < rivalsFrom + 5s;
                LimitPool &pool = asksRival ? rivals[domain] : pools[domain];
                const auto outcome =
                    pool.grant(askFor({limitOf(1, limit, std::chrono::milliseconds(below(300)))},
                                      static_cast<std::uint32_t>(below(3))),
                               now);
                for (const Permit &permit : outcome.permits)
                    known.addPermit(now + permit.validIn, now);
            }
            // Some permits are used late, or never.
            if (below(4) != 0 && known.onSent(now))
                arrivals.add(now);
        }
        CAPTURE(domains, vmsEach, limit, wanted, hasRivals);
        REQUIRE(static_cast<double>(arrivals.mostIn4s()) <= allowedIn4s(limit));
    }
}

TEST_CASE("Most of a limit is used although all requests come in at one domain")
{
    for (const std::size_t domains : {2U, 3U, 4U, 7U}) {
        constexpr double limit = 20.0;
        std::vector<LimitPool> pools(domains, LimitPool(domains));
        for (LimitPool &pool : pools)
            pool.setIsOwner(true, Start);
        Arrivals arrivals;
        Clock::time_point borrowAt = Ready;
        for (Clock::time_point now = Ready; now < Ready + 40s; now += 25ms) {
            if (pools[0].grant(askFor({limitOf(1, limit)}), now).isGranted)
                arrivals.add(now);
            if (now < borrowAt)
                continue;
            borrowAt = now + 250ms;
            const auto wanted = pools[0].wantedLoans(now);
            for (std::size_t i = 1; i < domains; ++i)
                for (const LimitLoan &loan : pools[i].lend(wanted, now))
                    pools[0].onLoan(loan, now, now);
        }
        CAPTURE(domains, arrivals.total());
        CHECK(static_cast<double>(arrivals.total()) >= 0.8 * limit * 40.0);
        CHECK(static_cast<double>(arrivals.mostIn4s()) <= allowedIn4s(limit));
    }
}

TEST_CASE("A limit that one VM cannot read any more")
{
    LimitPool pool(1);
    pool.setIsOwner(true, Start);
    const auto isOpen = [&pool](std::optional<double> limit, std::chrono::milliseconds age,
                                Clock::time_point now) {
        return countGranted(pool, askFor({limitOf(1, limit, age)}), 50, now) == 50;
    };
    REQUIRE_FALSE(isOpen(5.0, 0ms, Ready));

    SECTION("holds on while another VM of the domain reads it")
    {
        for (int second = 1; second <= 30; ++second) {
            const Clock::time_point now = Ready + std::chrono::seconds(second);
            CHECK_FALSE(isOpen(std::nullopt, 8s, now));
            CHECK_FALSE(isOpen(5.0, 100ms, now));
        }
    }
    SECTION("ends a while after any of them has read it")
    {
        const Clock::time_point end = Ready + TargetLimit::unreadableTime(5.0);
        CHECK_FALSE(isOpen(std::nullopt, 8s, Ready + 1s));
        CHECK_FALSE(isOpen(std::nullopt, 13s, end - 1ms));
        CHECK(isOpen(std::nullopt, 13s, end));
        AND_THEN("holds again once one of them reads it")
        {
            CHECK_FALSE(isOpen(5.0, 0ms, end + 1s));
        }
    }
    SECTION("does not end by the time alone")
    {
        CHECK_FALSE(isOpen(5.0, 20s, Ready + 20s));
    }
}

TEST_CASE("Most of a limit is used wherever the requests come in")
{
    for (const std::size_t vmsEach : {2U, 26U}) {
        const double limit = vmsEach == 2 ? 16.7 : 3.0;
        constexpr std::size_t domains = 3;
        std::vector<LimitPool> pools(domains, LimitPool(domains));
        for (LimitPool &pool : pools)
            pool.setIsOwner(true, Start);
        std::mt19937_64 random(7);
        Arrivals arrivals;
        // Twice as many requests as the limit, at VMs drawn at random.
        const auto gap = std::chrono::microseconds(static_cast<int>(1e6 / limit / 2.0));
        for (Clock::time_point now = Ready; now < Ready + 40s; now += gap) {
            const std::size_t vm = random() % (domains * vmsEach);
            const auto outcome = pools[vm / vmsEach].grant(askFor({limitOf(1, limit)}), now);
            if (outcome.isGranted)
                arrivals.add(now);
        }
        CAPTURE(vmsEach, arrivals.total());
        CHECK(static_cast<double>(arrivals.total()) >= 0.85 * limit * 40.0);
        CHECK(static_cast<double>(arrivals.mostIn4s()) <= allowedIn4s(limit));
    }
}
