#include <cstdlib>

#include <catch2/catch.hpp>

#include "followingfleet.h"

using namespace mangoshift;
using namespace mangoshift::testing;

namespace {

using namespace std::chrono_literals;

/// The stated targets of the users' deployments: how long after a change a VM may still act on the
/// earlier state, and how long after the end of a fault that harms the store.
constexpr milliseconds ChangeBound{3000};
constexpr milliseconds RecoveryBound{4000};

const std::vector<std::vector<std::string>> Shapes{
    {"a", "a", "b", "b", "c", "d"},
    {"a", "a", "a", "a", "b", "b", "c", "c"},
    {"a", "a", "a", "a", "a", "a", "a", "b", "b", "b", "b", "b"}};

RegisteredTarget targetOf(int number, bool isDraining = false)
{
    RegisteredTarget target;
    target.id = "i-" + std::to_string(100 + number);
    target.service = "service-" + std::to_string(number / 2);
    target.address = "127.0.0.1:" + std::to_string(9000 + number);
    target.startedAt = 1;
    target.isDraining = isDraining;
    return target;
}

/// A store with some pages of targets, a configuration, and a fleet that has read them.
struct Deployment
{
    explicit Deployment(std::uint64_t seed, const std::vector<std::string> &shape)
        : random(seed)
    {
        for (int i = 0; i < TargetCount; ++i)
            store.put(targetOf(i));
        store.publish();
        fleet.emplace(shape, simulation, store);
        run(5s);
        changedFrom = simulation.now();
    }

    static constexpr int TargetCount = 50;

    void run(Clock::duration time) { simulation.runUntil(simulation.now() + time); }
    Clock::duration upTo(milliseconds limit)
    {
        return milliseconds(random() % static_cast<std::uint64_t>(limit.count()));
    }

    /// Returns the first fault of a VM's view: that it lacks a change up to its revision, or that
    /// it lacks a change for longer than is allowed. Empty if there is none.
    std::string fault() const
    {
        const Clock::time_point now = simulation.now();
        for (const VmId &vm : fleet->vms()) {
            const auto isDue = [&](Clock::time_point changedAt) {
                return now > changedAt + ChangeBound && now > calmFrom + RecoveryBound;
            };
            for (const auto &[id, entry] : store.entries()) {
                if (entry.changedAt < changedFrom)
                    continue;
                if (entry.revision <= fleet->follower(vm).revision()
                    && !fleet->hasSeen(vm, entry, true))
                    return vm + " lacks a change of " + id + " before its revision";
                if (isDue(entry.changedAt) && !fleet->hasSeen(vm, entry, false))
                    return vm + " still acts on the earlier state of " + id;
            }
            const ConfigVersion version = fleet->view(vm).routing()->version();
            if (isDue(store.versionChangedAt()) && version != store.version())
                return vm + " still has an earlier configuration";
        }
        return {};
    }
    /// Runs for `time` and returns the first fault that a frequent check finds.
    std::string runAndCheck(Clock::duration time)
    {
        for (const Clock::time_point end = simulation.now() + time; simulation.now() < end;) {
            run(50ms);
            if (const std::string found = fault(); !found.empty())
                return found;
        }
        return {};
    }

    std::mt19937_64 random;
    Simulation simulation;
    SimulatedStore store{simulation, random};
    std::optional<FollowingFleet> fleet;
    Clock::time_point changedFrom{};
    /// The end of the last fault that harmed the store.
    Clock::time_point calmFrom{};
};

} // namespace

// Guards against a watch whose response was lost being waited for while newer versions come in
// force elsewhere.
TEST_CASE("A configuration is in force in time although the watches before it were lost")
{
    for (const auto &shape : Shapes) {
        Deployment deployment(1, shape);
        deployment.store.publish();
        deployment.run(300ms);
        deployment.store.setMode(SimulatedStore::Mode::Silent);
        deployment.run(800ms);
        deployment.store.setMode(SimulatedStore::Mode::Usual);
        deployment.calmFrom = deployment.simulation.now();
        deployment.run(100ms);
        deployment.store.publish();
        CHECK(deployment.runAndCheck(10s) == "");
    }
}

// Guards against a VM that answers others with the revision of a listing whose pages it has not
// applied yet: the changes up to that revision would be lost to them for good.
TEST_CASE("No change is lost to a VM while the VM that it follows lists the store in pages")
{
    for (const auto &shape : Shapes) {
        Deployment deployment(1, shape);
        deployment.store.put(targetOf(7, true));
        deployment.run(200ms);
        deployment.store.put(targetOf(8, true));
        deployment.run(100ms);
        deployment.store.discardHistory();
        deployment.store.setLatency(200ms);
        deployment.calmFrom = deployment.simulation.now() + 3s;
        CHECK(deployment.runAndCheck(3s) == "");
        deployment.store.setLatency(5ms);
        CHECK(deployment.runAndCheck(10s) == "");
    }
}
