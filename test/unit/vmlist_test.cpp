#include <catch2/catch.hpp>

#include "config/vmlist.h"

using namespace mangoshift;

TEST_CASE("The platform's list of VMs")
{
    SECTION("keeps the entries with a valid name and address and skips the others")
    {
        const auto members = parseVmList(R"([
            {"vm": "a", "failure_domain": "d", "peer_address": "127.0.0.1:7102"},
            {"vm": "b", "peer_address": "nowhere"}, {"peer_address": "127.0.0.1:7102"},
            {"vm": 7, "peer_address": 8}, "c",
            {"vm": "e", "peer_address": "127.0.0.2:7102", "state": "leaving"}])");
        REQUIRE(members);
        REQUIRE(members->size() == 2);
        CHECK(members->at(0).vm == "a");
        CHECK_FALSE(members->at(0).isLeaving);
        CHECK(members->at(1).isLeaving);
    }

    SECTION("may be empty, but is an error if it is not an array")
    {
        CHECK(parseVmList("[]"));
        CHECK_FALSE(parseVmList("{}"));
        CHECK_FALSE(parseVmList("<html>"));
    }
}
