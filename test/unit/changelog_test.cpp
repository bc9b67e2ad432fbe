#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/changelog.h"

using namespace mangoshift;

using Ids = std::vector<TargetId>;

TEST_CASE("A change log returns the changes that another VM lacks")
{
    ChangeLog log(3);

    SECTION("no revision is covered before the state has been read")
    {
        CHECK_FALSE(log.covers(0));
        CHECK_FALSE(log.covers(1000));
    }

    GIVEN("a state that was read at revision 10")
    {
        log.resetTo(10);
        log.onTargetChange("a", 10);

        SECTION("earlier revisions are not covered, as targets may have been removed since")
        {
            CHECK_FALSE(log.covers(9));
            CHECK(log.covers(10));
        }
        SECTION("each target is returned once, at its last change")
        {
            log.onTargetChange("b", 11);
            log.onTargetChange("a", 12);
            log.onTargetChange("b", 13);
            CHECK(log.targetsChangedAfter(10) == Ids{"a", "b"});
            CHECK(log.targetsChangedAfter(12) == Ids{"b"});
            CHECK(log.targetsChangedAfter(13).empty());
        }
        SECTION("revisions inside a gap are not covered, those at its ends are")
        {
            log.onGap(11, 14);
            CHECK(log.covers(11));
            CHECK_FALSE(log.covers(12));
            CHECK_FALSE(log.covers(13));
            CHECK(log.covers(14));
            SECTION("and beyond a limit the oldest gaps end what is covered")
            {
                for (std::uint64_t from = 20; from < 1000; from += 10)
                    log.onGap(from, from + 5);
                CHECK_FALSE(log.covers(11));
                CHECK_FALSE(log.covers(12));
                CHECK_FALSE(log.covers(994));
                CHECK(log.covers(995));
            }
        }
        SECTION("beyond the limit the oldest change is dropped and no longer covered")
        {
            log.onTargetChange("b", 11);
            log.onTargetChange("c", 12);
            log.onTargetChange("d", 13);
            CHECK(log.covers(10));
            log.onTargetChange("e", 14);
            CHECK_FALSE(log.covers(10));
            CHECK(log.covers(11));
            CHECK(log.targetsChangedAfter(11) == Ids{"c", "d", "e"});
        }
    }
}
