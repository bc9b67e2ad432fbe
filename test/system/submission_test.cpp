#include <csignal>

#include <catch2/catch.hpp>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "base/address.h"
#include "deployment.h"

using namespace mangoshift::testing;
using Json = nlohmann::json;

TEST_CASE("A request that is not idempotent runs once per ticket")
{
    GIVEN("the Sundarban deployment, every VM ready")
    {
        Deployment deployment("sundarban", {.targetOptions = {"--service-time-us", "500"}});
        const std::string issuer = deployment.vmNames().front();
        const auto issued = deployment.post(issuer, "/v1/tickets/slot-booking?count=2", "");
        INFO(issued.body);
        REQUIRE(issued.status == 200);
        const std::string ticket = Json::parse(issued.body)["tickets"][0];
        const auto runs = [&](const std::string &key) {
            std::uint64_t count = 0;
            for (const Json &target :
                 Json::parse(deployment.get(deployment.targetControl(), "/records").body))
                count += target["submissions"].value(key, 0U);
            return count;
        };

        SECTION("every VM answers a repeat with the outcome of the first submission")
        {
            Json first;
            for (const std::string &vm : deployment.vmNames()) {
                const auto response =
                    deployment.submit(vm, "slot-booking", ticket, R"({"slot":1})");
                INFO(vm << ": " << response.body);
                REQUIRE(response.status == 200);
                const Json answer = Json::parse(response.body);
                CHECK(answer["execution"] == "ran");
                CHECK(answer["ticket"] == ticket);
                if (first.is_null())
                    first = answer["result"];
                CHECK(answer["result"] == first);
            }
            CHECK(runs(ticket) == 1);
        }

        SECTION("the same ticket with a different request is a conflict and does not run")
        {
            REQUIRE(deployment.submit(issuer, "slot-booking", ticket, "1").status == 200);
            const auto response = deployment.submit(issuer, "slot-booking", ticket, "2");
            CHECK(response.status == 409);
            CHECK(Json::parse(response.body)["field"] == "Idempotency-Key");
            CHECK(runs(ticket) == 1);
        }

        SECTION("after a restart of the issuer, no VM runs the ticket, and all answer may_have_run")
        {
            deployment.restartVm(issuer);
            REQUIRE(eventually([&] {
                return deployment.get(deployment.operatorAddress(issuer), "/readyz").status == 200;
            }));
            for (const std::string &vm : deployment.vmNames()) {
                const auto response = deployment.submit(vm, "slot-booking", ticket);
                INFO(vm << ": " << response.body);
                CHECK(Json::parse(response.body)["execution"] == "may_have_run");
            }
            CHECK(runs(ticket) == 0);
        }

        SECTION("each route rejects requests of the wrong kind and names the invalid field")
        {
            const auto query = deployment.query(issuer, "slot-booking");
            CHECK(query.status == 400);
            CHECK(Json::parse(query.body)["field"] == "service");
            CHECK(Json::parse(query.body)["execution"] == "not_run");
            const auto submission = deployment.submit(issuer, "pass-lookup", "");
            CHECK(submission.status == 400);
            CHECK(Json::parse(submission.body)["execution"] == "not_run");
            const auto mistypedTicket = deployment.submit(issuer, "slot-booking", ticket + "1");
            CHECK(mistypedTicket.status == 400);
            CHECK(Json::parse(mistypedTicket.body)["field"] == "Idempotency-Key");
            const auto tooManyTickets =
                deployment.post(issuer, "/v1/tickets/slot-booking?count=1001", "");
            CHECK(Json::parse(tooManyTickets.body)["field"] == "count");
        }

        SECTION("if a target closes the connection after reading, the outcome is unknown")
        {
            deployment.put(deployment.targetControl(), "/targets/*", R"({"crash_before_run":1})");
            const auto response = deployment.submit(issuer, "slot-booking", ticket);
            CHECK(response.status == 502);
            CHECK(Json::parse(response.body)["execution"] == "may_have_run");
            CHECK(runs(ticket) == 0);
        }

        SECTION("the submit command fetches a ticket and reports the outcome by its exit status")
        {
            const auto run = [&](const std::string &addresses) {
                return Process("mangoshift",
                               {"submit", "--to", addresses, "--service", "slot-booking",
                                "--patience-ms", "1000", "{}"},
                               "/dev/null")
                    .wait();
            };
            const std::string liveAddress = deployment.callerAddress(issuer);
            CHECK(run(liveAddress) == 0);
            // Nothing listens at the first address, so the command tries the next one.
            const std::string killedVm = deployment.vmNames().back();
            deployment.vm(killedVm).signal(SIGKILL);
            deployment.vm(killedVm).wait();
            CHECK(run(deployment.callerAddress(killedVm) + "," + liveAddress) == 0);
            deployment.put(deployment.targetControl(), "/targets/*", R"({"draining":true})");
            CHECK(run(liveAddress) == 1);
            deployment.put(deployment.targetControl(), "/targets/*",
                           R"({"draining":false,"crash_before_answer":1})");
            CHECK(run(liveAddress) == 4);
        }
    }
}

TEST_CASE("A submission that arrives while all caller threads are busy")
{
    DeploymentOptions options;
    options.settings = R"({"caller_threads": 1})";
    Deployment deployment("sundarban", options);
    const std::string vm = deployment.vmNames().front();
    const auto address = mangoshift::parseAddress(deployment.callerAddress(vm));
    httplib::Client idleCaller(address->ip, address->port);
    idleCaller.set_keep_alive(true);
    REQUIRE(idleCaller.Post("/v1/query/pass-lookup", "{}", "application/json"));

    SECTION("is refused at once as not_run if it has no ticket")
    {
        const auto response = deployment.submit(vm, "slot-booking", "", "{}");
        CHECK(response.status == 503);
        CHECK(Json::parse(response.body)["execution"] == "not_run");
    }

    SECTION("is answered as may_have_run if it has a ticket, as only the issuer knows its outcome")
    {
        const auto response = deployment.submit(vm, "slot-booking", "any.ticket", "{}");
        CHECK(response.status == 503);
        CHECK(Json::parse(response.body)["execution"] == "may_have_run");
    }
}
