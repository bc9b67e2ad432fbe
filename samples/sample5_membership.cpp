// Runs two Membership state machines. The first finds the second in the platform's list of
// candidates, and the sample delivers the heartbeats between them. The second then stops replying
// and is removed from the first one's view.

#include <cstdio>
#include <variant>
#include <vector>

#include "mangoshift/membership.h"

using namespace mangoshift;

namespace {

constexpr std::chrono::milliseconds Tick = MembershipOptions().tickInterval;

/// Delivers the heartbeats in `actions` to `to` and returns the actions that `to` replies with.
MembershipActions deliver(const MembershipActions &actions, Membership &to, Clock::time_point now)
{
    MembershipActions replies;
    for (const MembershipAction &action : actions)
        if (const auto *heartbeat = std::get_if<SendHeartbeat>(&action))
            for (MembershipAction &reply : to.onHeartbeat(heartbeat->message, now))
                replies.push_back(std::move(reply));
    return replies;
}

} // namespace

int main()
{
    Clock::time_point now = Clock::now();
    const Member one{"one", "domain-a", "region", "127.0.0.1:7102", 1, false};
    const Member two{"two", "domain-b", "region", "127.0.0.2:7102", 2, false};
    Membership first(one, {}, 1, now);
    Membership second(two, {}, 2, now);

    // The platform's list only names candidates. A candidate becomes a member when it replies.
    first.onPlatformList({one, two}, now, now);
    for (int i = 0; i < 5; ++i) {
        now += Tick;
        deliver(deliver(first.onTick(now), second, now), first, now);
    }
    const std::size_t membersWithBoth = first.view()->members.size();
    std::printf("members while both reply: %zu\n", membersWithBoth);

    // The second stops replying: it is suspected, and removed from the view after the suspicion
    // timeout.
    for (int i = 0; i < 50; ++i) {
        now += Tick;
        first.onTick(now);
    }
    const std::size_t membersWithoutSecond = first.view()->members.size();
    std::printf("members after the second stopped replying: %zu\n", membersWithoutSecond);
    return membersWithBoth == 2 && membersWithoutSecond == 1 ? 0 : 1;
}
