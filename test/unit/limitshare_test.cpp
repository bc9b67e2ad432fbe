#include <catch2/catch.hpp>

#include "mangoshift/limitshare.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1000s};

/// Records `count` requests that the target and `others` others could take.
void choose(LimitShare &share, int count, int others, Clock::time_point now)
{
    for (int i = 0; i < count; ++i)
        share.onChoice(1.0 / (others + 1), now);
}

} // namespace

TEST_CASE("A target's share of what others could take as well")
{
    LimitShare share;
    TargetLimit limit;

    SECTION("is not asked for while the target has named no limit")
    {
        choose(share, 60, 5, Start);
        CHECK(share.permitsToAsk(limit, Start) == 0);
        CHECK_FALSE(share.startProbe(limit, Start + 1h));
        CHECK_FALSE(share.isDue(limit, Start + 1h));
    }
    GIVEN("a target that has named a limit")
    {
        limit.onResponse(50.0, Start, Start);

        SECTION("is asked for once an interval, by what it was owed in the last one")
        {
            choose(share, 30, 5, Start);
            // Five that it is owed, and as many again in the next interval.
            CHECK(share.permitsToAsk(limit, Start) == 10);
            choose(share, 30, 5, Start);
            CHECK(share.permitsToAsk(limit, Start + LimitShare::AskInterval - 1ms) == 0);
        }
        SECTION("is asked for less by the permits that are held")
        {
            choose(share, 30, 5, Start);
            limit.addPermit(Start, Start);
            limit.addPermit(Start + 100ms, Start);
            CHECK(share.permitsToAsk(limit, Start) == 8);
        }
        SECTION("is never asked for beyond what the limit allows for a short while")
        {
            choose(share, 6000, 5, Start);
            CHECK(share.permitsToAsk(limit, Start) == 20);
        }
        SECTION("is not asked for without requests")
        {
            choose(share, 30, 5, Start);
            share.permitsToAsk(limit, Start);
            CHECK(share.permitsToAsk(limit, Start + LimitShare::AskInterval) == 0);
        }
        SECTION("is due when a whole request is owed, and no longer when it was sent")
        {
            choose(share, 3, 3, Start);
            CHECK_FALSE(share.isDue(limit, Start));
            choose(share, 1, 3, Start);
            CHECK(share.isDue(limit, Start));
            share.onSent();
            CHECK_FALSE(share.isDue(limit, Start));
        }
        SECTION("tells for how long it was owed requests and not used")
        {
            CHECK(share.unusedFor() == 0s);
            choose(share, 1, 5, Start + 1s);
            CHECK(share.unusedFor() == 0s);
            choose(share, 1, 5, Start + 5s);
            CHECK(share.unusedFor() == 4s);
            share.onSent();
            CHECK(share.unusedFor() == 0s);
        }
        SECTION("reports once that it is not used")
        {
            choose(share, 1, 5, Start);
            choose(share, 1, 5, Start + LimitShare::ReportTime - 1ms);
            CHECK_FALSE(share.shouldReport());
            choose(share, 1, 5, Start + LimitShare::ReportTime);
            CHECK(share.shouldReport());
            choose(share, 1, 5, Start + LimitShare::ReportTime + 1s);
            CHECK_FALSE(share.shouldReport());
            share.onSent();
            choose(share, 1, 5, Start + 20s);
            choose(share, 1, 5, Start + 20s + LimitShare::ReportTime);
            CHECK(share.shouldReport());
        }
    }
}

TEST_CASE("A limit that has not been heard for a while")
{
    LimitShare share;
    TargetLimit limit;
    limit.onResponse(0.0, Start, Start);
    const Clock::time_point doubted = Start + LimitShare::DoubtTime;
    CHECK_FALSE(share.startProbe(limit, doubted - 1ms));
    CHECK_FALSE(share.isDue(limit, doubted - 1ms));

    SECTION("is asked about by the next request, and the target is due to it")
    {
        CHECK(share.startProbe(limit, doubted));
        CHECK(share.isDue(limit, doubted));
    }
    SECTION("is not asked about by each request")
    {
        CHECK(share.startProbe(limit, doubted));
        CHECK_FALSE(share.startProbe(limit, doubted + LimitShare::ProbeInterval - 1ms));
        CHECK(share.startProbe(limit, doubted + LimitShare::ProbeInterval));
    }
    SECTION("is in no doubt when a response names it again")
    {
        limit.onResponse(0.0, doubted, doubted + 20ms);
        CHECK_FALSE(share.startProbe(limit, doubted + 20ms));
    }
    SECTION("is in no doubt when a response names none")
    {
        limit.onResponse(std::nullopt, doubted, doubted + 20ms);
        CHECK_FALSE(share.startProbe(limit, doubted + 10s));
    }
}
