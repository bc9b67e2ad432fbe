#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "entrysystem.h"

using namespace mangoshift;
using namespace mangoshift::testing;

namespace {

using std::chrono::seconds;
using SteadyClock = std::chrono::steady_clock;

constexpr double Limit = 5.0;
/// How long a VM that has just started grants less than its part.
constexpr seconds NewOwnerTime{6};
constexpr seconds MeasuredTime{8};
/// The users' bound: within this time of the last answer that named a limit the target is used.
constexpr seconds ReturnTime{8};

bool contains(const std::string &text, const std::string &what)
{
    return text.find(what) != std::string::npos;
}

/// Sends requests to a path from a few callers, some 160 a second in all, for a time.
void sendFor(EntrySystem &system, const std::string &method, const std::string &path,
             const std::string &name, seconds time)
{
    constexpr int callers = 4;
    constexpr std::chrono::milliseconds gap{25};
    std::vector<std::future<void>> pending;
    pending.reserve(callers);
    for (int caller = 0; caller < callers; ++caller)
        pending.push_back(std::async(std::launch::async, [&, caller] {
            const auto end = SteadyClock::now() + time;
            // One after the other, so that a target without a limit has room for each of them.
            auto next = SteadyClock::now() + gap * caller / callers;
            std::this_thread::sleep_until(next);
            for (int i = 0; SteadyClock::now() < end; ++i) {
                system.sendRequest(method, path,
                                   name + "-" + std::to_string(caller) + "-" + std::to_string(i));
                next += gap;
                std::this_thread::sleep_until(next);
            }
        }));
    for (std::future<void> &each : pending)
        each.get();
}

/// Returns how often a VM has logged a line.
int countLogged(const EntrySystem &system, const std::string &line, int vm)
{
    const std::string log = system.log(vm);
    int count = 0;
    for (std::size_t at = log.find(line); at != std::string::npos; at = log.find(line, at + 1))
        ++count;
    return count;
}

/// Sends a VM a few requests a second until it logs a line once more. Returns false if that takes
/// longer than `time`.
bool sendUntilLogged(EntrySystem &system, const std::string &line, seconds time, int vm = 1)
{
    static int sent = 0;
    const int before = countLogged(system, line, vm);
    return eventually(
        [&system, &line, before, vm] {
            system.sendRequest("POST", "/orders/x", "few-" + std::to_string(++sent), vm);
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            return countLogged(system, line, vm) > before;
        },
        time);
}

/// Starts a second VM, and returns which of the two grants the permits.
int startSecondVm(EntrySystem &system)
{
    system.startVm(2);
    REQUIRE(eventually([&system] {
        return system.isReady(2)
            && system.registry(1).at("limit_pool_owner")
            == system.registry(2).at("limit_pool_owner");
    }));
    return system.registry(1).at("limit_pool_owner") == "a-1" ? 1 : 2;
}

/// Publishes a configuration in which orders are keyed requests, and waits until it is in force.
void makeOrdersKeyed(EntrySystem &system)
{
    system.publishConfiguration(2, "s1", 26, seconds(60), "keyed");
    REQUIRE(eventually(
        [&system] { return contains(system.log(), "configuration_adopted version=2"); }));
}

} // namespace

TEST_CASE("A target that names a limit is used while another one names none")
{
    EntrySystem system;
    std::string method = "POST";
    std::string path = "/orders/x";
    std::string target = "i-oa";
    SECTION("for requests that may run at most once")
    {
    }
    SECTION("for keyed requests")
    {
        makeOrdersKeyed(system);
    }
    SECTION("for safe requests")
    {
        system.publishConfiguration(2, "orders");
        REQUIRE(eventually(
            [&system] { return contains(system.log(), "configuration_adopted version=2"); }));
        method = "GET";
        path = "/changing/x";
    }
    SECTION("for parts of queries")
    {
        method = "GET";
        path = "/all/x";
        target = "i-s1a";
    }
    system.setTargetMode(target, "limit=5");
    sendFor(system, method, path, "first", NewOwnerTime);
    REQUIRE(contains(system.log(), "event=target_limit_named target=" + target));
    const int before = system.runCount(target);
    const auto start = SteadyClock::now();
    sendFor(system, method, path, "then", MeasuredTime);
    const std::chrono::duration<double> took = SteadyClock::now() - start;
    const int used = system.runCount(target) - before;
    CHECK(used >= 0.5 * Limit * took.count());
    CHECK(used <= 1.5 * Limit * took.count() + 5.0);
}

TEST_CASE("A target whose limit has ended has its part again, however little load there is")
{
    EntrySystem system;
    std::string mode = "ok";
    int vm = 1;
    const auto nameLimit = [&system, &vm](const std::string &limit) {
        system.setTargetMode("i-oa", "limit=" + limit);
        REQUIRE(sendUntilLogged(system, "event=target_limit_named target=i-oa", seconds(30), vm));
    };

    SECTION("when it names none")
    {
        nameLimit("5");
    }
    SECTION("when its requests are keyed")
    {
        makeOrdersKeyed(system);
        nameLimit("5");
    }
    SECTION("when it names an invalid one")
    {
        nameLimit("5");
        mode = "limit=-3";
    }
    SECTION("when the limit was zero")
    {
        nameLimit("0");
    }
    SECTION("although the VM was started again")
    {
        nameLimit("5");
        system.vm().signal(SIGKILL);
        system.vm().wait();
        system.startVm();
        REQUIRE(eventually([&system] { return system.isReady(); }));
        nameLimit("5");
    }
    SECTION("although the VM that granted the permits was lost")
    {
        vm = 3 - startSecondVm(system);
        nameLimit("5");
        system.vm(3 - vm).signal(SIGKILL);
    }
    SECTION("although that VM was lost when the limit was zero")
    {
        vm = 3 - startSecondVm(system);
        nameLimit("0");
        system.vm(3 - vm).signal(SIGKILL);
    }
    SECTION("although one of two failure domains lost that VM when the limit was zero")
    {
        vm = 3 - startSecondVm(system);
        system.startVm(3, "1", "b");
        REQUIRE(eventually([&system] { return system.isReady(3); }));
        std::this_thread::sleep_for(NewOwnerTime);
        nameLimit("0");
        system.vm(3 - vm).signal(SIGKILL);
    }
    system.setTargetMode("i-oa", mode);
    REQUIRE(sendUntilLogged(system, "event=target_limit_ended target=i-oa", ReturnTime, vm));
    const int before = system.runCount("i-oa");
    for (int i = 0; i < 400; ++i)
        system.sendRequest("POST", "/orders/x", "back-" + std::to_string(i), vm);
    // Half of its part: targets that answer a little slower than others get less.
    CHECK(system.runCount("i-oa") - before >= 100);
}
