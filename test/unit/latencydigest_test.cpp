#include <catch2/catch.hpp>

#include "mangoshift/latencydigest.h"

using namespace mangoshift;
using std::chrono::microseconds;

TEST_CASE("A latency digest estimates quantiles")
{
    LatencyDigest digest(1000);

    SECTION("without samples every quantile is zero")
    {
        CHECK(digest.quantile(0.5) == microseconds(0));
    }

    SECTION("estimates lie within a sixth above the exact value")
    {
        for (int i = 1; i <= 900; ++i)
            digest.record(microseconds(i * 100));
        for (const double q : {0.1, 0.5, 0.9, 0.99}) {
            const double exact = q * 900 * 100;
            INFO("q=" << q << " exact=" << exact);
            CHECK(static_cast<double>(digest.quantile(q).count()) >= exact);
            CHECK(static_cast<double>(digest.quantile(q).count()) <= exact * 7.01 / 6);
        }
    }

    SECTION("old samples lose weight")
    {
        for (int i = 0; i < 2000; ++i)
            digest.record(microseconds(1000));
        for (int i = 0; i < 2000; ++i)
            digest.record(microseconds(50000));
        CHECK(digest.quantile(0.5) >= microseconds(50000));
    }

    SECTION("values outside the range are counted in the first or the last bucket")
    {
        digest.record(microseconds(0));
        CHECK(digest.quantile(1) == microseconds(50));
        digest.record(std::chrono::hours(5));
        CHECK(digest.quantile(1) > std::chrono::seconds(60));
    }
}
