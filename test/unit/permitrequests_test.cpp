#include <vector>

#include <asio/io_context.hpp>
#include <catch2/catch.hpp>

#include "entry/permitrequests.h"

using namespace mangoshift;
using namespace std::chrono_literals;

TEST_CASE("Permits are requested together and every ask gets one outcome")
{
    asio::io_context io;
    std::vector<PermitRequest> sent;
    PermitRequests requests(io, [&sent](const PermitRequest &request) { sent.push_back(request); });
    std::vector<PermitOutcome> outcomes;
    const auto record = [&outcomes](const PermitOutcome &outcome) { outcomes.push_back(outcome); };
    const Clock::time_point now{1000s};
    requests.request({0, 1, 1, 0ms, {{{1, 5.0, 0ms}}}}, record, now);
    requests.request({0, 1, 1, 0ms, {{{2, 5.0, 0ms}}}}, record, now);
    CHECK(sent.empty());
    io.poll();
    REQUIRE(sent.size() == 1);
    REQUIRE(sent[0].asks.size() == 2);

    SECTION("from the reply")
    {
        requests.onReply({sent[0].sequence, {{true, {{1, 0ms}}, {}}, {false, {}, 70ms}}});
        REQUIRE(outcomes.size() == 2);
        CHECK(outcomes[0].isGranted);
        CHECK(outcomes[1].opensIn == 70ms);
        SECTION("of which a second one is ignored")
        {
            requests.onReply({sent[0].sequence, {{true, {{1, 0ms}}, {}}}});
            CHECK(outcomes.size() == 2);
        }
    }
    SECTION("a denial for what the reply leaves out")
    {
        requests.onReply({sent[0].sequence, {{true, {{1, 0ms}}, {}}}});
        REQUIRE(outcomes.size() == 2);
        CHECK_FALSE(outcomes[1].isGranted);
        CHECK_FALSE(outcomes[1].opensIn);
    }
    SECTION("a denial if no reply comes in time")
    {
        requests.sweep(now + 99ms);
        CHECK(outcomes.empty());
        requests.sweep(now + 100ms);
        REQUIRE(outcomes.size() == 2);
        CHECK_FALSE(outcomes[0].isGranted);
    }
    SECTION("and later asks go into another request")
    {
        requests.request({0, 1, 1, 0ms, {{{3, 5.0, 0ms}}}}, record, now);
        io.restart();
        io.poll();
        REQUIRE(sent.size() == 2);
        CHECK(sent[1].sequence != sent[0].sequence);
        requests.onReply({sent[1].sequence, {{true, {{3, 0ms}}, {}}}});
        CHECK(outcomes.size() == 1);
    }
}
