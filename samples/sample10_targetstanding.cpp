// Shows when a target that says in its responses that it wants a pause, or that it leaves, may get
// requests again.

#include <chrono>
#include <cstdio>

#include "mangoshift/targetstanding.h"

using namespace mangoshift;
using namespace std::chrono_literals;

int main()
{
    const Clock::time_point now{1h};
    // A VM draws a random number here, so that the VMs do not all return at once.
    constexpr double draw = 0.0;
    TargetStandings standings(100);

    // A target turns a request away and asks for a pause of two seconds.
    const auto lookup = standings.of("lookup-a", 1);
    lookup->onNotice({.isLeaving = false, .pause = 2s}, draw, now);
    const bool isLeftAlone = !lookup->mayReceive(now + 1999ms);
    const bool returns = lookup->mayReceive(now + 2s);
    std::printf("lookup-a is left alone: %d, and returns after its pause: %d\n", isLeftAlone,
                returns);

    // It then says that it leaves. Its registry entry may still say that it is ready, and may be
    // listed again; only another incarnation gets requests.
    lookup->onNotice({.isLeaving = true, .pause = 0s}, draw, now + 5s);
    const bool staysAway = !standings.of("lookup-a", 1)->mayReceive(now + 24h);
    const bool isNewOneOpen = standings.of("lookup-a", 2)->mayReceive(now + 24h);
    std::printf("it stays away: %d, the one that starts after it does not: %d\n", staysAway,
                isNewOneOpen);
    return isLeftAlone && returns && staysAway && isNewOneOpen ? 0 : 1;
}
