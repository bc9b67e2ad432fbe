// The load: all targets of a service return cold at once, and six times as many requests come as
// their rate allows. VMs, their limit pools and the targets run on a simulated clock.

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/limitpool.h"
#include "mangoshift/permitroute.h"
#include "mangoshift/targetlimit.h"
#include "mangoshift/warmupterms.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;
using Seconds = std::chrono::duration<double>;

const Clock::time_point Start{1000s};
constexpr std::size_t Targets = 3;
constexpr double Excess = 6.0;
constexpr double Overshoot = 1.5;
constexpr double Slack = 5.0;
constexpr std::uint32_t LeastUrgent = 2;
/// How long VMs may take another VM for the owner of a pool, as in limitfleet_test.cpp.
constexpr milliseconds RivalTime{5000};

struct ColdShape
{
    std::size_t vms = 0;
    std::size_t domains = 0;
    /// The requests a second that a cold target takes.
    double rate = 0.0;
};

class ColdFleet
{
public:
    ColdFleet(const ColdShape &shape, std::uint64_t seed)
        : m_shape(shape)
        , m_random(seed)
        , m_pools(shape.domains, LimitPool(shape.domains))
        , m_rivals(shape.domains, LimitPool(shape.domains))
        , m_hasRival(shape.domains, false)
        , m_owners(shape.domains)
        , m_vms(shape.vms)
    {
        for (std::size_t domain = 0; domain < shape.domains; ++domain) {
            m_owners[domain] = std::to_string(domain);
            m_pools[domain].setPlace(domain, shape.domains);
            m_pools[domain].setIsOwner(true, Start - PermitRoute::SettleTime);
        }
        updateRoutes(Start - PermitRoute::SettleTime);
        const WarmupTerms terms{Overshoot, Slack, shape.domains};
        for (Vm &vm : m_vms)
            for (TargetLimit &limit : vm.limits) {
                limit.setWarmupLimit(terms.limit(shape.rate));
                limit.onEntryWarmup(10min, Start, Start);
            }
    }

    /// Cuts a failure domain off from the others; it still reaches the targets.
    void cut(std::size_t domain)
    {
        m_cut = domain;
        updateRoutes(m_now);
    }
    void loseOwner(std::size_t domain)
    {
        m_pools[domain].setIsOwner(false, m_now);
        at(m_now + 4600ms, [this, domain] {
            m_pools[domain].setIsOwner(true, m_now);
            m_owners[domain] += '\'';
            updateRoutes(m_now);
        });
    }
    /// Lets half of the VMs of a domain take another VM for the owner of the pool, for as long as
    /// VMs may disagree on who is alive.
    void addRival(std::size_t domain)
    {
        m_rivals[domain].setIsOwner(true, m_now);
        m_hasRival[domain] = true;
        updateRoutes(m_now);
        at(m_now + RivalTime, [this, domain] {
            m_rivals[domain].setIsOwner(false, m_now);
            m_hasRival[domain] = false;
            updateRoutes(m_now);
        });
    }
    void runFor(Clock::duration time)
    {
        const Clock::time_point end = m_now + time;
        const double rate = Excess * m_shape.rate * Targets;
        std::exponential_distribution<double> gap(rate);
        Clock::time_point callAt = m_now;
        while (callAt < end) {
            while (!m_events.empty() && m_events.begin()->first <= callAt) {
                auto event = m_events.extract(m_events.begin());
                m_now = std::max(m_now, event.key());
                event.mapped()();
            }
            m_now = std::max(m_now, callAt);
            borrow();
            call(below(m_vms.size()));
            callAt = m_now + std::chrono::duration_cast<Clock::duration>(Seconds(gap(m_random)));
        }
        m_now = end;
    }

