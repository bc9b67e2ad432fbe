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
        log.startAt(10);
        log.onTarget("a", 10);
        log.onConfiguration(10);

        SECTION("earlier revisions are not covered, as targets may have been removed since")
        {
            CHECK_FALSE(log.covers(9));
            CHECK(log.covers(10));
        }
        SECTION("each target is returned once, at its last change")
        {
            log.onTarget("b", 11);
            log.onTarget("a", 12);
            log.onTarget("b", 13);
            CHECK(log.targetsAfter(10) == Ids{"a", "b"});
            CHECK(log.targetsAfter(12) == Ids{"b"});
            CHECK(log.targetsAfter(13).empty());
        }
        SECTION("the configuration counts as changed for revisions before its last change")
        {
            log.onConfiguration(14);
            CHECK(log.isConfigurationAfter(13));
            CHECK_FALSE(log.isConfigurationAfter(14));
        }
        SECTION("beyond the limit the oldest change is dropped and no longer covered")
        {
            log.onTarget("b", 11);
            log.onTarget("c", 12);
            log.onTarget("d", 13);
            CHECK(log.covers(10));
            log.onTarget("e", 14);
            CHECK_FALSE(log.covers(10));
            CHECK(log.covers(11));
            CHECK(log.targetsAfter(11) == Ids{"c", "d", "e"});
        }
    }
}
