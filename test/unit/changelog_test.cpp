#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/changelog.h"

using namespace mangoshift;

using Ids = std::vector<TargetId>;

TEST_CASE("A log of changes tells what another VM has not seen")
{
    ChangeLog log(3);

    SECTION("nothing is covered before the state was read once")
    {
        CHECK_FALSE(log.covers(0));
        CHECK_FALSE(log.covers(1000));
    }

    GIVEN("a state that was read at revision 10")
    {
        log.resetTo(10);
        log.onTargetChange("a", 10);
        log.onConfigurationChange(10);

        SECTION("what went before it is not covered: targets may have gone since")
        {
            CHECK_FALSE(log.covers(9));
            CHECK(log.covers(10));
        }
        SECTION("each target is told once, at its last change")
        {
            log.onTargetChange("b", 11);
            log.onTargetChange("a", 12);
            log.onTargetChange("b", 13);
            CHECK(log.targetsChangedAfter(10) == Ids{"a", "b"});
            CHECK(log.targetsChangedAfter(12) == Ids{"b"});
            CHECK(log.targetsChangedAfter(13).empty());
        }
        SECTION("the configuration is told to those who have not seen it")
        {
            log.onConfigurationChange(14);
            CHECK(log.hasConfigurationChangedAfter(13));
            CHECK_FALSE(log.hasConfigurationChangedAfter(14));
        }
        SECTION("beyond its limit the oldest change is forgotten, and no longer covered")
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
