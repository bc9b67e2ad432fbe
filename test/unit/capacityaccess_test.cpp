#include <cmath>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/capacityaccess.h"
#include "entry/capacitywire.h"
#include "mangoshift/capacityrecorder.h"
#include "mangoshift/targetload.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

/// Decodes a frame, without its header, from an aligned copy. Returns null if it is invalid.
FramePtr decoded(const std::string &bytes)
{
    std::vector<std::uint64_t> aligned(bytes.size() / sizeof(std::uint64_t) + 1);
    auto *copy = reinterpret_cast<std::uint8_t *>(aligned.data());
    std::copy(bytes.begin(), bytes.end(), copy);
    auto frame = decodeFrame(copy, bytes.size());
    return frame ? std::move(*frame) : nullptr;
}

std::string encoded(FramePtr frame)
{
    return encodeFrame(*frame).substr(FrameHeaderBytes);
}

/// VMs of one domain that exchange frames at once. The link of a frame is the number of its sender,
/// counted from one.
class Fleet
{
public:
    explicit Fleet(const std::vector<bool> &areEnabled)
    {
        auto view = std::make_shared<MemberView>();
        for (std::size_t i = 0; i < areEnabled.size(); ++i)
            view->members.push_back({"vm-" + std::to_string(i), "a", "r", "", 1});
        outlooks.resize(areEnabled.size());
        for (std::size_t i = 0; i < areEnabled.size(); ++i) {
            CapacityAccess::Sinks sinks;
            sinks.sendToVm = [this, i](const VmId &vm, FramePtr frame) {
                m_frames.push_back({i, std::stoul(vm.substr(3)), std::move(frame)});
            };
            sinks.sendOnLink = [this, i](LinkId link, FramePtr frame) {
                m_frames.push_back({i, static_cast<std::size_t>(link - 1), std::move(frame)});
            };
            sinks.onOutlooks = [this, i](const CapacityOutlooks &each) {
                outlooks[i].insert(outlooks[i].end(), each.targets.begin(), each.targets.end());
            };
            vms.push_back(
                std::make_unique<CapacityAccess>(view->members[i], areEnabled[i], sinks, metrics));
        }
        for (auto &vm : vms)
            vm->onMembers(view);
    }

    std::size_t deliver(Clock::time_point now)
    {
        std::size_t delivered = 0;
        for (; !m_frames.empty(); ++delivered) {
            const Sent sent = std::move(m_frames.front());
            m_frames.pop_front();
            vms[sent.to]->onFrame(sent.from + 1, *sent.frame, now);
        }
        return delivered;
    }

    Metrics metrics;
    std::vector<std::unique_ptr<CapacityAccess>> vms;
    std::vector<std::vector<TargetOutlook>> outlooks;

private:
    struct Sent
    {
        std::size_t from;
        std::size_t to;
        FramePtr frame;
    };

    std::deque<Sent> m_frames;
};

const CapacityObservations Overdue{{{7, 0, 0.0, 0, 1, 0ms}}};

} // namespace

// Guards against news that does not reach the VMs that have asked, or reaches others.
TEST_CASE("VMs of a failure domain learn from the pool owner what the others have seen")
{
    Clock::time_point now = Clock::now();
    SECTION("if they share it")
    {
        Fleet fleet({true, true, true});
        for (auto &vm : fleet.vms)
            vm->report({}, now);
        fleet.deliver(now);
        fleet.vms[0]->report(Overdue, now);
        fleet.vms[1]->report(Overdue, now + 300ms);
        fleet.deliver(now + 300ms);
        fleet.vms[2]->report(Overdue, now + 600ms);
        fleet.deliver(now + 600ms);
        for (std::size_t i = 0; i < fleet.vms.size(); ++i) {
            INFO("VM " << i);
            CHECK(fleet.vms[i]->owner() == fleet.vms[0]->owner());
            REQUIRE_FALSE(fleet.outlooks[i].empty());
            CHECK(fleet.outlooks[i].back().target == 7);
            CHECK(fleet.outlooks[i].back().isUnresponsive);
        }
        CHECK(fleet.metrics.text().find("mangoshift_capacity_reports_total{outcome=\"merged\"}")
              != std::string::npos);
    }
    SECTION("but nothing is sent or taken with the setting off")
    {
        Fleet fleet({false, false});
        for (auto &vm : fleet.vms) {
            vm->report(Overdue, now);
            vm->report(Overdue, now + 300ms);
            vm->onTick(now + 400ms);
            CHECK(vm->onFrame(1, *makeFrame(toWire(Overdue)), now));
            CHECK(vm->onFrame(1, *makeFrame(toWire(CapacityOutlooks{{{7, 5.0}}})), now));
        }
        CHECK(fleet.deliver(now) == 0);
        for (const auto &each : fleet.outlooks)
            CHECK(each.empty());
    }
    SECTION("and news that was not asked for is ignored")
    {
        Fleet fleet({true, true});
        for (auto &vm : fleet.vms)
            vm->onFrame(1, *makeFrame(toWire(CapacityOutlooks{{{7, 5.0}}})), now);
        for (const auto &each : fleet.outlooks)
            CHECK(each.empty());
    }
}

