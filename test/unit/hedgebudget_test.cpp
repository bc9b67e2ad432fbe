#include <catch2/catch.hpp>

#include "mangoshift/hedgebudget.h"

using namespace mangoshift;

TEST_CASE("A hedge budget is a fraction of first copies")
{
    HedgeBudget budget(0.04, 3);

    SECTION("it starts empty")
    {
        CHECK_FALSE(budget.trySpend());
    }

    SECTION("25 first copies earn one token at 4%")
    {
        for (int i = 0; i < 24; ++i)
            budget.onFirstCopy();
        CHECK_FALSE(budget.trySpend());
        budget.onFirstCopy();
        CHECK(budget.trySpend());
        CHECK_FALSE(budget.trySpend());
    }

    SECTION("it holds no more tokens than the burst")
    {
        for (int i = 0; i < 10000; ++i)
            budget.onFirstCopy();
        CHECK(budget.tokens() == 3);
    }

    SECTION("the spent tokens never exceed the fraction")
    {
        int spent = 0;
        for (int copies = 1; copies <= 10000; ++copies) {
            budget.onFirstCopy();
            while (budget.trySpend())
                ++spent;
            REQUIRE(spent * 25 <= copies);
        }
        CHECK(spent == 400);
    }
}