    /// The most requests that one target has got in any second.
    std::size_t mostInSecond() const
    {
        std::size_t most = 0;
        for (std::vector<Clock::time_point> arrivals : m_arrivals) {
            std::sort(arrivals.begin(), arrivals.end());
            std::deque<Clock::time_point> window;
            for (const Clock::time_point arrival : arrivals) {
                window.push_back(arrival);
                while (arrival - window.front() >= 1s)
                    window.pop_front();
                most = std::max(most, window.size());
            }
        }
        return most;
    }
    double boundInSecond() const { return m_shape.rate * Overshoot + Slack; }
    /// The share of the stated rate that was used.
    double use() const
    {
        std::size_t sent = 0;
        for (const auto &arrivals : m_arrivals)
            sent += arrivals.size();
        return static_cast<double>(sent)
            / (m_shape.rate * Targets * Seconds(m_now - Start).count());
    }
    /// The share of the requests of a priority that were sent.
    double sentShare(std::uint32_t priority) const
    {
        return static_cast<double>(m_sent[priority]) / static_cast<double>(m_calls[priority]);
    }
    std::size_t below(std::size_t bound) { return m_random() % bound; }

private:
    struct Vm
    {
        std::array<TargetLimit, Targets> limits;
        PermitRoute route;
    };

    void at(Clock::time_point time, std::function<void()> event)
    {
        m_events.emplace(time, std::move(event));
    }
    std::size_t domainOf(std::size_t vm) const { return vm % m_shape.domains; }
    bool canReach(std::size_t from, std::size_t to) const
    {
        return from == to || (m_cut != from && m_cut != to);
    }
    void updateRoutes(Clock::time_point now)
    {
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm) {
            const std::size_t domain = domainOf(vm);
            std::optional<VmId> other;
            for (std::size_t i = 1; i < m_shape.domains && !other; ++i)
                if (const std::size_t next = (domain + i) % m_shape.domains; canReach(domain, next))
                    other = m_owners[next];
            const bool isMistaken = m_hasRival[domain] && vm / m_shape.domains % 2 == 1;
            m_vms[vm].route.setOwners(m_owners[domain] + (isMistaken ? "*" : ""), other, now);
        }
    }
    /// Most messages take a millisecond, some up to a tenth of a second.
    milliseconds delay() { return milliseconds(below(50) == 0 ? below(100) : 1); }
    bool isLost() { return below(100) == 0; }

    void call(std::size_t index)
    {
        // The urgent requests alone are within the rate.
        const std::uint32_t priority = below(12) == 0 ? 0 : 1 + below(LeastUrgent);
        ++m_calls[priority];
        // Only urgent requests take permits ahead of their time; see `TargetDirectory`.
        PermitAsk ask{priority, 1, 1, priority == 0 ? 50ms : 0ms, {{}}};
        for (std::size_t target = 0; target < Targets; ++target)
            ask.parts[0].push_back(
                {target + 1, m_vms[index].limits[target].value(),
                 std::chrono::duration_cast<milliseconds>(m_vms[index].limits[target].age(m_now))});
        const VmId owner = m_vms[index].route.ownerToAsk(m_now);
        const std::size_t domain = std::stoul(owner);
        if (isLost() || !canReach(domainOf(index), domain))
            return;
        LimitPool &pool = owner.back() == '*' ? m_rivals[domain] : m_pools[domain];
        at(m_now + delay(), [this, index, ask, &pool] {
            const PermitOutcome outcome = pool.grant(ask, m_now);
            if (isLost() || !outcome.isGranted)
                return;
            at(m_now + delay(),
               [this, index, permit = outcome.permits.at(0), priority = ask.priority] {
                   TargetLimit &limit = m_vms[index].limits[permit.target - 1];
                   limit.addPermit(m_now + permit.validIn, m_now);
                   at(m_now + permit.validIn, [this, &limit, permit, priority] {
                       send(limit, permit.target - 1, priority);
                   });
               });
        });
    }
    void send(TargetLimit &limit, std::size_t target, std::uint32_t priority)
    {
        const Clock::time_point latest = limit.permitEnd(m_now);
        if (!limit.onSent(m_now))
            return;
        // One request in ten waits for a connection until its permit nearly expires.
        m_arrivals[target].push_back(below(10) == 0 ? latest - 1ms : m_now);
        ++m_sent[priority];
    }
    void borrow()
    {
        if (m_now < m_borrowAt)
            return;
        m_borrowAt = m_now + 250ms;
        for (std::size_t from = 0; from < m_pools.size(); ++from) {
            const auto wanted = m_pools[from].wantedLoans(m_now);
            for (std::size_t to = 0; to < m_pools.size() && !wanted.empty(); ++to)
                if (from != to && canReach(from, to))
                    for (const LimitLoan &loan : m_pools[to].lend(wanted, m_now))
                        m_pools[from].onLoan(loan, m_now, m_now);
        }
    }

    ColdShape m_shape;
    std::mt19937_64 m_random;
    std::vector<LimitPool> m_pools;
    std::vector<LimitPool> m_rivals;
    std::vector<bool> m_hasRival;
    std::vector<VmId> m_owners;
    std::optional<std::size_t> m_cut;
    std::vector<Vm> m_vms;
    std::multimap<Clock::time_point, std::function<void()>> m_events;
    std::array<std::vector<Clock::time_point>, Targets> m_arrivals;
    std::array<std::size_t, LeastUrgent + 1> m_calls{};
    std::array<std::size_t, LeastUrgent + 1> m_sent{};
    Clock::time_point m_now = Start;
    Clock::time_point m_borrowAt = Start;
};

