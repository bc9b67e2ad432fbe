#include <atomic>
#include <mutex>
#include <thread>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "answers.h"
#include "base/address.h"
#include "deployment.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

namespace {

/// More than the initial concurrency limit of a service, and fewer than the caller threads of a VM.
constexpr std::size_t CallerCount = 60;

} // namespace

TEST_CASE("A VM receives more queries than it may run at once")
{
    Deployment deployment(
        "sundarban",
        {.targetOptions = {"--service-time-us", "20000"}, .deadline = std::chrono::seconds(5)});
    const std::string vm = deployment.vmNames().front();
    std::atomic<std::size_t> refused{0};
    std::mutex mutex;
    std::vector<std::string> unexpected;
    std::atomic<bool> isStopping{false};
    const auto address = mangoshift::parseAddress(deployment.callerAddress(vm));
    REQUIRE(address);
    const auto sendQueries = [&] {
        // Opens a connection for each query: callers that cause an overload were not connected
        // before.
        while (!isStopping) {
            httplib::Client client(address->ip, address->port);
            const auto response = client.Post("/v1/query/yard-roster", "{}", "application/json");
            if (!response) {
                const std::lock_guard lock(mutex);
                unexpected.push_back(httplib::to_string(response.error()));
                continue;
            }
            if (response->status == 200)
                continue;
            const Json problem = Json::parse(response->body, nullptr, false);
            const bool isExpectedRefusal = response->status == 503 && problem.is_object()
                && problem["execution"] == "not_run" && problem["retry_after_ms"] > 0;
            refused += isExpectedRefusal ? 1 : 0;
            const std::lock_guard lock(mutex);
            if (!isExpectedRefusal)
                unexpected.push_back(std::to_string(response->status) + " " + response->body);
        }
    };
    std::vector<std::thread> callers;
    callers.reserve(CallerCount);
    for (std::size_t i = 0; i < CallerCount; ++i)
        callers.emplace_back(sendQueries);
    const bool wereRefused = eventually([&] { return refused > 100; });
    std::size_t urgentAnswers = 0;
    std::string urgentFailure;
    for (int i = 0; i < 20; ++i) {
        const auto response = deployment.query(vm, "pass-lookup");
        if (response.status == 200 && findInconsistency(response.body).empty())
            ++urgentAnswers;
        else
            urgentFailure = response.body;
    }
    const Json state = Json::parse(deployment.get(deployment.operatorAddress(vm), "/state").body);
    const std::string metrics = deployment.get(deployment.operatorAddress(vm), "/metrics").body;
    isStopping = true;
    for (std::thread &caller : callers)
        caller.join();

    SECTION("queries over the limit are refused without being run, with a retry delay")
    {
        CHECK(wereRefused);
        CHECK_THAT(unexpected, Catch::Matchers::Equals(std::vector<std::string>{}));
    }

    SECTION("all queries of the highest priority are answered")
    {
        INFO(urgentFailure);
        CHECK(urgentAnswers == 20);
    }

    SECTION("the state dump and the metrics show the limits and the reasons for refusals")
    {
        CHECK(state["callers"]["in_flight"] <= state["callers"]["capacity"]);
        CHECK(state["callers"]["services"].size() == 2);
        CHECK(metrics.find("mangoshift_refusals_total{reason=\"service_limit\"}")
              != std::string::npos);
    }
}
