#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/knownstate.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds ReturnGrace{2000};
const Clock::time_point Start{seconds(1000)};

RegisteredTarget targetOf(const std::string &id, std::uint64_t sequence = 1)
{
    RegisteredTarget target;
    target.id = id;
    target.service.assign("search");
    target.address.assign("127.0.0.1:1");
    target.sequence = sequence;
    return target;
}

std::vector<std::string> idsOf(const PeerState &state)
{
    std::vector<std::string> ids;
    for (const RegisteredTarget &target : state.targets)
        ids.push_back(target.id);
    return ids;
}

} // namespace

TEST_CASE("What a VM knows of the store is told to others by revision")
{
    KnownState known(ReturnGrace);

    SECTION("nothing before it was read whole")
    {
        known.put(targetOf("a"), 5);
        CHECK(known.stateAfter(0, 5, Start).revision == 0);
    }

    GIVEN("two targets and a configuration, read at revision 10")
    {
        known.replaceAll({targetOf("a"), targetOf("b")}, 10, Start);
        RoutingDocument document;
        document.version = 3;
        REQUIRE(known.adopt(document, "bytes", 10));
        known.hear(Start);

        SECTION("all of it, to one that knows nothing or what went before")
        {
            for (const std::uint64_t after : {0, 9}) {
                const PeerState state = known.stateAfter(after, 10, Start + milliseconds(300));
                CHECK(state.isWhole);
                CHECK(idsOf(state) == std::vector<std::string>{"a", "b"});
                CHECK(state.configuration == "bytes");
                CHECK(state.age == milliseconds(300));
            }
        }
        SECTION("only what has changed, to one that knows this revision")
        {
            known.put(targetOf("c"), 11);
            known.remove("a", 12, Start);
            const PeerState state = known.stateAfter(10, 12, Start);
            CHECK_FALSE(state.isWhole);
            CHECK(idsOf(state) == std::vector<std::string>{"c"});
            CHECK(state.gone == std::vector<TargetId>{"a"});
            CHECK(state.configuration.empty());
        }
        SECTION("an older configuration is never put in force")
        {
            document.version = 3;
            CHECK_FALSE(known.adopt(document, "other", 11));
            CHECK_FALSE(known.stateAfter(10, 11, Start).configuration == "other");
        }
        SECTION("a removal that waits, and for how long")
        {
            known.onStoreRecovered(Start);
            CHECK(known.remove("a", 11, Start).empty());
            const PeerState state = known.stateAfter(10, 11, Start + milliseconds(500));
            CHECK(state.gone == std::vector<TargetId>{"a"});
            CHECK(state.removalsWait == milliseconds(1500));

            SECTION("and the return of that target, also where nothing changed here")
            {
                CHECK(known.put(targetOf("a", 2), 12).empty());
                CHECK(idsOf(known.stateAfter(11, 12, Start)) == std::vector<std::string>{"a"});
            }
            SECTION("and its return in a listing")
            {
                known.replaceAll({targetOf("a", 2), targetOf("b")}, 12, Start);
                const auto ids = idsOf(known.stateAfter(11, 12, Start));
                CHECK(std::count(ids.begin(), ids.end(), "a") == 1);
            }
            SECTION("and it is carried out when the wait is over")
            {
                CHECK(known.nextExpiry() == Start + ReturnGrace);
                CHECK(known.expire(12, Start + ReturnGrace).size() == 1);
            }
        }
    }
}
