#include <algorithm>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "entry/storeview.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds RecoveryGrace{2000};
constexpr milliseconds MinOutage{2400};
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

TEST_CASE("Other VMs are sent the state of the store that is newer than their revision")
{
    StoreView view(RecoveryGrace, MinOutage);

    SECTION("nothing is sent before the targets have been listed")
    {
        view.put(targetOf("a"), 5);
        CHECK(view.stateAfter({}, 5, Start).revision == 0);
    }

    GIVEN("two targets and a configuration, read at revision 10")
    {
        view.replaceAll({targetOf("a"), targetOf("b")}, 0, 10, Start);
        RoutingDocument document;
        document.version = 3;
        REQUIRE(view.adopt(document, "bytes"));
        view.onStoreContact(Start);

        SECTION("a VM whose revision is earlier than the first listing is sent the whole state")
        {
            for (const std::uint64_t after : {0, 9}) {
                const PeerState state = view.stateAfter({after, 0}, 10, Start + milliseconds(300));
                CHECK(state.isComplete);
                CHECK(idsOf(state) == std::vector<std::string>{"a", "b"});
                CHECK(state.configuration == "bytes");
                CHECK(state.age == milliseconds(300));
            }
        }
        SECTION("a VM whose revision is that of the listing is sent only the changes")
        {
            view.put(targetOf("c"), 11);
            view.remove("a", 12, Start);
            const PeerState state = view.stateAfter({10, 3}, 12, Start);
            CHECK_FALSE(state.isComplete);
            CHECK(idsOf(state) == std::vector<std::string>{"c"});
            CHECK(state.removed == std::vector<TargetId>{"a"});
            CHECK(state.configuration.empty());
        }
        SECTION("a VM that has seen changes which a new listing skips is sent the whole state")
        {
            view.replaceAll({targetOf("a", 2), targetOf("b")}, 10, 14, Start);
            CHECK_FALSE(view.stateAfter({10, 3}, 14, Start).isComplete);
            for (const std::uint64_t after : {11, 13}) {
                const PeerState state = view.stateAfter({after, 3}, 14, Start);
                CHECK(state.isComplete);
                CHECK(idsOf(state) == std::vector<std::string>{"a", "b"});
            }
            CHECK_FALSE(view.stateAfter({14, 3}, 14, Start).isComplete);
        }
        // Guards against a VM that has the revision of a configuration without the configuration:
        // it had received the one from a VM that was still listing the store.
        SECTION(
            "the configuration is sent to every VM with an earlier version, whatever its revision")
        {
            for (const std::uint64_t after : {0, 9, 10, 12}) {
                CHECK(view.stateAfter({after, 2}, 12, Start).configuration == "bytes");
                CHECK(view.stateAfter({after, 3}, 12, Start).configuration.empty());
            }
            CHECK(hasMore({12, 3}, {12, 2}));
            CHECK(hasMore({12, 3}, {11, 3}));
            CHECK_FALSE(hasMore({12, 3}, {12, 3}));
        }
        SECTION("a configuration of the same version is not put in force again")
        {
            document.version = 3;
            CHECK_FALSE(view.adopt(document, "other"));
            CHECK_FALSE(view.stateAfter({10, 3}, 11, Start).configuration == "other");
        }
        SECTION("a removal after a failure that was too short for entries to expire is not held")
        {
            const Clock::time_point now = Start + MinOutage - milliseconds(1);
            view.onStoreRecovered(now);
            CHECK(view.remove("a", 11, now).size() == 1);
        }
        SECTION("a held removal is sent with the time for which it is held")
        {
            const Clock::time_point back = Start + MinOutage;
            view.onStoreRecovered(back);
            CHECK(view.remove("a", 11, back).empty());
            const PeerState state = view.stateAfter({10, 3}, 11, back + milliseconds(500));
            CHECK(state.removed == std::vector<TargetId>{"a"});
            CHECK(state.removalsHeldFor == milliseconds(1500));

            SECTION("and the return of that target is sent, although nothing changed for this VM")
            {
                CHECK(view.put(targetOf("a", 2), 12).empty());
                CHECK(idsOf(view.stateAfter({11, 3}, 12, back)) == std::vector<std::string>{"a"});
            }
            SECTION("and its return in a listing is sent")
            {
                view.replaceAll({targetOf("a", 2), targetOf("b")}, 11, 12, back);
                const auto ids = idsOf(view.stateAfter({11, 3}, 12, back));
                CHECK(std::count(ids.begin(), ids.end(), "a") == 1);
            }
            SECTION("and the removal is carried out when the grace period is over")
            {
                CHECK(view.nextExpiry() == back + RecoveryGrace);
                CHECK(view.expire(12, back + RecoveryGrace).size() == 1);
            }
        }
    }
}
