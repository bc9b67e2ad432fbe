#include <map>
#include <random>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/targetstanding.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

const Clock::time_point Start{1000s};

TargetNotice leaving()
{
    return {true, 0ms};
}

TargetNotice pauseOf(std::chrono::milliseconds pause)
{
    return {false, pause};
}

} // namespace

TEST_CASE("What a target says about itself decides whether it gets requests")
{
    TargetStanding standing;
    REQUIRE(standing.mayReceive(Start));
    CHECK_FALSE(standing.onNotice({}, 0.5, Start));
    CHECK(standing.mayReceive(Start));

    SECTION("a target that leaves gets none, whatever it says later")
    {
        CHECK(standing.onNotice(leaving(), 0.5, Start));
        CHECK_FALSE(standing.onNotice({}, 0.5, Start + 1s));
        CHECK_FALSE(standing.mayReceive(Start + 24h));
        CHECK(standing.opensAt() == Clock::time_point::max());
    }
    SECTION("a target that asks for a pause gets none until it is over")
    {
        CHECK(standing.onNotice(pauseOf(4s), 0.0, Start));
        CHECK_FALSE(standing.mayReceive(Start + 3999ms));
        CHECK(standing.mayReceive(Start + 4s));
        SECTION("which a response that asks for none does not shorten")
        {
            CHECK_FALSE(standing.onNotice({}, 0.0, Start + 1s));
            CHECK_FALSE(standing.mayReceive(Start + 3999ms));
        }
        SECTION("nor one that asks for a shorter one")
        {
            CHECK_FALSE(standing.onNotice(pauseOf(1s), 1.0, Start + 1s));
            CHECK(standing.opensAt() == Start + 4s);
        }
        SECTION("and that a later response may extend")
        {
            CHECK(standing.onNotice(pauseOf(4s), 0.0, Start + 2s));
            CHECK(standing.opensAt() == Start + 6s);
        }
    }
    SECTION("a pause never ends early, and by an eighth too late at most")
    {
        standing.onNotice(pauseOf(2s), 1.0, Start);
        CHECK(standing.opensAt() == Start + 2250ms);
        TargetStanding other;
        other.onNotice(pauseOf(1min), 1.0, Start);
        CHECK(other.opensAt() == Start + 1min + 500ms);
    }
}

TEST_CASE("The standing of a target outlasts its registry entry, but not its incarnation")
{
    TargetStandings standings(4);
    standings.of("a", 7)->onNotice(leaving(), 0.0, Start);
    CHECK(standings.of("a", 7)->isLeaving());
    CHECK_FALSE(standings.of("a", 8)->isLeaving());
    CHECK_FALSE(standings.of("b", 7)->isLeaving());

    SECTION("an older incarnation that is listed again is still known to leave")
    {
        CHECK(standings.of("a", 7)->isLeaving());
    }
    SECTION("only standings that are not in use are dropped")
    {
        const auto used = standings.of("a", 7);
        for (std::uint64_t startedAt = 100; startedAt < 200; ++startedAt)
            standings.of("c", startedAt);
        CHECK(standings.size() <= 6);
        CHECK(standings.of("a", 7) == used);
    }
}

TEST_CASE("Whatever happens in which order, a target gets no request that it does not want")
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        CAPTURE(seed);
        std::mt19937_64 random(seed);
        TargetStandings standings(64);
        // What each incarnation has said: when it left, and until when it wants nothing.
        using Key = std::pair<TargetId, std::uint64_t>;
        std::map<Key, bool> hasLeft;
        std::map<Key, Clock::time_point> wantsNothingUntil;
        // The incarnation that is listed, and its standing, as the directory of targets holds them.
        std::map<TargetId, std::pair<std::uint64_t, std::shared_ptr<TargetStanding>>> listed;
        std::map<TargetId, std::uint64_t> newest;
        Clock::time_point now = Start;
        for (int step = 0; step < 80; ++step) {
            now += std::chrono::milliseconds(random() % 400);
            const TargetId id(1, static_cast<char>('a' + random() % 4));
            const auto list = [&] { listed[id] = {newest[id], standings.of(id, newest[id])}; };
            switch (random() % 6) {
            case 0: // The target starts anew.
                ++newest[id];
                list();
                break;
            case 1: // It is listed, as ready, by the store, a configuration or another VM.
                list();
                break;
            case 2: // Its entry is removed.
                listed.erase(id);
                break;
            default: // It responds, perhaps late.
                if (const auto it = listed.find(id); it != listed.end()) {
                    const auto &[startedAt, standing] = it->second;
                    const TargetNotice notice{random() % 8 == 0,
                                              std::chrono::milliseconds(random() % 5 * 300)};
                    const double draw = static_cast<double>(random() % 1000) / 1000.0;
                    standing->onNotice(notice, draw, now);
                    const Key key{id, startedAt};
                    hasLeft[key] = hasLeft[key] || notice.isLeaving;
                    wantsNothingUntil[key] = std::max(wantsNothingUntil[key], now + notice.pause);
                }
            }
            for (const auto &[target, each] : listed) {
                const Key key{target, each.first};
                if (hasLeft[key] || now < wantsNothingUntil[key])
                    REQUIRE_FALSE(each.second->mayReceive(now));
                else if (now >= wantsNothingUntil[key] + 500ms)
                    REQUIRE(each.second->mayReceive(now));
            }
        }
    }
}

TEST_CASE(
    "Callers that cannot be served are asked to return after capacity does, urgent ones first")
{
    SECTION("not before it")
    {
        for (std::uint32_t priority = 0; priority < 5; ++priority)
            CHECK(retryDelay(2s, priority, 0.0) >= 2s);
        CHECK(retryDelay(-1s, 0, 0.0) >= 0ms);
    }
    SECTION("spread over a window, of which more urgent callers get an earlier part")
    {
        CHECK(retryDelay(2s, 0, 1.0) <= retryDelay(2s, 1, 0.0));
        CHECK(retryDelay(2s, 1, 1.0) <= retryDelay(2s, 2, 0.0));
        CHECK(retryDelay(2s, 9, 1.0) == retryDelay(2s, 2, 1.0));
        CHECK(retryDelay(2s, 0, 1.0) - retryDelay(2s, 0, 0.0) >= 300ms);
    }
    SECTION("within a second and a half, however long the wait")
    {
        CHECK(retryDelay(1h, 5, 1.0) <= 1h + 1500ms);
    }
}
