// What callers are told of requests that wait inside a VM, against what the targets have seen.

#include <chrono>
#include <future>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "entrysystem.h"

using namespace mangoshift;
using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

struct Order
{
    std::string id;
    int deadlineMs;
};

struct AnsweredOrder
{
    std::string id;
    int status = 0;
    std::string execution;
    bool hasRetryAfter = false;
    std::chrono::milliseconds took{};
};

/// Returns orders with ids that start with `name`. Each has `stepMs` more time than the one before.
std::vector<Order> ordersOf(const std::string &name, int count, int firstDeadlineMs, int stepMs = 0)
{
    std::vector<Order> orders;
    orders.reserve(count);
    for (int i = 0; i < count; ++i)
        orders.push_back({name + "-" + std::to_string(i), firstDeadlineMs + stepMs * i});
    return orders;
}

/// Sends orders to the first VM at the same time.
std::vector<AnsweredOrder> sendAtOnce(EntrySystem &system, const std::vector<Order> &orders)
{
    std::vector<std::future<AnsweredOrder>> pending;
    pending.reserve(orders.size());
    for (const Order &order : orders)
        pending.push_back(std::async(std::launch::async, [&system, order] {
            const auto sentAt = std::chrono::steady_clock::now();
            const auto response =
                system.sendRequest("POST", "/orders/x", order.id, 1, order.deadlineMs);
            AnsweredOrder answered;
            answered.took = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - sentAt);
            answered.id = order.id;
            if (!response)
                return answered;
            answered.status = response->status;
            answered.hasRetryAfter = response->has_header("Retry-After");
            const Json body = Json::parse(response->body, nullptr, false);
            if (body.is_object())
                answered.execution = body.value("execution", "");
            return answered;
        }));
    std::vector<AnsweredOrder> answers;
    answers.reserve(pending.size());
    for (std::future<AnsweredOrder> &each : pending)
        answers.push_back(each.get());
    return answers;
}

/// Checks that the orders that failed were reported as not run, with a time to retry after, if and
/// only if no target has run them. Returns how many have not run.
int checkVerdicts(EntrySystem &system, const std::vector<AnsweredOrder> &answers)
{
    int unrun = 0;
    for (const AnsweredOrder &answer : answers) {
        INFO(answer.id << " status " << answer.status << " " << answer.execution);
        const bool hasRun = !system.targetsThatRan(answer.id).empty();
        CHECK((answer.status == 503) == !hasRun);
        CHECK((answer.execution == "not_run") == !hasRun);
        CHECK(answer.hasRetryAfter == !hasRun);
        unrun += hasRun ? 0 : 1;
    }
    return unrun;
}

std::uint32_t limitOf(EntrySystem &system, const std::string &target)
{
    return system.state()["entry"]["targets"][target]["limit"];
}

} // namespace

TEST_CASE("An order that no target has got is reported as not run")
{
    EntrySystem system;

    SECTION("if it waits for a target until its deadline")
    {
        system.setTargetMode("i-oa", "mute");
        system.setTargetMode("i-ob", "mute");
        const auto answers = sendAtOnce(system, ordersOf("muted", 12, 600, 10));
        CHECK(checkVerdicts(system, answers) >= 6);
        AND_WHEN("its targets answer again")
        {
            system.setTargetMode("i-oa", "ok");
            system.setTargetMode("i-ob", "ok");
            REQUIRE(eventually([&system] {
                static int n = 0;
                const auto response =
                    system.sendRequest("POST", "/orders/x", "later-" + std::to_string(n++));
                return response && response->status == 200;
            }));
            THEN("it does not run either")
            {
                checkVerdicts(system, answers);
            }
        }
    }
    SECTION("if it waits for a connection to its target until its deadline")
    {
        system.publishConfiguration(2, "s1", 1);
        REQUIRE(eventually([&system] {
            static int n = 0;
            sendAtOnce(system, ordersOf("warm-" + std::to_string(n++), 4, 3000));
            return limitOf(system, "i-oa") == 2 && limitOf(system, "i-ob") == 2;
        }));
        system.setTargetMode("i-oa", "mute");
        system.setTargetMode("i-ob", "mute");
        const auto answers = sendAtOnce(
            system, {{"queued-0", 700}, {"queued-1", 700}, {"queued-2", 700}, {"queued-3", 700}});
        CHECK(checkVerdicts(system, answers) == 2);
    }
    SECTION("while others are answered, are late or have no time left")
    {
        system.setTargetMode("i-oa", "late=150");
        system.setTargetMode("i-ob", "late=400");
        checkVerdicts(system, sendAtOnce(system, ordersOf("mixed", 40, 60, 47)));
    }
}

TEST_CASE("An order that waits for a target is sent in time or refused before its time is up")
{
    constexpr int workMs = 300;
    constexpr int deadlineMs = 2000;
    EntrySystem system;
    system.setTargetMode("i-oa", "late=" + std::to_string(workMs));
    system.setTargetMode("i-ob", "late=" + std::to_string(workMs));
    for (const AnsweredOrder &answer : sendAtOnce(system, ordersOf("usual", 8, 4000)))
        CHECK(answer.status == 200);

    // The targets, with two slots each, bear about half of these.
    const auto answers = sendAtOnce(system, ordersOf("pressed", 50, deadlineMs));
    const int unrun = checkVerdicts(system, answers);
    CHECK(unrun > 0);
    CHECK(unrun < 50);
    for (const AnsweredOrder &answer : answers) {
        INFO(answer.id << " status " << answer.status << " " << answer.execution);
        // None is sent that cannot end in its time, and none is held while it cannot be served.
        CHECK((answer.status == 200 || answer.status == 503));
        if (answer.status == 503)
            CHECK(answer.took.count() <= deadlineMs - workMs);
    }
    const std::string metrics = system.metrics();
    CHECK(metrics.find("mangoshift_entry_wait_duration_seconds_count{end=\"sent\"}")
          != std::string::npos);
}
