#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/permitaccess.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// VMs that exchange frames at once. The link of a frame is the number of its sender.
class Fleet
{
public:
    explicit Fleet(const std::vector<std::pair<std::string, std::string>> &vmsAndDomains)
    {
        auto view = std::make_shared<MemberView>();
        for (const auto &[vm, domain] : vmsAndDomains)
            view->members.push_back({vm, domain, "r", "", 1});
        for (std::size_t i = 0; i < view->members.size(); ++i) {
            PermitAccess::Sinks sinks;
            sinks.sendToVm = [this, i](const VmId &vm, FramePtr frame) {
                m_frames.push_back({i, m_indices.at(vm), std::move(frame)});
            };
            sinks.sendOnLink = [this, i](LinkId link, FramePtr frame) {
                m_frames.push_back({i, static_cast<std::size_t>(link), std::move(frame)});
            };
            sinks.onPermits = [this, i](PermitReply reply) {
                replies[i].push_back(std::move(reply));
            };
            m_indices[view->members[i].vm] = i;
            vms.push_back(std::make_unique<PermitAccess>(view->members[i], 1, sinks));
        }
        for (auto &vm : vms)
            vm->onMembers(view, Clock::now());
    }

    /// Delivers all frames, and returns how many they were.
    std::size_t deliver(Clock::time_point now)
    {
        std::size_t delivered = 0;
        while (!m_frames.empty()) {
            Sent sent = std::move(m_frames.front());
            m_frames.pop_front();
            vms[sent.to]->onFrame(sent.from, *sent.frame, now);
            ++delivered;
        }
        return delivered;
    }

    std::vector<std::unique_ptr<PermitAccess>> vms;
    std::map<std::size_t, std::vector<PermitReply>> replies;

private:
    struct Sent
    {
        std::size_t from;
        std::size_t to;
        FramePtr frame;
    };

    std::map<VmId, std::size_t> m_indices;
    std::deque<Sent> m_frames;
};

PermitRequest requestOf(std::uint64_t sequence, double limit)
{
    return {sequence, {{0, 1, 1, 0ms, {{{1, limit, 0ms}}}}}};
}

} // namespace

TEST_CASE("VMs of a failure domain get their permits from one of them")
{
    Fleet fleet({{"a-0", "a"}, {"a-1", "a"}, {"a-2", "a"}});
    const Clock::time_point ready =
        Clock::now() + LimitPool::HandoverTime + LimitPool::NewOwnerTime + 1s;
    const VmId owner = fleet.vms[0]->owner();
    for (const auto &vm : fleet.vms)
        CHECK(vm->owner() == owner);

    SECTION("whichever of them asks")
    {
        std::size_t granted = 0;
        for (std::size_t round = 0; round < 3; ++round)
            for (std::size_t i = 0; i < fleet.vms.size(); ++i) {
                const Clock::time_point now = ready + 10s * round;
                fleet.vms[i]->request(requestOf(round, 1.0), now);
                fleet.deliver(now);
                REQUIRE(fleet.replies[i].size() == round + 1);
                CHECK(fleet.replies[i].back().sequence == round);
                granted += fleet.replies[i].back().outcomes.at(0).isGranted ? 1 : 0;
            }
        // Nothing at first, and one permit and a part of the next after each long pause.
        CHECK(granted == 2);
    }
    SECTION("and from another one when it leaves")
    {
        for (std::size_t i = 0; i < fleet.vms.size(); ++i)
            if (owner == "a-" + std::to_string(i)) {
                fleet.vms[i]->onLeaving(ready);
                CHECK(fleet.vms[i]->owner() != owner);
            }
    }
}

TEST_CASE("Pool owners of failure domains lend to each other what they do not use")
{
    Fleet fleet({{"a-0", "a"}, {"b-0", "b"}, {"c-0", "c"}});
    Clock::time_point now = Clock::now() + LimitPool::HandoverTime + LimitPool::NewOwnerTime + 1s;
    const auto countGranted = [&](bool isLending) {
        std::size_t granted = 0;
        for (int i = 0; i < 400; ++i, now += 25ms) {
            fleet.vms[0]->request(requestOf(static_cast<std::uint64_t>(i), 30.0), now);
            granted += fleet.replies[0].back().outcomes.at(0).isGranted ? 1 : 0;
            if (isLending)
                fleet.vms[0]->onTick(now);
            fleet.deliver(now);
        }
        return granted;
    };
    // In 10 s its own third of the limit is 100.
    const std::size_t alone = countGranted(false);
    CHECK(alone >= 95);
    CHECK(alone <= 110);
    const std::size_t withLoans = countGranted(true);
    CHECK(withLoans >= 200);
    CHECK(withLoans <= 310);
}

TEST_CASE("VMs whose pool owner is new get their permits from the owner of another domain")
{
    Fleet fleet({{"a-0", "a"}, {"b-0", "b"}, {"c-0", "c"}});
    // All owners are new, so that none grants; what counts is who is asked.
    const Clock::time_point now = Clock::now();
    fleet.vms[1]->request(requestOf(1, 1.0), now);
    CHECK(fleet.replies[1].empty());
    CHECK(fleet.deliver(now) == 2);
    CHECK(fleet.replies[1].size() == 1);
    fleet.vms[1]->request(requestOf(2, 1.0), now + PermitRoute::SettleTime + 1s);
    CHECK(fleet.replies[1].size() == 2);
    CHECK(fleet.deliver(now) == 0);
}
