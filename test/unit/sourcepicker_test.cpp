#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/sourcepicker.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Clock::time_point Start{seconds(1000)};
const std::vector<std::string> Seeds{"at-a-1", "at-b-1"};

Member memberOf(const std::string &vm, const std::string &domain, bool isStarting = false)
{
    return {vm, domain, "r", "at-" + vm, 1, false, isStarting};
}

MemberViewPtr fleetOf(int vms, const std::string &domain, bool isStarting = false)
{
    auto view = std::make_shared<MemberView>();
    for (int i = 0; i < vms; ++i)
        view->members.push_back(memberOf(domain + "-" + std::to_string(i), domain, isStarting));
    return view;
}

/// Returns the source pickers of all VMs of a fleet.
std::vector<SourcePicker> pickersOf(const MemberViewPtr &view)
{
    std::vector<SourcePicker> pickers;
    for (const Member &member : view->members) {
        pickers.emplace_back(member, Seeds, Start);
        pickers.back().setMembers(view);
        pickers.back().setHasState();
    }
    return pickers;
}

bool isStore(const std::optional<StoreSource> &source)
{
    return source && std::holds_alternative<FromStore>(*source);
}

/// Returns the source picker of a VM that is not a watcher. The fleet must have one.
SourcePicker followerOf(const MemberViewPtr &view)
{
    const std::vector<SourcePicker> pickers = pickersOf(view);
    return *std::find_if(pickers.begin(), pickers.end(),
                         [](const SourcePicker &each) { return !each.isWatcher(); });
}

} // namespace

TEST_CASE("The number of store watchers does not grow with the fleet")
{
    for (const int vms : {1, 2, 3, 4, 10, 100, 540}) {
        int watchers = 0;
        int followers = 0;
        for (const SourcePicker &picker : pickersOf(fleetOf(vms, "a"))) {
            watchers += isStore(picker.pick(Start)) ? 1 : 0;
            followers += picker.isWatcher() ? 0 : 1;
            CHECK(picker.hasFollowers() == (vms > 3));
        }
        CHECK(watchers == std::min(vms, 3));
        CHECK(followers == vms - std::min(vms, 3));
    }
}

// Guards against one VM that serves the state to all others of a large failure domain.
TEST_CASE("A VM serves the state to a few others, however large its failure domain is")
{
    constexpr int maxFollowers = 4;
    for (const int vms : {4, 10, 20, 60, 100, 541}) {
        CAPTURE(vms);
        std::map<VmId, VmId> sources;
        std::map<VmId, int> followers;
        for (const SourcePicker &picker : pickersOf(fleetOf(vms, "a"))) {
            const auto source = picker.pick(Start);
            REQUIRE(source);
            if (const auto *peer = std::get_if<FromPeer>(&*source)) {
                sources[picker.self().vm] = peer->vm;
                ++followers[peer->vm];
            }
        }
        CHECK(sources.size() == static_cast<std::size_t>(vms - 3));
        for (const auto &[vm, count] : followers)
            CHECK(count <= maxFollowers);
        for (const auto &[vm, source] : sources) {
            int steps = 1;
            for (VmId from = source; sources.contains(from); from = sources[from])
                REQUIRE(++steps <= 4);
        }
    }
}

TEST_CASE("The VMs that follow a watcher which fails turn to both of the others")
{
    const MemberViewPtr view = fleetOf(60, "a");
    std::vector<SourcePicker> pickers = pickersOf(view);
    std::map<VmId, std::vector<SourcePicker *>> byWatcher;
    for (SourcePicker &picker : pickers)
        if (const auto source = picker.pick(Start); !isStore(source))
            byWatcher[std::get<FromPeer>(*source).vm].push_back(&picker);
    for (auto &[vm, followers] : byWatcher) {
        const auto watcher = std::find_if(pickers.begin(), pickers.end(), [&vm = vm](auto &each) {
            return each.self().vm == vm && each.isWatcher();
        });
        if (watcher == pickers.end())
            continue;
        std::set<VmId> next;
        for (SourcePicker *picker : followers) {
            picker->onSourceFailed(FromPeer{vm}, Start + seconds(2), Start);
            const auto source = picker->pick(Start);
            REQUIRE_FALSE(isStore(source));
            next.insert(std::get<FromPeer>(*source).vm);
        }
        CHECK(next.size() == 2);
    }
}

TEST_CASE("VMs that start together are not all sent the state by the same VM")
{
    const MemberViewPtr view = fleetOf(60, "a");
    std::map<VmId, int> followers;
    for (int i = 0; i < 60; ++i) {
        SourcePicker picker(memberOf("a-new-" + std::to_string(i), "a", true), Seeds, Start);
        picker.setMembers(view);
        ++followers[std::get<FromPeer>(*picker.pick(Start)).vm];
    }
    for (const auto &[vm, count] : followers)
        CHECK(count <= 8);
}

