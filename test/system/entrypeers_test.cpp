#include <csignal>

#include <catch2/catch.hpp>

#include "entrysystem.h"

using namespace mangoshift;
using namespace mangoshift::testing;

namespace {

/// The last octet of an address where no store listens.
const std::string UnreachableStore = "9";

bool contains(const std::string &text, const std::string &what)
{
    return text.find(what) != std::string::npos;
}

} // namespace

TEST_CASE("A VM that starts while the store is unavailable")
{
    EntrySystem system;
    system.setStoreMode("down");
    REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
    system.startVm(2);

    SECTION("receives configuration and targets from another VM and serves")
    {
        REQUIRE(eventually([&system] { return system.isReady(2); }));
        const auto response = system.sendRequest("GET", "/all/x", "second", 2);
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(eventually([&system] {
            return contains(system.log(2),
                            "event=configuration_adopted version=1 routes=3 source=a-1");
        }));
    }
    SECTION("reads from the store itself once the store is available again")
    {
        REQUIRE(eventually([&system] { return system.isReady(2); }));
        system.publishConfiguration(9, "s3");
        system.setStoreMode("ok");
        CHECK(eventually([&system] {
            return contains(system.log(2), "event=configuration_adopted version=9");
        }));
    }
}

TEST_CASE("A VM that never reaches the store")
{
    EntrySystem system;
    system.startVm(2, UnreachableStore);
    REQUIRE(eventually([&system] { return system.isReady(2); }));

    SECTION("follows the state of another VM")
    {
        system.publishConfiguration(7, "s2");
        CHECK(eventually([&system] {
            return contains(system.log(2), "event=configuration_adopted version=7");
        }));
        system.announce(Targets[5], "draining", 2);
        CHECK(eventually(
            [&system] { return contains(system.log(2), "event=target_draining target=i-oa"); }));
        system.removeEntry(Targets[5]);
        CHECK(eventually(
            [&system] { return contains(system.log(2), "event=target_delisted target=i-oa"); }));
    }
    SECTION("keeps its state while the other VM is down, and follows it again after a restart")
    {
        system.vm(1).signal(SIGKILL);
        system.vm(1).wait();
        const auto response = system.sendRequest("GET", "/all/x", "alone", 2);
        REQUIRE(response);
        CHECK(response->status == 200);
        system.publishConfiguration(8, "s2");
        system.startVm(1);
        CHECK(eventually([&system] {
            return contains(system.log(2), "event=configuration_adopted version=8");
        }));
    }
}

TEST_CASE("A target whose entry expired in an outage of the store and was written again")
{
    EntrySystem system;
    const TargetSpec &target = Targets[5];
    system.startVm(2, UnreachableStore);
    REQUIRE(eventually([&system] { return system.isReady(2); }));
    system.setStoreMode("down");
    REQUIRE(eventually([&system] { return contains(system.log(), "event=store_lost"); }));
    system.removeEntry(target);
    system.setStoreMode("ok");

    SECTION("is listed again in a VM that had received the removal from another VM")
    {
        REQUIRE(eventually([&] {
            const auto registry = system.registry(2);
            return registry.at("held_removals") == 1 || !registry.at("targets").contains(target.id);
        }));
        system.announce(target, "ready", 2);
        CHECK(eventually([&] {
            const auto registry = system.registry(2);
            return registry.at("held_removals") == 0 && registry.at("targets").contains(target.id);
        }));
    }
}
