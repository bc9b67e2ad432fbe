#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entryfixture.h"
#include "mangoshift/domainreach.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1000s};

TargetId target(std::size_t number)
{
    return "i-" + std::to_string(number);
}

constexpr std::size_t Shards = 90;
/// How many parts a query over the shards may lack with a minimum coverage of 0.95.
constexpr std::size_t MostLost = 4;

/// A VM in the failure domain `near` that sends queries over shards with one target in each of
/// three domains.
class Queries
{
public:
    explicit Queries(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// Sends one query while the domains in `cut` do not respond. Returns how many parts had both
    /// of their copies sent to domains that do not respond.
    std::size_t send(const std::vector<std::string> &cut)
    {
        const auto isCut = [&cut](const std::string &domain) {
            return std::find(cut.begin(), cut.end(), domain) != cut.end();
        };
        std::vector<std::string> first;
        for (std::size_t shard = 0; shard < Shards; ++shard) {
            first.push_back(pick("", true));
            m_reach.onSent(first.back(), m_now);
        }
        m_now += 50ms;
        std::size_t lost = 0;
        for (const std::string &domain : first)
            if (!isCut(domain))
                m_reach.onResponse(domain, m_now - 30ms);
        for (std::size_t shard = 0; shard < Shards; ++shard)
            if (isCut(first[shard]))
                m_reach.onOverdue(first[shard], target(shard), m_now - 50ms, m_now);
        for (const std::string &domain : first)
            if (isCut(domain) && isCut(pick(domain, false)))
                ++lost;
        m_now += 600ms;
        return lost;
    }
    DomainReach &reach() { return m_reach; }
    Clock::time_point now() const { return m_now; }

private:
    /// Picks a domain as the cost of distance has it: the near one in four of six cases. A hedge
    /// does not find out whether a domain responds.
    std::string pick(const std::string &except, bool mayProbe)
    {
        std::vector<std::string> open;
        for (const std::string domain : {"near", "near", "near", "near", "far1", "far2"})
            if (domain != except
                && (!m_reach.isSilent(domain, m_now)
                    || (mayProbe && m_reach.isProbeDue(domain, m_now))))
                open.push_back(domain);
        return open.at(m_random() % open.size());
    }

    std::mt19937_64 m_random;
    DomainReach m_reach;
    Clock::time_point m_now = Start;
};

/// An entry duty in `near`, whose service `a` has four targets there, and five in `far`.
class NearAndFar : public EntryFixture
{
public:
    NearAndFar()
    {
        state().directory.setPolicies({false, false, true});
        state().directory.setVm("vm", "near");
        for (int i = 0; i < 9; ++i) {
            const std::string id = "i-" + std::to_string(i);
            PendingTarget &added = addTarget(id, "a");
            RegisteredTarget listing = added.listing(2);
            listing.failureDomain = i < 4 ? "near" : "far";
            state().directory.apply({TargetListed{listing}}, Clock::now());
            (i < 4 ? m_near : m_far).push_back(&added);
        }
    }

    static std::size_t arrivedAt(const std::vector<PendingTarget *> &targets)
    {
        std::size_t count = 0;
        for (const PendingTarget *each : targets)
            count += each->arrived().size();
        return count;
    }
    void makeFarSilent()
    {
        for (int i = 4; i < 8; ++i)
            state().directory.onOverdue(state().directory.targets().at("i-" + std::to_string(i)),
                                        50ms, Clock::now(), Clock::now());
    }
    /// Sends a request and returns whether it arrives at a near target.
    bool goesNear(const std::string &route)
    {
        const std::size_t near = arrivedAt(m_near);
        const std::size_t far = arrivedAt(m_far);
        const std::string id = "r" + std::to_string(++m_requests);
        m_caller.send(route, id);
        REQUIRE(run([&] { return arrivedAt(m_near) + arrivedAt(m_far) > near + far; }));
        for (auto *targets : {&m_near, &m_far})
            for (PendingTarget *each : *targets)
                if (!each->arrived().empty() && each->arrived().back() == id)
                    each->respond();
        REQUIRE(runUntilReceived(m_caller, "X-Request-Id: " + id + "\r\n"));
        return arrivedAt(m_near) > near;
    }

private:
    std::vector<PendingTarget *> m_near;
    std::vector<PendingTarget *> m_far;
    Caller &m_caller = addCaller();
    int m_requests = 0;
};

} // namespace

