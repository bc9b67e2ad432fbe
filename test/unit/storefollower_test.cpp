#include <catch2/catch.hpp>

#include "mangoshift/storefollower.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

std::string textOf(const StoreStep &step)
{
    if (const auto *page = std::get_if<ReadPage>(&step))
        return "page after '" + page->afterKey + "'";
    if (const auto *watch = std::get_if<WatchChanges>(&step))
        return "watch from " + std::to_string(watch->revision);
    return "wait";
}

} // namespace

TEST_CASE("A follower of the store")
{
    StoreFollower follower;
    REQUIRE(textOf(follower.start()) == "page after ''");

    SECTION("reads page after page, then watches from the revision of the first")
    {
        CHECK(textOf(follower.onPage(10, false, "k/5")) == "page after 'k/5'");
        CHECK(textOf(follower.onPage(14, true, "k/9")) == "watch from 10");
    }
    SECTION("has the revision of a listing only when its last page has been read")
    {
        follower.onPage(10, true, "k/9");
        follower.onHistoryLost();
        follower.onPage(40, false, "k/5");
        CHECK(follower.revision() == 10);
        CHECK(follower.listingRevision() == 40);
        SECTION("and not if the listing fails")
        {
            follower.onFailure();
            CHECK(follower.revision() == 10);
        }
        SECTION("and then all of it")
        {
            follower.onPage(44, true, "k/9");
            CHECK(follower.revision() == 40);
        }
    }
    GIVEN("a complete listing")
    {
        follower.onPage(10, true, "k/9");
        SECTION("watches from the revision of each reply")
        {
            CHECK(textOf(follower.onChanges(10, false)) == "watch from 10");
            SECTION("after a wait for further changes")
            {
                CHECK(textOf(follower.onChanges(12, true)) == "wait");
                CHECK(textOf(follower.resume()) == "watch from 12");
            }
        }
        SECTION("lists again if the store no longer holds the revision")
        {
            CHECK(textOf(follower.onHistoryLost()) == "page after ''");
            CHECK(textOf(follower.onPage(40, true, "k/9")) == "watch from 40");
        }
        SECTION("lists again after a failed watch, as a new one may report a lost history too late")
        {
            CHECK(textOf(follower.onFailure()) == "wait");
            CHECK(follower.isStoreUnavailable());
            CHECK(textOf(follower.resume()) == "page after ''");
            SECTION("and reports once that the store has recovered")
            {
                follower.onPage(11, true, "k/9");
                CHECK(follower.takeRecovered());
                CHECK_FALSE(follower.takeRecovered());
                CHECK_FALSE(follower.isStoreUnavailable());
            }
        }
        SECTION("waits longer after each consecutive failure, up to a limit")
        {
            std::vector<std::chrono::milliseconds> waits;
            waits.reserve(6);
            for (int i = 0; i < 6; ++i)
                waits.push_back(std::get<WaitBeforeNext>(follower.onFailure()).delay);
            CHECK(
                waits
                == std::vector<std::chrono::milliseconds>{50ms, 100ms, 200ms, 400ms, 400ms, 400ms});
        }
    }
}
