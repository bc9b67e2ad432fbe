// Compares ways to divide the limits that targets name among VMs, on a simulated clock.
//
// Usage: limituse
//
// The first rows are the processor time that the owner of a pool needs for one ask.
//
// Each row is one fleet and one place where requests come in, with twice as many requests as the
// limits allow. A query needs a permit for 18 of 20 shards, each with two limited targets; a
// booking needs one for any of ten targets. `use` is the share of the limits that was used in 60 s,
// `most` the most requests to one target in 4 s as a share of what the users' rule allows, `frames`
// the frames between VMs each second, and `lost` the use in the first 5 s after the owner of a
// domain's pool is lost, while its VMs do not agree on another one.

#include <algorithm>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "mangoshift/limitpool.h"

namespace {

using namespace mangoshift;
using namespace std::chrono_literals;

enum class Method { EvenShare, DomainPools, DomainPoolsWithLoans, OneOwner };

struct Fleet
{
    std::size_t domains = 1;
    std::size_t vmsEach = 1;
    double limit = 1.0;
};

struct Load
{
    std::size_t shards = 1;
    std::size_t required = 1;
    std::size_t targetsEach = 1;
};

struct Result
{
    double use = 0.0;
    double most = 0.0;
    double frames = 0.0;
    double useWhileLost = 0.0;
};

constexpr auto Duration = 60s;
constexpr auto LostTime = 5s;
constexpr auto BorrowInterval = 250ms;

Result simulate(Method method, const Fleet &fleet, const Load &load, bool isOneDomain)
{
    const std::size_t vms = fleet.domains * fleet.vmsEach;
    const std::size_t poolCount = method == Method::EvenShare ? vms
        : method == Method::OneOwner                          ? 1
                                                              : fleet.domains;
    const Clock::time_point ready{1000s};
    std::vector<LimitPool> pools(poolCount, LimitPool(poolCount));
    for (LimitPool &pool : pools)
        pool.setIsOwner(true, ready - 10s);
    std::mt19937_64 random(1);
    const double targets = static_cast<double>(load.shards * load.targetsEach);
    // Queries that require 18 of 20 shards use that much of a limit each.
    const double requests = 2.0 * fleet.limit * static_cast<double>(load.targetsEach);
    const auto gap =
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1.0 / requests));
    std::map<LimitKey, std::deque<Clock::time_point>> arrivals;
    std::size_t most = 0;
    std::size_t sends = 0;
    std::size_t sendsWhileLost = 0;
    std::size_t frames = 0;
    Clock::time_point borrowAt = ready;
    const Clock::time_point lostAt = ready + Duration;
    for (Clock::time_point now = ready; now < lostAt + LostTime; now += gap) {
        const std::size_t vm = isOneDomain ? random() % fleet.vmsEach : random() % vms;
        const std::size_t domain = vm / fleet.vmsEach;
        const std::size_t pool = method == Method::EvenShare ? vm
            : method == Method::OneOwner                     ? 0
                                                             : domain;
        // The first VM of a domain owns its pool.
        const bool isOwner = method == Method::EvenShare
            || (method == Method::OneOwner ? vm == 0 : vm % fleet.vmsEach == 0);
        const bool isLost = now >= lostAt
            && (method == Method::OneOwner        ? true
                    : method == Method::EvenShare ? vm == 0
                                                  : domain == 0);
        if (method == Method::DomainPoolsWithLoans && now >= borrowAt) {
            borrowAt = now + BorrowInterval;
            for (std::size_t from = 0; from < poolCount; ++from) {
                const auto wanted = pools[from].wantedLoans(now);
                for (std::size_t to = 0; to < poolCount && !wanted.empty(); ++to) {
                    if (to == from || (now >= lostAt && (to == 0 || from == 0)))
                        continue;
                    frames += 2;
                    for (const LimitLoan &loan : pools[to].lend(wanted, now))
                        pools[from].onLoan(loan, now, now);
                }
            }
        }
        if (isLost)
            continue;
        PermitAsk ask{0, load.required, load.shards, 0ms, {}};
        for (std::size_t shard = 0; shard < load.shards; ++shard) {
            auto &part = ask.parts.emplace_back();
            for (std::size_t i = 0; i < load.targetsEach; ++i)
                part.push_back({shard * load.targetsEach + i + 1, fleet.limit, 0ms});
        }
        frames += isOwner ? 0 : 2;
        const PermitOutcome outcome = pools[pool].grant(ask, now);
        for (const Permit &permit : outcome.permits) {
            (now < lostAt ? sends : sendsWhileLost) += 1;
            auto &times = arrivals[permit.target];
            times.push_back(now);
            while (now - times.front() >= 4s)
                times.pop_front();
            most = std::max(most, times.size());
        }
    }
    const double seconds = std::chrono::duration<double>(Duration).count();
    const double lostSeconds = std::chrono::duration<double>(LostTime).count();
    return {static_cast<double>(sends) / (fleet.limit * targets * seconds),
            static_cast<double>(most) / (6.0 * fleet.limit + 5.0),
            static_cast<double>(frames) / (seconds + lostSeconds),
            static_cast<double>(sendsWhileLost) / (fleet.limit * targets * lostSeconds)};
}

