#include <cstdlib>
#include <map>
#include <set>
#include <string>
#include <vector>

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
/// The former in their deployments of 60 VMs and more.
constexpr milliseconds LargeChangeBound{5000};

/// How long targets whose entries expired in an outage have to write them again.
constexpr milliseconds RemovalGrace{2300};

const std::vector<std::vector<std::string>> Shapes{
    {"a", "a", "b", "b", "c", "d"},
    {"a", "a", "a", "a", "b", "b", "c", "c"},
    {"a", "a", "a", "a", "a", "a", "a", "b", "b", "b", "b", "b"}};

/// The store's 2,000 reads a second, divided by the watchers of the largest deployment that is
/// designed for: three in each of seven failure domains.
constexpr std::uint64_t MaxReadsPerWatcher = 2000 / 21;

std::uint64_t watchersOf(const std::vector<std::string> &shape)
{
    std::map<std::string, std::uint64_t> vms;
    for (const std::string &domain : shape)
        ++vms[domain];
    std::uint64_t watchers = 0;
    for (const auto &[domain, count] : vms)
        watchers += std::min<std::uint64_t>(count, 3);
    return watchers;
}

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

const std::string NoFault = "no fault";

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
    /// it lacks a change for longer than is allowed; `NoFault` if there is none.
    std::string fault() const
    {
        const Clock::time_point now = simulation.now();
        for (const VmId &vm : fleet->vms()) {
            const Clock::time_point calm = std::max(calmFrom, fleet->frozenUntil(vm));
            const auto isDue = [&](Clock::time_point changedAt, milliseconds grace = 0ms) {
                return now > changedAt + changeBound + grace && now > calm + RecoveryBound + grace;
            };
            for (const auto &[id, entry] : store.entries()) {
                if (entry.changedAt < changedFrom)
                    continue;
                if (entry.revision <= fleet->follower(vm).revision()
                    && !fleet->hasSeen(vm, entry, true))
                    return vm + std::string(" lacks a change before its revision: ").append(id);
                // An entry that is removed while the store is not stable may have expired only for
                // that reason, so the removal is held back.
                const bool isHeld = entry.isRemoved && entry.changedAt < calmFrom + RecoveryBound;
                if (isDue(entry.changedAt, isHeld ? RemovalGrace : 0ms)
                    && !fleet->hasSeen(vm, entry, false))
                    return vm + std::string(" still acts on the earlier state of ").append(id);
            }
            const std::set<std::string> evacuated = fleet->view(vm).evacuations().domains();
            for (const auto &[domain, evacuation] : store.evacuations()) {
                const bool hasSeen = evacuated.contains(domain) == evacuation.isRequested;
                if (!hasSeen
                    && (isDue(evacuation.changedAt)
                        || evacuation.revision <= fleet->follower(vm).revision()))
                    return vm + std::string(" does not know the evacuation of ").append(domain);
            }
            const ConfigVersion version = fleet->view(vm).routing()->version();
            if (isDue(store.versionChangedAt()) && version != store.version())
                return vm + " still has an earlier configuration";
        }
        return NoFault;
    }
    /// Runs for `time` and returns the first fault that a frequent check finds.
    std::string runAndCheck(Clock::duration time)
    {
        for (const Clock::time_point end = simulation.now() + time; simulation.now() < end;) {
            run(50ms);
            std::string found = fault();
            if (found != NoFault)
                return found;
        }
        return NoFault;
    }

    std::mt19937_64 random;
    Simulation simulation;
    SimulatedStore store{simulation, random};
    std::optional<FollowingFleet> fleet;
    Clock::time_point changedFrom{};
    milliseconds changeBound = ChangeBound;
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
        CHECK(deployment.runAndCheck(10s) == NoFault);
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
        CHECK(deployment.runAndCheck(3s) == NoFault);
        deployment.store.setLatency(5ms);
        CHECK(deployment.runAndCheck(10s) == NoFault);
    }
}

// Guards against VMs that take a cut watch for an outage of the store: they asked each other
// instead of the store, and then held removals back.
TEST_CASE("Removed targets are not used for long although the store cuts its watches")
{
    // Not a loop, as sections in a loop run in its first round only.
    const auto shape = GENERATE(from_range(Shapes));
    {
        Deployment deployment(1, shape);
        SECTION("once, just before a removal")
        {
            deployment.store.remove(targetOf(1).id);
            deployment.run(600ms);
            deployment.store.cutWatches();
            deployment.run(50ms);
            deployment.store.remove(targetOf(2).id);
            CHECK(deployment.runAndCheck(10s) == NoFault);
        }
        SECTION("again and again")
        {
            for (int i = 1; i <= 8; ++i) {
                deployment.store.cutWatches();
                CHECK(deployment.runAndCheck(700ms) == NoFault);
                deployment.store.remove(targetOf(i).id);
                CHECK(deployment.runAndCheck(800ms) == NoFault);
            }
            CHECK(deployment.runAndCheck(10s) == NoFault);
        }
    }
}