// Guards against fields that another release or a damaged frame may hold.
TEST_CASE("Reports and news arrive as they were sent")
{
    SECTION("what is plausible")
    {
        const CapacityObservations report{{{7, 3, 2.302, 1, 2, 120ms}}};
        const FramePtr frame = decoded(encoded(makeFrame(toWire(report))));
        REQUIRE(frame);
        CHECK(fromWire(*frame->body.AsCapacityReport()).targets == report.targets);
        const FramePtr news = decoded(
            encoded(makeFrame(toWire(CapacityOutlooks{{{7, 10.0, 0.4, 2.5, true, 70ms}}}))));
        REQUIRE(news);
        const auto outlooks = fromWire(*news->body.AsCapacityNews()).targets;
        REQUIRE(outlooks.size() == 1);
        CHECK(outlooks[0].slowness == Approx(10.0).epsilon(0.001));
        CHECK(outlooks[0].lossRate == Approx(0.4));
        CHECK(outlooks[0].isUnresponsive);
        CHECK(outlooks[0].age == 70ms);
    }
    SECTION("what is not is left out")
    {
        wire::CapacityReportT report;
        report.observations = {
            {1, 30000, 0, 1, 0, 0}, {2, -30000, 0, 1, 0, 0}, {3, 0, 2000, 1, 0, 0}};
        CHECK(fromWire(report).targets.empty());
        report.observations.assign(100, {4, 0, 0, 1, 0, 0});
        CHECK(fromWire(report).targets.size() == CapacityRecorder::MaxReported);
        wire::CapacityNewsT news;
        news.outlooks = {
            {1, 30000, 0, 0, 0, false}, {2, 0, 0, 101, 0, false}, {3, 0, 2000, 0, 0, true}};
        CHECK(fromWire(news).targets.empty());
        news.outlooks.assign(100, {4, 0, 0, 0, 0, true});
        CHECK(fromWire(news).targets.size() == CapacityPool::MaxNews);
    }
}

// Guards against crashes, and against costs and weights that are not finite.
TEST_CASE("Mutated reports and news do no harm")
{
    std::mt19937_64 random(20261206);
    const std::string valid[] = {
        encoded(makeFrame(toWire(CapacityObservations{{{7, 3, 2.3, 1, 2, 120ms}, {8, 1}}}))),
        encoded(makeFrame(toWire(CapacityOutlooks{{{7, 10.0, 0.4, 2.5, true, 70ms}, {8, 2.0}}})))};
    Clock::time_point now = Clock::time_point(1h);
    CapacityPool pool;
    pool.setIsOwner(true);
    TargetLoad load;
    CapacityRecorder recorder;
    std::size_t decodedFrames = 0;
    for (int i = 0; i < 100'000; ++i, now += 1ms) {
        std::string bytes = valid[i % 2];
        for (std::size_t changes = 1 + random() % 4; changes > 0; --changes)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        const FramePtr frame = decoded(bytes);
        if (!frame)
            continue;
        ++decodedFrames;
        if (const auto *report = frame->body.AsCapacityReport())
            pool.onReport(random() % 3, fromWire(*report).targets, now);
        if (const auto *news = frame->body.AsCapacityNews())
            for (const TargetOutlook &outlook : fromWire(*news).targets) {
                recorder.onOutlook(outlook, now);
                load.onOutlook(outlook, now);
            }
        const auto isSound = [](double number) { return std::isfinite(number) && number > 0.0; };
        REQUIRE(isSound(load.cost(now)));
        for (const TargetOutlook &outlook : pool.takeNews(now)) {
            REQUIRE(isSound(outlook.slowness));
            REQUIRE((outlook.lossRate >= 0.0 && outlook.lossRate <= 1.0));
        }
    }
    CHECK(decodedFrames > 1000);
}