/// Returns how long the owner of a pool takes for one ask with `parts` parts of two targets each.
std::chrono::duration<double, std::micro> timeOfGrant(std::size_t parts)
{
    constexpr std::size_t asks = 2000;
    LimitPool pool(7);
    const Clock::time_point ready{1000s};
    pool.setIsOwner(true, ready - 10s);
    PermitAsk ask{0, parts, parts, 0ms, {}};
    for (std::size_t part = 0; part < parts; ++part)
        ask.parts.push_back({{2 * part + 1, 5.0, 0ms}, {2 * part + 2, 5.0, 0ms}});
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < asks; ++i)
        pool.grant(ask, ready + std::chrono::microseconds(70) * i);
    return (std::chrono::steady_clock::now() - start) / asks;
}

} // namespace

int main()
{
    for (const std::size_t parts : {1U, 360U})
        std::printf("an ask with %zu parts: %.1f us\n", parts, timeOfGrant(parts).count());
    const std::vector<std::pair<std::string, Fleet>> fleets{{"8 VMs, 4 domains", {4, 2, 16.7}},
                                                            {"6 VMs, 3 domains", {3, 2, 16.7}},
                                                            {"78 VMs, 3 domains", {3, 26, 3.0}},
                                                            {"540 VMs, 7 domains", {7, 77, 5.0}}};
    const std::vector<std::pair<std::string, Method>> methods{
        {"even share", Method::EvenShare},
        {"domain pools", Method::DomainPools},
        {"domain pools, loans", Method::DomainPoolsWithLoans},
        {"one owner", Method::OneOwner}};
    const std::vector<std::pair<std::string, Load>> loads{{"queries", {20, 18, 2}},
                                                          {"bookings", {1, 1, 10}}};
    std::printf("%-20s %-9s %-10s %-20s %6s %6s %8s %6s\n", "fleet", "load", "callers at", "method",
                "use", "most", "frames", "lost");
    for (const auto &[fleetName, fleet] : fleets)
        for (const auto &[loadName, load] : loads)
            for (const bool isOneDomain : {false, true})
                for (const auto &[methodName, method] : methods) {
                    const Result result = simulate(method, fleet, load, isOneDomain);
                    std::printf("%-20s %-9s %-10s %-20s %6.2f %6.2f %8.1f %6.2f\n",
                                fleetName.c_str(), loadName.c_str(),
                                isOneDomain ? "one domain" : "all", methodName.c_str(), result.use,
                                result.most, result.frames, result.useWhileLost);
                }
    return 0;
}