TEST_CASE("A VM that does not watch the store")
{
    const MemberViewPtr view = fleetOf(10, "a");
    SourcePicker picker = followerOf(view);

    SECTION("uses one watcher after the other, and then the store")
    {
        std::vector<StoreSource> used;
        for (auto source = picker.pick(Start); source && !isStore(source);
             source = picker.pick(Start)) {
            used.push_back(*source);
            picker.onSourceFailed(*source, Start + seconds(2), Start);
        }
        CHECK(used.size() == 3);
        CHECK(isStore(picker.pick(Start)));
        picker.onSourceFailed(FromStore{}, Start + seconds(2), Start);
        CHECK_FALSE(isStore(picker.pick(Start + seconds(2))));
    }
    SECTION("reaches the store even if each watcher is slow to fail")
    {
        Clock::time_point now = Start;
        int used = 0;
        for (auto source = picker.pick(now); source && !isStore(source);
             source = picker.pick(now)) {
            now += seconds(1);
            picker.onSourceFailed(*source, now + seconds(2), now);
            REQUIRE(++used <= 3);
        }
        CHECK(isStore(picker.pick(now)));
    }
    SECTION("returns to a watcher after a reply from the store")
    {
        for (auto source = picker.pick(Start); source && !isStore(source);
             source = picker.pick(Start))
            picker.onSourceFailed(*source, Start + seconds(2), Start);
        picker.onSourceSucceeded(FromStore{}, Start + seconds(1), Start + seconds(1));
        CHECK(isStore(picker.pick(Start + seconds(1))));
        CHECK_FALSE(isStore(picker.pick(Start + seconds(2))));
    }
    SECTION("waits if all sources have failed, until the first may be used again")
    {
        for (auto source = picker.pick(Start); source; source = picker.pick(Start))
            picker.onSourceFailed(*source, Start + seconds(2), Start);
        CHECK(picker.retryAt(Start) == Start + seconds(2));
    }
    SECTION("uses watchers of other domains if its own and the store have failed")
    {
        auto both = std::make_shared<MemberView>(*view);
        const MemberViewPtr others = fleetOf(10, "b");
        for (const Member &member : others->members)
            both->members.push_back(member);
        picker.setMembers(both);
        std::string last;
        for (auto source = picker.pick(Start); source; source = picker.pick(Start)) {
            if (const auto *peer = std::get_if<FromPeer>(&*source))
                last = peer->vm;
            picker.onSourceFailed(*source, Start + seconds(2), Start);
        }
        CHECK(last.substr(0, 1) == "b");
    }
}

TEST_CASE("A watcher that has lost the store")
{
    const MemberViewPtr view = fleetOf(3, "a");
    SourcePicker picker = pickersOf(view).front();
    REQUIRE(isStore(picker.pick(Start)));
    const Clock::time_point recheckAt = Start + milliseconds(50);
    picker.onSourceFailed(FromStore{}, recheckAt, Start);

    SECTION("tries the store once more before it uses a peer, as only a watch may have been cut")
    {
        CHECK_FALSE(picker.pick(Start));
        CHECK(picker.retryAt(Start) == recheckAt);
        CHECK(isStore(picker.pick(recheckAt)));
        SECTION("and watches the store again if it responds")
        {
            picker.onSourceSucceeded(FromStore{}, recheckAt, recheckAt);
            CHECK(isStore(picker.pick(recheckAt)));
            CHECK_FALSE(picker.storeRetryAt());
        }
    }
    GIVEN("that the store has failed a second time")
    {
        const Clock::time_point retryAt = recheckAt + milliseconds(100);
        picker.onSourceFailed(FromStore{}, retryAt, recheckAt);
        const auto peer = picker.pick(recheckAt);
        REQUIRE(peer);
        REQUIRE_FALSE(isStore(peer));
        CHECK(picker.storeRetryAt() == retryAt);

        SECTION("it does not use the store for a while if a peer has reached the store since")
        {
            picker.onSourceSucceeded(*peer, recheckAt + milliseconds(1), recheckAt);
            CHECK_FALSE(isStore(picker.pick(recheckAt + milliseconds(1900))));
            CHECK(isStore(picker.pick(recheckAt + milliseconds(2000))));
            SECTION("and does not extend that time with each reply")
            {
                picker.onSourceSucceeded(*peer, recheckAt + milliseconds(999),
                                         recheckAt + milliseconds(1000));
                CHECK(isStore(picker.pick(recheckAt + milliseconds(2000))));
            }
        }
        SECTION("it uses the store again soon if the peer's state is fresh but older than that")
        {
            picker.onSourceSucceeded(*peer, recheckAt - milliseconds(300), recheckAt);
            CHECK_FALSE(isStore(picker.pick(retryAt - milliseconds(1))));
            CHECK(isStore(picker.pick(retryAt)));
        }
        SECTION("it uses the store again soon if no peer has fresh state")
        {
            for (auto source = picker.pick(recheckAt); source; source = picker.pick(recheckAt))
                picker.onSourceFailed(*source, Start + seconds(2), recheckAt);
            CHECK(picker.retryAt(recheckAt) == retryAt);
            CHECK(isStore(picker.pick(retryAt)));
        }
    }
}

TEST_CASE("A VM that starts")
{
    SourcePicker picker(memberOf("a-0", "a", true), Seeds, Start);

    SECTION("waits for other VMs to appear before it uses the store")
    {
        CHECK_FALSE(picker.pick(Start));
        CHECK(picker.retryAt(Start) == Start + milliseconds(300));
        CHECK(isStore(picker.pick(Start + milliseconds(300))));
    }
    SECTION("immediately uses a VM that has already started")
    {
        picker.setMembers(fleetOf(4, "b"));
        const auto source = picker.pick(Start);
        REQUIRE(source);
        CHECK_FALSE(isStore(source));
    }
    SECTION("uses seeds that are starting too, but no other starting VMs")
    {
        picker.setMembers(fleetOf(4, "a", true));
        CHECK(picker.pick(Start) == StoreSource(FromPeer{"a-1"}));
        picker.onSourceFailed(FromPeer{"a-1"}, Start + seconds(2), Start);
        CHECK_FALSE(picker.pick(Start));
    }
    SECTION("immediately uses the store if it is a seed")
    {
        CHECK(isStore(SourcePicker(memberOf("a-1", "a", true), Seeds, Start).pick(Start)));
    }
    SECTION("immediately uses the store if it has no peer address")
    {
        Member alone = memberOf("a-0", "a", true);
        alone.peerAddress.clear();
        CHECK(isStore(SourcePicker(alone, {}, Start).pick(Start)));
    }
}
