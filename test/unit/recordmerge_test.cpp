#include <catch2/catch.hpp>

#include "mangoshift/recordmerge.h"

using namespace mangoshift;

namespace {

std::string record(char first)
{
    return std::string(1, first) + std::string(RecordBytes - 1, 'x');
}

} // namespace

TEST_CASE("Records of several parts are merged")
{
    const std::string one = record('b') + record('d');
    const std::string two = record('a') + record('c') + "short";

    SECTION("in descending order")
    {
        CHECK(greatestRecords({one, two}, 3) == record('d') + record('c') + record('b'));
    }
    SECTION("all of them if there are fewer than requested, without incomplete records")
    {
        CHECK(greatestRecords({two}, 10) == record('c') + record('a'));
        CHECK(greatestRecords({}, 10).empty());
    }
    SECTION("with duplicates")
    {
        CHECK(greatestRecords({one, one}, 2) == record('d') + record('d'));
    }
    SECTION("compared as unsigned bytes")
    {
        const std::string high = record('\xff');
        CHECK(greatestRecords({one, high}, 1) == high);
    }
}