TEST_CASE("A failure domain is silent once several of its targets have stopped responding")
{
    DomainReach reach;
    for (std::size_t i = 1; i < DomainReach::MinOverdueTargets; ++i)
        CHECK_FALSE(reach.onOverdue("far", target(i), Start - 20ms, Start));

    SECTION("but not while one of them responds")
    {
        reach.onResponse("far", Start);
        CHECK_FALSE(reach.onOverdue("far", target(0), Start + 1ms, Start + 20ms));
        CHECK_FALSE(reach.isSilent("far", Start + 20ms));
    }
    SECTION("but not for several overdue responses of one target")
    {
        CHECK_FALSE(reach.onOverdue("far", target(1), Start - 20ms, Start));
        CHECK_FALSE(reach.isSilent("far", Start));
    }
    SECTION("but not for targets of another domain")
    {
        CHECK_FALSE(reach.onOverdue("near", target(0), Start - 20ms, Start));
        CHECK(reach.silentDomains(Start).empty());
    }
    SECTION("but not for old evidence")
    {
        const auto later = Start + DomainReach::EvidenceLifetime;
        CHECK_FALSE(reach.onOverdue("far", target(0), later - 20ms, later));
        CHECK_FALSE(reach.isSilent("far", later));
    }

    GIVEN("a silent domain")
    {
        REQUIRE(reach.onOverdue("far", target(0), Start - 20ms, Start));
        CHECK(reach.isSilent("far", Start));

        SECTION("any response ends the silence")
        {
            CHECK(reach.onResponse("far", Start));
            CHECK_FALSE(reach.isSilent("far", Start));
        }
        SECTION("one request at a time finds out whether it responds again")
        {
            CHECK(reach.isProbeDue("far", Start));
            reach.onSent("far", Start);
            CHECK_FALSE(reach.isProbeDue("far", Start + DomainReach::ProbeInterval - 1ms));
            CHECK(reach.isProbeDue("far", Start + DomainReach::ProbeInterval));
        }
        SECTION("it is forgotten if there are no requests that can find out")
        {
            CHECK_FALSE(reach.isSilent("far", Start + DomainReach::EvidenceLifetime));
        }
    }
}

// The load: queries over 90 shards in a domain that is cut off from the two others, to which each
// query sends a third of its parts. Guards against parts whose two copies both go to targets that
// cannot be reached, which makes a query with a high minimum coverage fail although a near target
// is free.
TEST_CASE("Few parts are lost to failure domains that are cut off together")
{
    const auto seed = GENERATE(range<std::uint64_t>(1, 50));
    CAPTURE(seed);
    Queries queries(seed);
    REQUIRE(queries.send({}) == 0);
    for (int i = 0; i < 10; ++i)
        REQUIRE(queries.send({"far1", "far2"}) <= MostLost);
    // Only parts that find out whether the domains respond go there meanwhile.
    CHECK(queries.reach().silentDomains(queries.now()).size() == 2);
    for (int i = 0; i < 5; ++i)
        queries.send({});
    CHECK(queries.reach().silentDomains(queries.now()).empty());
}

// Guards against slow targets being taken for a silent domain: the others had responded before the
// first of the slow ones was overdue.
TEST_CASE("A failure domain in which many targets are slow is not silent")
{
    DomainReach reach;
    for (int query = 0; query < 20; ++query) {
        const Clock::time_point sentAt = Start + 500ms * query;
        reach.onResponse("far", sentAt + 10ms);
        for (std::size_t i = 0; i < 20; ++i)
            CHECK_FALSE(reach.onOverdue("far", target(i), sentAt, sentAt + 30ms));
    }
}

TEST_CASE("Requests of a VM that finds another failure domain silent")
{
    NearAndFar vm;
    vm.makeFarSilent();

    SECTION("go to the near targets if they must not run twice")
    {
        for (int i = 0; i < 30; ++i)
            CHECK(vm.goesNear("one"));
    }
    SECTION("go to the far ones too once one of those has responded")
    {
        bool isFarUsed = false;
        for (int i = 0; i < 300 && !isFarUsed; ++i)
            isFarUsed = !vm.goesNear("safe");
        REQUIRE(isFarUsed);
        isFarUsed = false;
        for (int i = 0; i < 300 && !isFarUsed; ++i)
            isFarUsed = !vm.goesNear("one");
        CHECK(isFarUsed);
    }
}

TEST_CASE("A silent failure domain is used if it alone has targets")
{
    NearAndFar vm;
    vm.makeFarSilent();
    vm.state().directory.setEvacuatedDomains({"near"}, Clock::now());
    CHECK_FALSE(vm.goesNear("one"));
}