/// The sizes of the users' deployments, and those between which they are.
const std::vector<std::pair<std::size_t, std::size_t>> Fleets{{6, 1},   {6, 3},   {7, 7},  {64, 3},
                                                              {107, 4}, {270, 5}, {541, 7}};

} // namespace

// Guards against VMs that together send a cold target more than it survives, and against a limit
// that leaves most of what the target takes unused.
TEST_CASE("Targets that return cold under six times their rate get no more than they survive")
{
    const auto [vms, domains] = GENERATE(from_range(Fleets));
    for (const double rate : {5.0, 20.0, 60.0})
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            ColdFleet fleet({vms, domains, rate}, seed);
            fleet.runFor(20s);
            const double limit = WarmupTerms{Overshoot, Slack, domains}.limit(rate).value();
            CAPTURE(vms, domains, rate, limit, seed, fleet.use(), fleet.mostInSecond(),
                    fleet.boundInSecond());
            CHECK(static_cast<double>(fleet.mostInSecond()) <= fleet.boundInSecond());
            CHECK(fleet.use() >= 0.8 * limit / rate);
        }
}

// Guards against urgent requests that lose their permits to others, which are far more.
TEST_CASE("Urgent requests get the permits of cold targets first")
{
    const auto [vms, domains] = GENERATE(from_range(Fleets));
    for (const double rate : {5.0, 20.0, 60.0}) {
        double urgent = 0.0;
        double others = 0.0;
        constexpr std::uint64_t runs = 5;
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            ColdFleet fleet({vms, domains, rate}, seed);
            fleet.runFor(20s);
            urgent += fleet.sentShare(0) / runs;
            others += fleet.sentShare(LeastUrgent) / runs;
        }
        CAPTURE(vms, domains, rate, urgent, others);
        CHECK(urgent > 3.0 * others);
    }
}

// Guards against more than one pool granting the same part of the rate.
TEST_CASE("Cold targets get no more while pool owners are lost, disputed or cut off")
{
    const auto [vms, domains] = GENERATE(from_range(Fleets));
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        ColdFleet fleet({vms, domains, seed % 2 == 0 ? 5.0 : 30.0}, seed);
        for (int i = 0; i < 4; ++i) {
            fleet.runFor(milliseconds(500 + fleet.below(4000)));
            const std::size_t domain = fleet.below(domains);
            if (fleet.below(2) == 0)
                fleet.loseOwner(domain);
            else if (fleet.below(2) == 0)
                fleet.addRival(domain);
            else
                fleet.cut(domain);
        }
        fleet.runFor(10s);
        CAPTURE(vms, domains, seed, fleet.mostInSecond(), fleet.boundInSecond());
        CHECK(static_cast<double>(fleet.mostInSecond()) <= fleet.boundInSecond());
    }
}