// Guards against a VM that starts and takes over, from a VM that was cut off from the store,
// targets that have left and configurations that were replaced.
TEST_CASE("A VM without state of its own")
{
    const Clock::time_point start{1000s};
    auto view = std::make_shared<MemberView>();
    for (const char *vm : {"a", "b", "c"})
        view->members.push_back({vm, "domain", "region", std::string("at-") + vm, 1});
    const Member self{"self", "domain", "region", "at-self", 1, false, true};
    StateFollower follower(self, {}, 5s, start);
    follower.setMembers(view);
    const auto pulledVm = [&follower, start] {
        const auto fetch = follower.next(start);
        REQUIRE(fetch);
        REQUIRE(std::holds_alternative<PullFromPeer>(*fetch));
        return std::get<PullFromPeer>(*fetch).vm;
    };
    const auto stale = start - StateFollower::MaxStateAge;
    std::set<VmId> asked{pulledVm()};

    SECTION("does not use stale state while there are VMs that may have fresh state")
    {
        CHECK_FALSE(follower.onPeerState(100, stale, start).shouldApply);
        CHECK_FALSE(follower.hasState());
        asked.insert(pulledVm());
        CHECK(asked.size() == 2);
        CHECK(follower.onPeerState(120, start - 100ms, start).shouldApply);
        CHECK(follower.revision() == 120);
    }
    SECTION("uses stale state if no VM has fresher state, as in an outage of the store")
    {
        CHECK_FALSE(follower.onPeerState(100, stale, start).shouldApply);
        asked.insert(pulledVm());
        CHECK_FALSE(follower.onPeerState(100, stale, start).shouldApply);
        asked.insert(pulledVm());
        CHECK(asked.size() == 3);
        CHECK(follower.onPeerState(100, stale, start).shouldApply);
        CHECK(follower.hasState());
    }
    SECTION("uses stale state if the other VMs do not reply")
    {
        CHECK_FALSE(follower.onPeerState(100, stale, start).shouldApply);
        pulledVm();
        follower.onPeerFailure(start);
        pulledVm();
        follower.onPeerFailure(start);
        // The others are not asked again yet, and the store does not respond.
        auto fetch = follower.next(start + 300ms);
        REQUIRE(fetch);
        REQUIRE(std::holds_alternative<ListStore>(*fetch));
        follower.onStoreFailure(start + 1800ms);
        fetch = follower.next(start + 2100ms);
        REQUIRE(fetch);
        REQUIRE(std::holds_alternative<PullFromPeer>(*fetch));
        CHECK(follower.onPeerState(100, stale, start + 2100ms).shouldApply);
    }
}

// Guards against one VM of a large failure domain that all others depend on, and against state that
// grows stale on its way over several VMs.
TEST_CASE("In a large fleet changes reach each VM, and no VM sends the state to many others")
{
    struct Size
    {
        std::size_t domains;
        std::size_t vmsEach;
    };
    const Size size = GENERATE(Size{5, 19}, Size{5, 60}, Size{7, 77});
    const auto seed = GENERATE(range<std::uint64_t>(1, 3));
    CAPTURE(size.domains, size.vmsEach, seed);
    std::vector<std::string> shape;
    for (std::size_t i = 0; i < size.domains * size.vmsEach; ++i)
        shape.push_back("domain" + std::to_string(i % size.domains));
    Deployment deployment(seed, shape);
    deployment.changeBound = LargeChangeBound;
    SimulatedStore &store = deployment.store;
    const std::uint64_t repliesBefore = deployment.fleet->mostReplies();

    SECTION("while nothing changes")
    {
        CHECK(deployment.runAndCheck(10s) == NoFault);
        for (const VmId &vm : deployment.fleet->vms())
            REQUIRE(deployment.simulation.now() - deployment.fleet->view(vm).lastContact()
                    < StateFollower::MaxStateAge);
        // Four VMs follow it, each of which is sent something once a second.
        constexpr std::uint64_t expectedReplies = std::uint64_t{4} * 10;
        CHECK(deployment.fleet->mostReplies() - repliesBefore <= expectedReplies + 8);
    }
    SECTION("while the configuration and targets change")
    {
        for (int i = 0; i < 10; ++i) {
            store.publish();
            store.put(targetOf(i, true));
            REQUIRE(deployment.runAndCheck(700ms) == NoFault);
            store.remove(targetOf(i).id);
            REQUIRE(deployment.runAndCheck(700ms) == NoFault);
        }
        CHECK(deployment.runAndCheck(5s) == NoFault);
        // Four VMs follow it for 19 s, each of which is sent something twice a second at most.
        constexpr std::uint64_t mostExpectedReplies = std::uint64_t{4} * 19 * 2;
        CHECK(deployment.fleet->mostReplies() - repliesBefore <= mostExpectedReplies);
    }
    SECTION("while VMs freeze, watchers among them")
    {
        for (int i = 0; i < 10; ++i) {
            for (std::size_t n = 0; n < shape.size() / 10; ++n)
                deployment.fleet->freeze("vm" + std::to_string(deployment.random() % shape.size()),
                                         200ms + deployment.upTo(3000ms));
            store.publish();
            REQUIRE(deployment.runAndCheck(1s) == NoFault);
        }
        CHECK(deployment.runAndCheck(6s) == NoFault);
    }
}

