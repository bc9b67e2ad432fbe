// Runs many Membership state machines in one process on a simulated clock. Prints the traffic that
// one VM sends, how long a dead VM stays in member views, and the processor time that one VM uses.
// Usage: membershipscale KILLS VMS...

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>

#include "../test/unit/fleet.h"
#include "duties/memberswire.h"

namespace {

using namespace mangoshift;
using namespace mangoshift::testing;

constexpr std::uint64_t Seed = 1;
constexpr int IdleSeconds = 10;
/// How long traffic is counted after all views have removed a dead VM, and how long the fleet runs
/// after the VM has started again. Long enough for the gossip about the change to end.
constexpr seconds ChangeDuration{20};

struct Traffic
{
    std::size_t bytes = 0;
    std::size_t messages = 0;
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Runs the fleet for `time`. Returns the bytes of the heartbeats and member replies that all VMs
/// send, and the number of heartbeats.
Traffic countTraffic(Fleet &fleet, Clock::duration time)
{
    Traffic traffic;
    fleet.onSend = [&](const HeartbeatMessage &message) {
        traffic.bytes += encodeFrame(*makeFrame(toWire(message))).size();
        ++traffic.messages;
    };
    fleet.onPull = [&](const std::vector<MemberRecord> &table) {
        wire::MembersReplyT reply;
        reply.known = toWire(table);
        traffic.bytes += encodeFrame(*makeFrame(std::move(reply))).size();
    };
    fleet.run(time);
    fleet.onSend = nullptr;
    fleet.onPull = nullptr;
    return traffic;
}

bool isInAnyView(Fleet &fleet, const std::string &vm)
{
    const auto isInView = [&](const std::string &viewer) {
        const auto &members = fleet.machine(viewer).view()->members;
        return std::any_of(members.begin(), members.end(),
                           [&](const Member &member) { return member.vm == vm; });
    };
    const auto names = fleet.names();
    return std::any_of(names.begin(), names.end(), isInView);
}

void measure(std::size_t vms, int kills)
{
    Fleet fleet(vms, Seed);
    fleet.readLists();
    fleet.joinAll();
    fleet.run(seconds(3));
    const Traffic idleTraffic = countTraffic(fleet, seconds(IdleSeconds));

    const double before = processorSeconds();
    fleet.run(seconds(IdleSeconds));
    const double coreShare = (processorSeconds() - before) / static_cast<double>(vms) / IdleSeconds;

    std::vector<Clock::duration> detections;
    std::size_t changeBytes = 0;
    for (int i = 0; i < kills; ++i) {
        const std::string vm = "vm" + std::to_string(i);
        fleet.kill(vm);
        const auto isRemoved = [&] { return !isInAnyView(fleet, vm); };
        detections.push_back(fleet.runUntil(isRemoved, std::chrono::minutes(1)));
        changeBytes += countTraffic(fleet, ChangeDuration).bytes;
        fleet.start(vm);
        fleet.readLists();
        fleet.run(ChangeDuration);
    }
    std::sort(detections.begin(), detections.end());
    const auto toMilliseconds = [](Clock::duration time) {
        return static_cast<long>(std::chrono::duration_cast<milliseconds>(time).count());
    };
    const auto perVmSecond = [&](std::size_t sum, double seconds) {
        return static_cast<double>(sum) / static_cast<double>(vms) / seconds;
    };
    std::printf(
        "vms=%zu sent_bytes_s=%.0f sent_messages_s=%.2f core_percent=%.4f "
        "dead_median_ms=%ld dead_max_ms=%ld bytes_s_after_death=%.0f\n",
        vms, perVmSecond(idleTraffic.bytes, IdleSeconds),
        perVmSecond(idleTraffic.messages, IdleSeconds), coreShare * 100,
        toMilliseconds(detections[detections.size() / 2]), toMilliseconds(detections.back()),
        perVmSecond(changeBytes, kills * std::chrono::duration<double>(ChangeDuration).count()));
}

} // namespace

int main(int argc, char **argv)
{
    if (argc < 3) {
        std::fputs("Usage: membershipscale KILLS VMS...\n", stderr);
        return 2;
    }
    const int kills = static_cast<int>(std::strtol(argv[1], nullptr, 10));
    for (int i = 2; i < argc; ++i)
        measure(std::strtoul(argv[i], nullptr, 10), kills);
    return 0;
}
