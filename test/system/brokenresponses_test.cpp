#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entrysystem.h"

using namespace mangoshift;
using namespace mangoshift::testing;

namespace {

constexpr int Requests = 20;

bool isWholeAnswer(const httplib::Result &answer)
{
    return answer && answer->status == 200 && !answer->get_header_value("X-Server-Stamp").empty();
}

/// Returns whether the answer is a VM's own statement that the request may have run.
bool saysMayHaveRun(const httplib::Result &answer)
{
    return answer && answer->status == 502 && !answer->has_header("X-Server-Stamp")
        && answer->body == R"({"execution":"may_have_run","reason":"bad_reply"})";
}

} // namespace

TEST_CASE("A target in trouble whose responses break HTTP")
{
    const std::string mode =
        GENERATE(as<std::string>(), "status=000", "line=X Note: 1", "line=Content-Length : 2",
                 "line=X-Note: 1\r\n folded", "line=X-Note: \x01 1");
    INFO(mode);
    EntrySystem system;

    GIVEN("one of two targets of orders in trouble")
    {
        system.setTargetMode("i-oa", mode);

        SECTION("its responses reach no caller, who is told that the order may have run")
        {
            int broken = 0;
            for (int i = 0; i < Requests; ++i) {
                const std::string id = "order-" + std::to_string(i);
                const auto answer = system.sendRequest("POST", "/orders/x", id);
                const bool isBroken = saysMayHaveRun(answer);
                broken += isBroken ? 1 : 0;
                CHECK((isBroken || isWholeAnswer(answer)));
                CHECK(system.targetsThatRan(id)
                      == std::vector<std::string>{isBroken ? "i-oa" : "i-ob"});
            }
            CHECK(broken > 0);
            CHECK(system.state()["entry"]["connections_since_start"]["malformed_answers"]
                  == broken);
        }
    }

    GIVEN("one of two targets of a shard in trouble")
    {
        system.setTargetMode("i-s1a", mode);

        SECTION("safe requests are answered by the other target, and queries are whole")
        {
            for (int i = 0; i < Requests; ++i) {
                CHECK(isWholeAnswer(
                    system.sendRequest("GET", "/changing/x", "safe-" + std::to_string(i))));
                const auto answer = system.sendRequest("GET", "/all/x", "all-" + std::to_string(i));
                REQUIRE(answer);
                CHECK(answer->status == 200);
                CHECK(answer->get_header_value("X-Missing-Parts") == "0");
                CHECK(answer->get_header_value("X-Part-Stamps").find("i-s1a") == std::string::npos);
            }
            CHECK(system.runCount("i-s1a") > 0);
        }
    }
}