TEST_CASE("VMs that follow a store are up to date in time, whatever harms it")
{
    using Mode = SimulatedStore::Mode;
    const char *seedText = std::getenv("MANGOSHIFT_SEED");
    const std::uint64_t firstSeed = seedText == nullptr ? 1 : std::stoull(seedText);
    const std::uint64_t lastSeed = seedText == nullptr ? 1500 : firstSeed;
    for (std::uint64_t seed = firstSeed; seed <= lastSeed; ++seed) {
        CAPTURE(seed);
        const auto &shape = Shapes[seed % Shapes.size()];
        Deployment deployment(seed, shape);
        Simulation &simulation = deployment.simulation;
        SimulatedStore &store = deployment.store;
        std::mt19937_64 &random = deployment.random;
        const Clock::time_point end = simulation.now() + 15s;

        // A fault that harms the store for some time.
        const auto harm = [&](Clock::time_point at, const std::function<void()> &begin,
                              const std::function<void()> &finish) {
            const Clock::time_point until = at + 100ms + deployment.upTo(2500ms);
            deployment.calmFrom = std::max(deployment.calmFrom, until);
            simulation.at(at, begin);
            simulation.at(until, finish);
        };
        for (int i = 0; i < 3; ++i) {
            const Clock::time_point at = simulation.now() + deployment.upTo(10s);
            const auto setMode = [&store](Mode mode) {
                return [&store, mode] { store.setMode(mode); };
            };
            switch (random() % 8) {
            case 0:
                harm(at, setMode(Mode::Silent), setMode(Mode::Usual));
                break;
            case 1:
                harm(
                    at,
                    [&store] {
                        store.setMode(Mode::Silent);
                        store.loseWatches();
                    },
                    setMode(Mode::Usual));
                break;
            case 2:
                harm(
                    at,
                    [&store] {
                        store.setMode(Mode::Refusing);
                        store.cutWatches();
                    },
                    setMode(Mode::Usual));
                break;
            case 3:
                harm(at, setMode(Mode::LosingAnswers), setMode(Mode::Usual));
                break;
            case 4:
                harm(
                    at, [&store] { store.setLatency(200ms); }, [&store] { store.setLatency(5ms); });
                break;
            case 5:
                harm(
                    at,
                    [&store] {
                        store.setRejected({"vm0", "vm2"});
                    },
                    [&store] { store.setRejected({}); });
                break;
            case 6:
                simulation.at(at, [&store] { store.cutWatches(); });
                break;
            default:
                simulation.at(at, [&store] { store.discardHistory(); });
                break;
            }
        }
        // A frozen VM is no fault of the store: the VMs that follow it are still up to date in
        // time.
        if (random() % 2 == 0) {
            const VmId vm = "vm" + std::to_string(random() % shape.size());
            const Clock::duration time = 200ms + deployment.upTo(3000ms);
            simulation.after(deployment.upTo(10s),
                             [&deployment, vm, time] { deployment.fleet->freeze(vm, time); });
        }
        // Watches that are cut again and again are no fault of the store.
        if (random() % 4 == 0)
            for (int i = 1; i < 8; ++i)
                simulation.after(1500ms * i, [&store] { store.cutWatches(); });
        for (int i = 0; i < 12; ++i) {
            const int target = static_cast<int>(random() % Deployment::TargetCount);
            const std::uint64_t kind = random() % 4;
            simulation.after(deployment.upTo(12s), [&store, target, kind] {
                const auto &entries = store.entries();
                const RegisteredTarget draining = targetOf(target, true);
                const bool isRemoved = entries.at(draining.id).isRemoved;
                if (kind == 0)
                    store.publish();
                else if (isRemoved)
                    store.put(targetOf(target));
                else if (kind == 1)
                    store.put(draining);
                else
                    store.remove(draining.id);
            });
        }
        for (int i = 0; i < 6; ++i) {
            const std::string &domain = shape[random() % shape.size()];
            const bool isRequested = random() % 2 == 0;
            simulation.after(deployment.upTo(12s), [&store, domain, isRequested] {
                store.evacuate(domain, isRequested);
            });
        }
        while (simulation.now() < end) {
            const std::uint64_t readsBefore = store.reads();
            REQUIRE(deployment.runAndCheck(1s) == NoFault);
            REQUIRE(store.reads() - readsBefore <= MaxReadsPerWatcher * watchersOf(shape));
        }
    }
}
