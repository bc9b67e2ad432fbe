// What callers are told of requests that wait inside a VM, against what the targets have seen.

#include <chrono>
#include <future>
#include <random>
#include <string>
#include <thread>
#include <utility>
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
    std::string method = "POST";
    std::string path = "/orders/x";
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
                system.sendRequest(order.method, order.path, order.id, 1, order.deadlineMs);
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

/// Checks that no target has received any of the orders.
void checkNotReceived(EntrySystem &system, const std::vector<AnsweredOrder> &answers)
{
    const Json arrivals = system.arrivals();
    for (const AnsweredOrder &answer : answers)
        CHECK_FALSE(arrivals.contains(answer.id));
}

/// Returns the orders that were refused as not run.
std::vector<AnsweredOrder> unrunOf(std::vector<AnsweredOrder> answers)
{
    std::erase_if(answers,
                  [](const AnsweredOrder &answer) { return answer.execution != "not_run"; });
    return answers;
}

bool hasWaitsThatEnded(EntrySystem &system, const std::string &end)
{
    return system.metrics().find("mangoshift_entry_wait_duration_seconds_count{end=\"" + end
                                 + "\"}")
        != std::string::npos;
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
    SECTION("if it waits for a permit of targets that name limits")
    {
        for (const std::string target : {"i-oa", "i-ob"}) {
            system.setTargetMode(target, "limit=1");
            REQUIRE(eventually([&system, &target] {
                static int n = 0;
                system.sendRequest("POST", "/orders/x", "named-" + std::to_string(n++));
                return system.log().find("event=target_limit_named target=" + target)
                    != std::string::npos;
            }));
        }
        const auto answers = sendAtOnce(system, ordersOf("permitted", 20, 600, 20));
        CHECK(checkVerdicts(system, answers) >= 10);
        checkNotReceived(system, unrunOf(answers));
        CHECK(hasWaitsThatEnded(system, "limited"));
    }
    SECTION("if it waits for the end of the pauses of its targets")
    {
        system.setTargetMode("i-oa", "pause");
        system.setTargetMode("i-ob", "pause");
        const auto first = sendAtOnce(system, {{"first", 2000}});
        CHECK(checkVerdicts(system, first) == 1);
        AND_WHEN("they are over too late")
        {
            const auto answers = sendAtOnce(system, ordersOf("hasty", 10, 600, 10));
            CHECK(checkVerdicts(system, answers) == 10);
            checkNotReceived(system, answers);
        }
        AND_WHEN("they are over in time, but its targets are silent then")
        {
            system.setTargetMode("i-oa", "mute");
            system.setTargetMode("i-ob", "mute");
            const auto answers = sendAtOnce(system, ordersOf("patient", 12, 2800, 10));
            const int unrun = checkVerdicts(system, answers);
            CHECK(unrun >= 6);
            CHECK(unrun < 12);
            checkNotReceived(system, unrunOf(answers));
            CHECK(hasWaitsThatEnded(system, "sent"));
        }
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
    CHECK(hasWaitsThatEnded(system, "sent"));
}

TEST_CASE("What callers are told of failures is what the targets have seen, in any sequence")
{
    const auto seed = GENERATE(1U, 2U, 3U);
    INFO("seed " << seed);
    std::mt19937 random(seed);
    const auto pick = [&random](int least, int most) {
        return std::uniform_int_distribution<int>(least, most)(random);
    };
    const std::vector<std::string> modes{"ok",   "late=100", "late=700", "mute",
                                         "mute", "pause",    "pause",    "shed",
                                         "lose", "limit=2",  "limit=40"};
    EntrySystem system;
    // With one connection to each target, calls wait for connections too.
    if (seed % 2 == 1)
        system.publishConfiguration(2, "s1", 1);
    std::vector<std::future<std::vector<AnsweredOrder>>> pending;
    for (int round = 0; round < 20; ++round) {
        for (const TargetSpec &target : Targets)
            if (target.service == "orders" || pick(0, 2) == 0)
                system.setTargetMode(target.id,
                                     modes.at(pick(0, static_cast<int>(modes.size()) - 1)));
        std::vector<Order> orders;
        for (int i = pick(4, 16); i > 0; --i) {
            const std::string id = std::to_string(round) + "-" + std::to_string(i);
            const int deadlineMs = pick(0, 3) == 0 ? pick(60, 300) : pick(300, 2500);
            if (pick(0, 3) == 0)
                orders.push_back({"query-" + id, deadlineMs, "GET", "/all/x"});
            else
                orders.push_back({"order-" + id, deadlineMs});
        }
        pending.push_back(std::async(std::launch::async,
                                     [&system, orders] { return sendAtOnce(system, orders); }));
        std::this_thread::sleep_for(std::chrono::milliseconds(pick(50, 350)));
    }
    std::vector<AnsweredOrder> answers;
    for (auto &each : pending)
        for (AnsweredOrder &answer : each.get())
            answers.push_back(std::move(answer));
    // A request that waits by mistake would now be sent.
    for (const TargetSpec &target : Targets)
        system.setTargetMode(target.id, "ok");
    std::this_thread::sleep_for(std::chrono::seconds(2));

    const Json runs = system.runs();
    const Json arrivals = system.arrivals();
    std::size_t mayHaveRun = 0;
    for (const AnsweredOrder &answer : answers) {
        INFO(answer.id << " status " << answer.status << " " << answer.execution << " ran "
                       << runs.value(answer.id, Json()) << " got "
                       << arrivals.value(answer.id, Json()) << " "
                       << system.waitForLogLine(answer.id, std::chrono::seconds(0)));
        const bool isNotRun = answer.execution == "not_run";
        REQUIRE(answer.status != 0);
        CHECK((answer.status == 503) == isNotRun);
        CHECK(answer.hasRetryAfter == isNotRun);
        // A target may have refused what is not reported as not run, as the caller had to be told
        // before the refusal arrived.
        CHECK((isNotRun ? !runs.contains(answer.id) : arrivals.contains(answer.id)));
        mayHaveRun += answer.execution == "may_have_run" ? 1 : 0;
    }
    CHECK(!unrunOf(answers).empty());
    CHECK(mayHaveRun > 0);
}
